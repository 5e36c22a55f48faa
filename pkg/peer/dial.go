package peer

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/quic-go/quic-go"
)

// newTransport opens a UDP socket on the IP address of local, on a port that
// the system chooses.
func newTransport(local string) (*quic.Transport, error) {
	from := &net.UDPAddr{}
	if local != "" {
		own, err := net.ResolveUDPAddr("udp", local)
		if err != nil {
			return nil, err
		}
		from.IP = own.IP
	}
	socket, err := net.ListenUDP("udp", from)
	if err != nil {
		return nil, err
	}
	return &quic.Transport{Conn: socket}, nil
}

// dial resolves addr and completes the handshake with it.
func dial(ctx context.Context, transport *quic.Transport, addr string, config *tls.Config) (*quic.Conn, error) {
	to, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, err
	}
	return transport.Dial(ctx, to, config, quicConfig())
}

// closeTransport frees the socket, which the transport does not own.
func closeTransport(transport *quic.Transport) {
	transport.Close()
	transport.Conn.Close()
}
