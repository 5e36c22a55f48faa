package instance

import (
	"context"
	"time"

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
	return mesh.KnownRevisions{Directives: directives, Upstreams: upstreams, Version: i.policy.Current().Number}
}

// changesSince returns the changes that a member with the given revisions does
// not have yet.
func (i *Instance) changesSince(known mesh.KnownRevisions) mesh.Changes {
	c := mesh.Changes{Tables: i.catalog.Snapshot(known.Directives, known.Upstreams), VersionKnown: i.policy.VersionInForceConfirmed()}
	if v := i.policy.Current(); v.Number > known.Version {
		c.Version = &v
	}
	return c
}

// fetchIfNewer fetches the changes from a member if it has newer revisions than
// this instance. If the fetch fails, this instance watches the store itself for
// fetchFailureWatchTime.
func (i *Instance) fetchIfNewer(ctx context.Context, m mesh.Member) {
	known := i.knownRevisions()
	if m.Directives <= known.Directives && m.Upstreams <= known.Upstreams && m.Version <= known.Version {
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
	c, err := mesh.FetchSnapshot(ctx, m.Address, i.opt.Now, i.knownRevisions())
	if err != nil {
		event.Log(i.logger, event.SnapshotFailed, "peer", m.ID, "error", err.Error())
		return err
	}
	i.metrics.changesFetched.Inc(1)
	i.catalog.Merge(c.Tables, m.ID)
	switch {
	case c.Version != nil:
		i.policy.ApplyIfNewer(*c.Version, m.ID)
	case c.VersionKnown:
		i.policy.ConfirmVersionInForce()
	}
	return nil
}

// catchUpDelay is how long a peer may be ahead before its changes are fetched.
// Usually the changes reach this instance through its own watch within that time.
const catchUpDelay = 600 * time.Millisecond

// catchUp fetches the changes from a peer that has been ahead for catchUpDelay. It
// does not wait if this instance lacks a table or has an older description.
func (i *Instance) catchUp(ctx context.Context, now time.Time) {
	known := i.knownRevisions()
	for _, m := range i.mesh.Live() {
		if m.Directives <= known.Directives && m.Upstreams <= known.Upstreams && m.Version <= known.Version {
			delete(i.aheadSince, m.ID)
			continue
		}
		since, ok := i.aheadSince[m.ID]
		if !ok {
			i.aheadSince[m.ID] = now
			since = now
		}
		if known.Directives != 0 && known.Upstreams != 0 && m.Version <= known.Version && now.Sub(since) < catchUpDelay {
			continue
		}
		clear(i.aheadSince)
		i.fetchIfNewer(ctx, m)
		return
	}
}
