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
	// dialTimeout and snapshotTimeout bound the transfer of changes. They are
	// short, because an instance that does not get them asks the store.
	dialTimeout     = 400 * time.Millisecond
	snapshotTimeout = time.Second
	// maxSnapshotBytes bounds its size.
	maxSnapshotBytes = 32 << 20
	maxRequestBytes  = 256
	// maxTransfers bounds the snapshots that are sent at the same time.
	maxTransfers = 64
)

// KnownRevisions names what an instance knows: the revisions of both tables and the
// version of the description.
type KnownRevisions struct {
	Directives int64  `cbor:"1,keyasint,omitempty"`
	Upstreams  int64  `cbor:"2,keyasint,omitempty"`
	Version    uint64 `cbor:"3,keyasint,omitempty"`
}

// Changes is what an instance lacks that another one knows.
type Changes struct {
	Tables catalog.Snapshot `cbor:"1,keyasint"`
	// VersionKnown tells that the sender knows which version of the description
	// is in force; Version is that version if the receiver lacks it.
	VersionKnown bool             `cbor:"2,keyasint,omitempty"`
	Version      *cluster.Version `cbor:"3,keyasint,omitempty"`
}

// ServeSnapshots answers each connection with what its sender lacks until the
// listener is closed.
func ServeSnapshots(l net.Listener, now func() time.Time, changes func(KnownRevisions) Changes) {
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
				sendSnapshot(c, now, changes)
			}()
		default:
			_ = c.Close()
		}
	}
}

// sendSnapshot answers a request; the receiver sees a failure as an early end.
func sendSnapshot(c net.Conn, now func() time.Time, changes func(KnownRevisions) Changes) {
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
	if half, ok := c.(*net.TCPConn); ok && half.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, c)
	}
}

// FetchSnapshot reads what the instance at address knows beyond known.
func FetchSnapshot(ctx context.Context, address string, now func() time.Time, known KnownRevisions) (Changes, error) {
	var changes Changes
	c, err := exchange.Dial(ctx, address, dialTimeout, 0)
	if err != nil {
		return changes, errors.Trace(err)
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(now().Add(snapshotTimeout)); err != nil {
		return changes, errors.Trace(err)
	}
	if err := cbor.NewEncoder(c).Encode(&known); err != nil {
		return changes, errors.Trace(err)
	}
	err = cbor.NewDecoder(io.LimitReader(c, maxSnapshotBytes)).Decode(&changes)
	return changes, errors.Trace(err)
}
