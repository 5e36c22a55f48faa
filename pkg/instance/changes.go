package instance

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/sequoiacove/sequoiacove/pkg/catalog"
	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/mesh"
	"github.com/sequoiacove/sequoiacove/pkg/revision"
)

// fetchAnnouncedChanges fetches changes from the members whose heartbeats
// announce newer revisions, until ctx ends.
func (i *Instance) fetchAnnouncedChanges(ctx context.Context) {
	for {
		select {
		case m := <-i.membersAhead:
			i.startFetch(ctx, m)
		case <-ctx.Done():
			return
		}
	}
}

// startFetch fetches the changes of a member in the background, unless that has to wait
// (fetches). It reports whether a fetch began. After a fetch, it goes on with a watcher of the
// region that has announced newer revisions in the meantime.
func (i *Instance) startFetch(ctx context.Context, m mesh.Member) bool {
	if !i.fetches.begin(m.ID) {
		return false
	}
	go func() {
		before := i.knownRevisions()
		err := i.fetchIfNewer(ctx, m)
		i.fetches.end(m.ID, err)
		known := i.knownRevisions()
		if err != nil || ctx.Err() != nil || known == before {
			return
		}
		for _, next := range i.mesh.Live() {
			if next.Watching && next.Region == i.settings.Region && i.isAhead(next, known) && i.takesTablesFrom(next, known) {
				i.startFetch(ctx, next)
				return
			}
		}
	}()
	return true
}

// isAhead reports whether a member has newer revisions than the given ones.
func (i *Instance) isAhead(m mesh.Member, known mesh.KnownRevisions) bool {
	return i.hasNewerTables(m, known) || m.DescriptionVersion > known.DescriptionVersion
}

// hasNewerTables reports whether a member has a newer table than the given revisions, of the
// newest known era of the store. Tables of earlier eras would be fetched for nothing.
func (i *Instance) hasNewerTables(m mesh.Member, known mesh.KnownRevisions) bool {
	era := i.catalog.Era()
	newer := func(theirs, own revision.Revision) bool { return theirs.Era >= era && theirs.After(own) }
	return newer(m.DirectivesRevision, known.DirectivesRevision) || newer(m.UpstreamsRevision, known.UpstreamsRevision)
}

// takesTablesFrom reports whether this instance takes the tables from a watcher of its region
// instead of the store. In a new era of the store it does so although its own tables are no
// longer proven current, because otherwise more instances would list them at the same moment.
func (i *Instance) takesTablesFrom(m mesh.Member, known mesh.KnownRevisions) bool {
	newEra := m.DirectivesRevision.Era > known.DirectivesRevision.Era || m.UpstreamsRevision.Era > known.UpstreamsRevision.Era
	return newEra || !i.watchesStore()
}

// knownRevisions returns the table revisions and the description version that
// this instance has.
func (i *Instance) knownRevisions() mesh.KnownRevisions {
	directives, upstreams := i.catalog.Revisions()
	version := i.policy.Current()
	return mesh.KnownRevisions{DirectivesRevision: directives, UpstreamsRevision: upstreams, DescriptionVersion: version.Number, DescriptionHash: version.Hash, LargeRow: i.catalog.LargeRow()}
}

// changesSince returns the changes that a member with the given revisions does
// not have yet.
func (i *Instance) changesSince(known mesh.KnownRevisions) mesh.Changes {
	c := mesh.Changes{Tables: i.catalog.Snapshot(known.DirectivesRevision, known.UpstreamsRevision, known.LargeRow), VersionKnown: i.policy.VersionKnown()}
	if v := i.policy.Current(); v.Number > known.DescriptionVersion {
		v = versionFor(v, known.DescriptionHash, &i.descriptionDifferences)
		v.Earlier = i.versions.Earlier(v.Number)
		c.Version = &v
	}
	return c
}

