// Package peer carries messages between the processes of the system over QUIC
// with mutual TLS.
//
// Each call uses a stream of its own. The request is a frame of the message
// type (one byte), the length of the body (four bytes, big-endian) and the body
// in CBOR. The reply is a frame whose first byte is 0 for an answer or 1 for an
// error with a result code. The sender keeps its side of the stream open until
// it has read the reply; closing it confirms the reply, and resetting it cancels
// the handler's context.
//
// Both sides present certificates of one authority with the name
// AuthenticatedSANName. A connection whose peer answers no application ping in
// time is replaced, because a path can stop delivering packets for one
// connection while new connections work. Every connection has a UDP socket of
// its own for the same reason.
//
// A failed call tells what is known: PeerUnreachable and PeerRefused mean that
// the receiver did nothing with the message, PeerNoAnswer that it may have.
package peer

import "context"

// MessageType tells the receiver how to decode a message.
type MessageType uint8

// Message types, each with its sender, its receiver and the types of its request
// and reply.
const (
	// Ping: empty, answered empty. The transport handles it.
	Ping MessageType = 1
	// PushSnapshot: agent to entry, cluster.Snapshot -> cluster.EntryReport.
	PushSnapshot MessageType = 2
	// Forward: entry to entry, ForwardRequest -> request.Reply.
	Forward MessageType = 3
	// SyncMembers: agent to agent, membership.Sync -> membership.Sync.
	SyncMembers MessageType = 4
	// PushVersion: agent to agent, configsync.Push -> configsync.Ack.
	PushVersion MessageType = 5
	// FetchVersion: agent to agent, configsync.Fetch -> cluster.Version.
	FetchVersion MessageType = 6
	// Explain: agent to entry, entry.ExplainRequest -> entry.Explanation.
	Explain MessageType = 7
	// Submit: entry to the entry that issued the request identifier,
	// ForwardRequest -> request.Reply.
	Submit MessageType = 8
	// Control: agent to entry, entry.ControlRequest -> entry.ControlReply.
	Control MessageType = 9
	// DumpState: agent to entry, empty -> JSON bytes.
	DumpState MessageType = 10
	// FetchInstances: agent to agent, empty -> agent.InstanceList.
	FetchInstances MessageType = 11
)

// Limits of messages and connections.
const (
	// MaxMessageBytes bounds the body of a message.
	MaxMessageBytes = 24 << 20
	// MaxStreamsPerConn bounds the calls in flight on one connection.
	MaxStreamsPerConn = 2000
	// MaxConnections is the default bound of a server's open connections.
	MaxConnections = 1024
)

// AuthenticatedSANName is the name in the certificates of all peers.
const AuthenticatedSANName = "sequoia-peer"

// Handler answers one message. The context ends when the sender cancels the
// call or the connection is lost.
type Handler func(ctx context.Context, body []byte) (reply any, err error)

// Caller sends one message and decodes the answer into reply. Its errors carry
// result codes: PeerUnreachable when nothing was sent, PeerNoAnswer when the
// message may have arrived, or the code the receiver answered with.
type Caller interface {
	Call(ctx context.Context, addr string, typ MessageType, msg, reply any) error
}
