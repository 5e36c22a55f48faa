package mesh

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/sequoiacove/sequoiacove/pkg/catalog"
	"github.com/sequoiacove/sequoiacove/pkg/exchange"
)

const (
	// dialTimeout and snapshotTimeout bound the transfer of changes. They are
	// short, because an instance that does not get them asks the store.
	dialTimeout     = 400 * time.Millisecond
	snapshotTimeout = time.Second
	// maxSnapshotBytes bounds its size.
	maxSnapshotBytes = 32 << 20
	maxRequestBytes  = 64
	// maxTransfers bounds the snapshots that are sent at the same time.
	maxTransfers = 64
)

// request names the revisions that the sender knows.
type request struct {
	_          struct{} `cbor:",toarray"`
	Directives int64
	Upstreams  int64
}

// Snapshots returns what an instance lacks that knows the given revisions.
type Snapshots func(directives, upstreams int64) catalog.Snapshot

// ServeSnapshots answers each connection with what its sender lacks until the
// listener is closed.
func ServeSnapshots(l net.Listener, now func() time.Time, snapshots Snapshots) {
	slots := make(chan struct{}, maxTransfers)
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		select {
		case slots <- struct{}{}:
			go func() {
				defer func() { <-slots }()
				sendSnapshot(c, now, snapshots)
			}()
		default:
			_ = c.Close()
		}
	}
}

// sendSnapshot answers a request; the receiver sees a failure as an early end.
func sendSnapshot(c net.Conn, now func() time.Time, snapshots Snapshots) {
	defer func() { _ = c.Close() }()
	if c.SetDeadline(now().Add(snapshotTimeout)) != nil {
		return
	}
	var r request
	if cbor.NewDecoder(io.LimitReader(c, maxRequestBytes)).Decode(&r) != nil {
		return
	}
	if cbor.NewEncoder(c).Encode(snapshots(r.Directives, r.Upstreams)) != nil {
		return
	}
	if half, ok := c.(*net.TCPConn); ok && half.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, c)
	}
}

// FetchSnapshot reads what is newer than the given revisions from the instance
// at address.
func FetchSnapshot(ctx context.Context, address string, now func() time.Time, directives, upstreams int64) (catalog.Snapshot, error) {
	var s catalog.Snapshot
	c, err := exchange.Dial(ctx, address, dialTimeout, 0)
	if err != nil {
		return s, errors.Trace(err)
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(now().Add(snapshotTimeout)); err != nil {
		return s, errors.Trace(err)
	}
	if err := cbor.NewEncoder(c).Encode(&request{Directives: directives, Upstreams: upstreams}); err != nil {
		return s, errors.Trace(err)
	}
	err = cbor.NewDecoder(io.LimitReader(c, maxSnapshotBytes)).Decode(&s)
	return s, errors.Trace(err)
}