// fetchIfNewer fetches the changes from a member if it has newer revisions than
// this instance. If the fetch fails, this instance watches the store itself for
// fetchFailureWatchTime.
func (i *Instance) fetchIfNewer(ctx context.Context, m mesh.Member) error {
	if !i.isAhead(m, i.knownRevisions()) {
		return nil
	}
	err := i.fetchAndMerge(ctx, m)
	if err != nil {
		until := i.opt.Now().Add(fetchFailureWatchTime)
		i.watchStoreUntil.Store(&until)
	}
	return err
}

// fetchAndMerge fetches the changes that this instance lacks from a member and
// applies them. If they are stated as a difference that does not fit, it fetches them whole.
func (i *Instance) fetchAndMerge(ctx context.Context, m mesh.Member) error {
	known := i.knownRevisions()
	err := i.fetchSince(ctx, m, known)
	if errors.Is(err, catalog.ErrDifference) {
		known.LargeRow, known.DescriptionHash = catalog.RowRevision{}, ""
		err = i.fetchSince(ctx, m, known)
	}
	return err
}

// fetchSince fetches the changes since known from a member and applies them.
func (i *Instance) fetchSince(ctx context.Context, m mesh.Member, known mesh.KnownRevisions) error {
	requestedAt := i.opt.Now()
	c, transfer, err := mesh.FetchSnapshot(ctx, m.Address, i.opt.Now, known, func() { i.fetches.advance(m.ID) })
	var version cluster.Version
	if err == nil && c.Version != nil {
		version, err = restoreVersion(*c.Version, i.policy.Current())
	}
	if err == nil {
		err = i.mergeChanges(c, version, m.ID, requestedAt)
	}
	i.recordTransfer(m.ID, transfer, err)
	return err
}

// mergeChanges applies the answer of a peer. version is that of the answer with its whole body.
func (i *Instance) mergeChanges(c mesh.Changes, version cluster.Version, peer string, requestedAt time.Time) error {
	i.mergeMu.Lock()
	defer i.mergeMu.Unlock()
	if err := i.catalog.Merge(c.Tables, peer, requestedAt); err != nil {
		return err
	}
	switch {
	case c.Version != nil:
		i.policy.ApplyIfNewer(version, peer)
	case c.VersionKnown:
		i.policy.MarkVersionKnown()
	}
	return nil
}

// upToDate reports whether the tables are proven current and no live instance announces a newer
// description. If a peer's answer has proven it, the description of the same answer is in force.
func (i *Instance) upToDate() bool {
	i.mergeMu.Lock()
	defer i.mergeMu.Unlock()
	version := i.policy.Current().Number
	isNewer := func(m mesh.Member) bool { return m.DescriptionVersion > version }
	return i.catalog.Current() && !slices.ContainsFunc(i.mesh.Live(), isNewer)
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
// does not wait if this instance lacks a table or has an older description. It prefers peers
// of the own region and draws one of them, so that not all instances ask the same one.
func (i *Instance) catchUp(ctx context.Context, now time.Time) {
	known := i.knownRevisions()
	waits := !known.DirectivesRevision.IsZero() && !known.UpstreamsRevision.IsZero()
	var local, remote []mesh.Member
	for _, m := range i.mesh.Live() {
		if !i.isAhead(m, known) {
			delete(i.aheadSince, m.ID)
			continue
		}
		since, ok := i.aheadSince[m.ID]
		if !ok {
			i.aheadSince[m.ID] = now
			since = now
		}
		switch {
		case waits && m.DescriptionVersion <= known.DescriptionVersion && now.Sub(since) < catchUpDelay:
		case m.Region == i.settings.Region:
			local = append(local, m)
		default:
			remote = append(remote, m)
		}
	}
	for _, group := range [][]mesh.Member{local, remote} {
		for n := range group {
			j := n + int(i.opt.Random()*float64(len(group)-n))
			group[n], group[j] = group[j], group[n]
			if i.startFetch(ctx, group[n]) {
				clear(i.aheadSince)
				return
			}
		}
	}
}
