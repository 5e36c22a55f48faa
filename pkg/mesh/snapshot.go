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
	// snapshotTimeout bounds the transfer of a snapshot.
	snapshotTimeout = 2 * time.Second
	// maxSnapshotBytes bounds its size.
	maxSnapshotBytes = 32 << 20
	// maxTransfers bounds the snapshots that are sent at the same time.
	maxTransfers = 8
)

// ServeSnapshots sends the snapshot to every connection until the listener is
// closed.
func ServeSnapshots(l net.Listener, now func() time.Time, snapshot func() catalog.Snapshot) {
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
				sendSnapshot(c, now, snapshot)
			}()
		default:
			_ = c.Close()
		}
	}
}

// sendSnapshot writes a snapshot; the receiver sees a failure as an early end.
func sendSnapshot(c net.Conn, now func() time.Time, snapshot func() catalog.Snapshot) {
	defer func() { _ = c.Close() }()
	if c.SetDeadline(now().Add(snapshotTimeout)) != nil {
		return
	}
	if cbor.NewEncoder(c).Encode(snapshot()) != nil {
		return
	}
	if half, ok := c.(*net.TCPConn); ok && half.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, c)
	}
}

// FetchSnapshot reads the snapshot of the instance at address.
func FetchSnapshot(ctx context.Context, address string, now func() time.Time) (catalog.Snapshot, error) {
	var s catalog.Snapshot
	c, err := exchange.Dial(ctx, address, snapshotTimeout)
	if err != nil {
		return s, errors.Trace(err)
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(now().Add(snapshotTimeout)); err != nil {
		return s, errors.Trace(err)
	}
	err = cbor.NewDecoder(io.LimitReader(c, maxSnapshotBytes)).Decode(&s)
	return s, errors.Trace(err)
}
