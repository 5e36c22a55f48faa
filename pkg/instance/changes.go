package instance

import (
	"context"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/mesh"
)

// fetchAnnouncedChanges takes the changes that members announce.
func (i *Instance) fetchAnnouncedChanges(ctx context.Context) {
	for {
		select {
		case m := <-i.newerMembers:
			i.fetchIfNewer(ctx, m)
		case <-ctx.Done():
			return
		}
	}
}

// knownRevisions returns what this instance knows.
func (i *Instance) knownRevisions() mesh.KnownRevisions {
	directives, upstreams := i.catalog.Revisions()
	return mesh.KnownRevisions{Directives: directives, Upstreams: upstreams, Version: i.policy.Current().Number}
}

// changes returns what a member lacks.
func (i *Instance) changesSince(known mesh.KnownRevisions) mesh.Changes {
	c := mesh.Changes{Tables: i.catalog.Snapshot(known.Directives, known.Upstreams), VersionKnown: i.policy.VersionKnown()}
	if v := i.policy.Current(); v.Number > known.Version {
		c.Version = &v
	}
	return c
}

// fetch takes what a member knows more.
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

// take asks a member for what it knows more and takes that.
func (i *Instance) fetchAndMerge(ctx context.Context, m mesh.Member) error {
	c, err := mesh.FetchSnapshot(ctx, m.Address, i.opt.Now, i.knownRevisions())
	if err != nil {
		event.Log(i.logger, event.SnapshotFailed, "peer", m.ID, "error", err.Error())
		return err
	}
	i.metrics.snapshots.Inc(1)
	i.catalog.Merge(c.Tables, m.ID)
	switch {
	case c.Version != nil:
		i.policy.ApplyIfNewer(*c.Version, m.ID)
	case c.VersionKnown:
		i.policy.SetVersionKnown()
	}
	return nil
}

// catchUpDelay is how long a peer may be ahead before its snapshot is fetched:
// usually the own watch brings the change.
const catchUpDelay = 600 * time.Millisecond

// catchUp fetches the snapshot of a peer that has known more for a while.
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
