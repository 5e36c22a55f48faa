package mesh

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/sequoiacove/sequoiacove/pkg/catalog"
	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/exchange"
	"github.com/sequoiacove/sequoiacove/pkg/revision"
	"github.com/sequoiacove/sequoiacove/pkg/transfer"
)

const (
	// dialTimeout and snapshotTimeout limit the time until the transfer of a snapshot makes
	// progress (transfer.Conn). They are short, because an instance that does not get one
	// falls back to the store.
	dialTimeout     = 400 * time.Millisecond
	snapshotTimeout = time.Second
	// maxSnapshotBytes is the maximum size of a snapshot. The largest row that the store's
	// responses hold has 6 MB.
	maxSnapshotBytes = 16 << 20
	maxRequestBytes  = 512
	// maxTransfers is the maximum number of snapshots being sent
	// concurrently.
	maxTransfers = 64
)

// KnownRevisions is the request for a snapshot. It holds the revisions of both
// tables and the version of the description that the requester already has.
type KnownRevisions struct {
	DirectivesRevision revision.Revision `cbor:"1,keyasint,omitempty"`
	UpstreamsRevision  revision.Revision `cbor:"2,keyasint,omitempty"`
	DescriptionVersion uint64            `cbor:"3,keyasint,omitempty"`
	// LargeRow is the row of the directives that the answer may state as a difference.
	LargeRow catalog.RowRevision `cbor:"5,keyasint,omitempty"`
	// DescriptionHash is the hash of the description to which the answer may state the next
	// version as a difference. Older releases omit it.
	DescriptionHash string `cbor:"6,keyasint,omitempty"`
}

// request is a KnownRevisions as it is sent.
type request struct {
	KnownRevisions
	// AcceptsCompression is set if the answer may be compressed. Older releases omit it.
	AcceptsCompression bool `cbor:"4,keyasint,omitempty"`
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
func serveSnapshot(tcp net.Conn, now func() time.Time, changes func(KnownRevisions) Changes) {
	defer func() { _ = tcp.Close() }()
	c := transfer.NewConn(tcp, now)
	if c.SetDeadline(now().Add(snapshotTimeout)) != nil {
		return
	}
	var r request
	if cbor.NewDecoder(io.LimitReader(c, maxRequestBytes)).Decode(&r) != nil {
		return
	}
	answer, err := encodeChanges(changes(r.KnownRevisions), r.AcceptsCompression)
	if err != nil || c.SetDeadline(now().Add(snapshotTimeout)) != nil {
		return
	}
	if _, err := c.Write(answer); err != nil {
		return
	}
	if w, ok := tcp.(interface{ CloseWrite() error }); ok && w.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, c)
	}
}

// encoding is held while an answer is encoded, because several large ones at once would take
// memory without being ready sooner.
var encoding sync.Mutex

func encodeChanges(c Changes, compressed bool) ([]byte, error) {
	encoding.Lock()
	defer encoding.Unlock()
	answer, err := cbor.Marshal(c)
	if err != nil || !compressed {
		return answer, err
	}
	return transfer.Compress(answer), nil
}

// decodeChanges decodes an answer. Older releases do not compress it; then it calls
// onUncompressed first.
func decodeChanges(r io.Reader, onUncompressed func() error) (changes Changes, err error) {
	b := bufio.NewReader(r)
	if start, err := b.Peek(4); err == nil && transfer.IsCompressed(start) {
		compressed, err := io.ReadAll(b)
		if err != nil {
			return changes, err
		}
		answer, err := transfer.Decompress(compressed)
		if err != nil {
			return changes, err
		}
		return changes, cbor.Unmarshal(answer, &changes)
	}
	if err := onUncompressed(); err != nil {
		return changes, err
	}
	return changes, cbor.NewDecoder(b).Decode(&changes)
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
	transfer   *Transfer
	onProgress func()
}

// Read implements io.Reader.
func (r *countingReader) Read(b []byte) (int, error) {
	n, err := r.Conn.Read(b)
	r.transfer.ReceivedBytes += int64(n)
	if n > 0 && r.onProgress != nil {
		r.onProgress()
	}
	return n, err
}

// FetchSnapshot fetches the changes since known from the instance at address. onProgress, if
// not nil, is called as bytes arrive. ctx bounds opening the connection; a transfer that has
// begun goes on while it makes progress, because what it brings is of use later, too.
func FetchSnapshot(ctx context.Context, address string, now func() time.Time, known KnownRevisions, onProgress func()) (changes Changes, t Transfer, err error) {
	start := now()
	defer func() { t.Time = now().Sub(start) }()
	tcp, err := exchange.Dial(ctx, address, dialTimeout, 0)
	if err != nil {
		return changes, t, errors.Trace(err)
	}
	defer func() { _ = tcp.Close() }()
	t.DialTime = now().Sub(start)
	c := transfer.NewConn(tcp, now)
	if err := c.SetDeadline(now().Add(snapshotTimeout)); err != nil {
		return changes, t, errors.Trace(err)
	}
	if err := cbor.NewEncoder(c).Encode(&request{known, true}); err != nil {
		return changes, t, errors.Trace(err)
	}
	// An uncompressed answer is decoded as it arrives, which takes long for one without end.
	// Older releases end it after snapshotTimeout themselves.
	changes, err = decodeChanges(io.LimitReader(&countingReader{c, &t, onProgress}, maxSnapshotBytes), c.StopExtendingRead)
	return changes, t, errors.Trace(err)
}
