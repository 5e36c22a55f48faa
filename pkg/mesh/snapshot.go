package mesh

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/sequoiacove/sequoiacove/pkg/catalog"
	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/exchange"
)

const (
	// dialTimeout and snapshotTimeout limit the transfer of a snapshot. They
	// are short, because an instance that does not get one falls back to the
	// store.
	dialTimeout     = 400 * time.Millisecond
	snapshotTimeout = time.Second
	// maxSnapshotBytes is the maximum size of a snapshot.
	maxSnapshotBytes = 32 << 20
	maxRequestBytes  = 256
	// maxTransfers is the maximum number of snapshots being sent
	// concurrently.
	maxTransfers = 64
)

// KnownRevisions is the request for a snapshot. It holds the revisions of both
// tables and the version of the description that the requester already has.
type KnownRevisions struct {
	DirectivesRevision int64  `cbor:"1,keyasint,omitempty"`
	UpstreamsRevision  int64  `cbor:"2,keyasint,omitempty"`
	DescriptionVersion uint64 `cbor:"3,keyasint,omitempty"`
}

// Changes is the response: the part of the sender's state that the requester is
// missing.
type Changes struct {
	Tables catalog.Snapshot `cbor:"1,keyasint"`
	// VersionKnown reports whether the sender knows which version of the
	// description is in force. Version is set to that version if the requester
	// has an older one.
	VersionKnown bool             `cbor:"2,keyasint,omitempty"`
	Version      *cluster.Version `cbor:"3,keyasint,omitempty"`
}

// ServeSnapshots answers each connection with the changes that the requester is
// missing, until the listener is closed. Connections beyond maxTransfers are
// closed without an answer.
func ServeSnapshots(l net.Listener, now func() time.Time, changes func(KnownRevisions) Changes) {
	transfers := make(chan struct{}, maxTransfers)
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		select {
		case transfers <- struct{}{}:
			go func() {
				defer func() { <-transfers }()
				serveSnapshot(c, now, changes)
			}()
		default:
			_ = c.Close()
		}
	}
}

// serveSnapshot answers one request. On an error it closes the connection,
// which the requester sees as a truncated response.
func serveSnapshot(c net.Conn, now func() time.Time, changes func(KnownRevisions) Changes) {
	defer func() { _ = c.Close() }()
	if c.SetDeadline(now().Add(snapshotTimeout)) != nil {
		return
	}
	var known KnownRevisions
	if cbor.NewDecoder(io.LimitReader(c, maxRequestBytes)).Decode(&known) != nil {
		return
	}
	if cbor.NewEncoder(c).Encode(changes(known)) != nil {
		return
	}
	if tcp, ok := c.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, c)
	}
}

// Transfer describes the transfer of a snapshot, also of one that failed.
type Transfer struct {
	// ReceivedBytes is the number of bytes received.
	ReceivedBytes int64
	// DialTime is the time until the connection was open, 0 if it was not opened, and Time
	// the time of the whole transfer.
	DialTime time.Duration
	Time     time.Duration
}

// countingReader counts the bytes read from a connection.
type countingReader struct {
	net.Conn
	transfer *Transfer
}

// Read implements io.Reader.
func (r *countingReader) Read(b []byte) (int, error) {
	n, err := r.Conn.Read(b)
	r.transfer.ReceivedBytes += int64(n)
	return n, err
}

// FetchSnapshot fetches the changes since known from the instance at address.
func FetchSnapshot(ctx context.Context, address string, now func() time.Time, known KnownRevisions) (changes Changes, transfer Transfer, err error) {
	start := now()
	defer func() { transfer.Time = now().Sub(start) }()
	c, err := exchange.Dial(ctx, address, dialTimeout, 0)
	if err != nil {
		return changes, transfer, errors.Trace(err)
	}
	defer func() { _ = c.Close() }()
	transfer.DialTime = now().Sub(start)
	if err := c.SetDeadline(now().Add(snapshotTimeout)); err != nil {
		return changes, transfer, errors.Trace(err)
	}
	if err := cbor.NewEncoder(c).Encode(&known); err != nil {
		return changes, transfer, errors.Trace(err)
	}
	err = cbor.NewDecoder(io.LimitReader(&countingReader{c, &transfer}, maxSnapshotBytes)).Decode(&changes)
	return changes, transfer, errors.Trace(err)
}
