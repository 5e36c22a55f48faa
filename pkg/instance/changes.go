package instance

import (
	"context"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/catalog"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/mesh"
)

// fetchAnnouncedChanges fetches changes from the members whose heartbeats
// announce newer revisions, until ctx ends.
func (i *Instance) fetchAnnouncedChanges(ctx context.Context) {
	for {
		select {
		case m := <-i.membersAhead:
			i.fetchIfNewer(ctx, m)
		case <-ctx.Done():
			return
		}
	}
}

// knownRevisions returns the table revisions and the description version that
// this instance has.
func (i *Instance) knownRevisions() mesh.KnownRevisions {
	directives, upstreams := i.catalog.Revisions()
	return mesh.KnownRevisions{DirectivesRevision: directives, UpstreamsRevision: upstreams, DescriptionVersion: i.policy.Current().Number}
}

// changesSince returns the changes that a member with the given revisions does
// not have yet.
func (i *Instance) changesSince(known mesh.KnownRevisions) mesh.Changes {
	c := mesh.Changes{Tables: i.catalog.Snapshot(known.DirectivesRevision, known.UpstreamsRevision), VersionKnown: i.policy.VersionKnown()}
	if v := i.policy.Current(); v.Number > known.DescriptionVersion {
		c.Version = &v
	}
	return c
}

// fetchIfNewer fetches the changes from a member if it has newer revisions than
// this instance. If the fetch fails, this instance watches the store itself for
// fetchFailureWatchTime.
func (i *Instance) fetchIfNewer(ctx context.Context, m mesh.Member) {
	known := i.knownRevisions()
	if m.DirectivesRevision <= known.DirectivesRevision && m.UpstreamsRevision <= known.UpstreamsRevision && m.DescriptionVersion <= known.DescriptionVersion {
		return
	}
	if i.fetchAndMerge(ctx, m) != nil {
		until := i.opt.Now().Add(fetchFailureWatchTime)
		i.watchStoreUntil.Store(&until)
	}
}

// fetchAndMerge fetches the changes that this instance lacks from a member and
// applies them.
func (i *Instance) fetchAndMerge(ctx context.Context, m mesh.Member) error {
	requestedAt := i.opt.Now()
	c, transfer, err := mesh.FetchSnapshot(ctx, m.Address, i.opt.Now, i.knownRevisions())
	i.recordTransfer(m.ID, transfer, err)
	if err != nil {
		return err
	}
	i.catalog.Merge(c.Tables, m.ID, requestedAt)
	switch {
	case c.Version != nil:
		i.policy.ApplyIfNewer(*c.Version, m.ID)
	case c.VersionKnown:
		i.policy.MarkVersionKnown()
	}
	return nil
}

const (
	// loggedTransferBytes and loggedTransferTime are the size and the time from which on a
	// transfer is logged. Smaller ones, of which there are several a second while upstreams
	// change, are only counted.
	loggedTransferBytes = 4 << 10
	loggedTransferTime  = 250 * time.Millisecond
)

// recordTransfer counts a transfer from a peer and logs it if it failed, was large or took
// long.
func (i *Instance) recordTransfer(peer string, t mesh.Transfer, err error) {
	outcome := "received"
	if err != nil {
		outcome = "failed"
		event.Log(i.logger, event.SnapshotFailed, "peer", peer, "received_bytes", t.ReceivedBytes, "dial_ms", t.DialTime.Milliseconds(), "took_ms", t.Time.Milliseconds(), "error", err.Error())
	} else {
		i.metrics.changesFetched.Inc(1)
		if t.ReceivedBytes >= loggedTransferBytes || t.Time >= loggedTransferTime {
			event.Log(i.logger, event.SnapshotReceived, "peer", peer, "received_bytes", t.ReceivedBytes, "dial_ms", t.DialTime.Milliseconds(), "took_ms", t.Time.Milliseconds())
		}
	}
	i.metrics.observe("peer_transfer_time_us", t.Time, "outcome", outcome)
	i.metrics.add("peer_transfer_bytes", t.ReceivedBytes, "outcome", outcome)
}

// recordConfig records how a configuration came into force.
func (i *Instance) recordConfig(r catalog.ConfigReport) {
	i.metrics.observe("configuration_delay_us", r.Delay)
	i.metrics.observe("configuration_decode_time_us", r.DecodeTime)
	i.metrics.configBytes.Store(int64(r.Bytes))
}

// catchUpDelay is how long a peer may be ahead before its changes are fetched.
// Usually the changes reach this instance through its own watch within that time.
const catchUpDelay = 200 * time.Millisecond

// catchUp fetches the changes from a peer that has been ahead for catchUpDelay. It
// does not wait if this instance lacks a table or has an older description.
func (i *Instance) catchUp(ctx context.Context, now time.Time) {
	known := i.knownRevisions()
	for _, m := range i.mesh.Live() {
		if m.DirectivesRevision <= known.DirectivesRevision && m.UpstreamsRevision <= known.UpstreamsRevision && m.DescriptionVersion <= known.DescriptionVersion {
			delete(i.aheadSince, m.ID)
			continue
		}
		since, ok := i.aheadSince[m.ID]
		if !ok {
			i.aheadSince[m.ID] = now
			since = now
		}
		if known.DirectivesRevision != 0 && known.UpstreamsRevision != 0 && m.DescriptionVersion <= known.DescriptionVersion && now.Sub(since) < catchUpDelay {
			continue
		}
		clear(i.aheadSince)
		i.fetchIfNewer(ctx, m)
		return
	}
}
