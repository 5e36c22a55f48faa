package agent

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/membership"
	"github.com/sequoiacove/sequoiacove/pkg/peer"
)

const (
	// pushInterval is the longest time between two snapshots.
	pushInterval = 200 * time.Millisecond
	// pushGap bounds the pushes during a burst of changes.
	pushGap = 20 * time.Millisecond
	// entrySilence is the time without a report after which the entry counts
	// as dead; it also bounds one push.
	entrySilence = time.Second
)

// versions is the part of configsync.Syncer that the link uses.
type versions interface {
	Current() cluster.Version
	Offer(cluster.Version) bool
}

// linkConfig holds the inputs of an entryLink.
type linkConfig struct {
	// Address is the peer address of the own entry.
	Address  string
	Caller   peer.Caller
	Clock    membership.Clock
	Members  *membership.Table
	Versions versions
	// Upstreams returns the upstreams of the own failure domain.
	Upstreams func() []cluster.UpstreamRecord
	// Checkpoint returns the shares of the last checkpoint.
	Checkpoint func() cluster.Shares
	// Resync exchanges records and versions with peers after a pause.
	Resync func(ctx context.Context)
	Logger *slog.Logger
}

// entryLink pushes snapshots to the own entry and takes its reports.
type entryLink struct {
	cfg  linkConfig
	poke chan struct{}

	mu sync.Mutex
	// sequence numbers the snapshots of this process.
	sequence uint64
	// incarnation is that of the entry, or 0 while it does not answer.
	incarnation uint64
	// left is the incarnation of the entry that made the member leave, and
	// stopping tells that the agent itself did.
	left     uint64
	stopping bool
	// reported is the version that the entry holds with its body.
	reported   uint64
	lastReport time.Time
	// resumed is the end of the last pause after which peers were asked.
	resumed time.Time
	// delta leaves out the members that the entry has. Only run uses it.
	delta memberDelta
}

func newEntryLink(cfg linkConfig) *entryLink {
	return &entryLink{cfg: cfg, poke: make(chan struct{}, 1), lastReport: cfg.Clock.Now()}
}

// notify makes the next push happen now.
func (l *entryLink) notify() {
	select {
	case l.poke <- struct{}{}:
	default:
	}
}

// run pushes snapshots one after another until ctx ends. The entry relies on
// the order: a snapshot is built after the answer to the one before.
func (l *entryLink) run(ctx context.Context) {
	for ctx.Err() == nil {
		l.push(ctx)
		select {
		case <-ctx.Done():
		case <-l.cfg.Clock.After(pushGap):
		}
		select {
		case <-ctx.Done():
		case <-l.cfg.Clock.After(pushInterval - pushGap):
		case <-l.cfg.Members.Changed():
		case <-l.poke:
		}
	}
}

// push sends one snapshot and takes in the report.
func (l *entryLink) push(ctx context.Context) {
	l.catchUp(ctx)
	snapshot := l.snapshot()
	if l.paused() {
		// The records in the snapshot are from before a pause.
		l.delta.reset()
		l.notify()
		return
	}
	call, cancel := context.WithTimeout(ctx, entrySilence)
	defer cancel()
	var report cluster.EntryReport
	if err := l.cfg.Caller.Call(call, l.cfg.Address, peer.PushSnapshot, snapshot, &report); err != nil {
		l.delta.reset()
		l.failed()
		return
	}
	if !l.delta.answered(snapshot, &report, l.cfg.Members.Self().ID) {
		l.notify()
	}
	if report.AppliedIncarnation > snapshot.AgentIncarnation {
		// The entry ignores snapshots of an agent that looks older than the last.
		l.cfg.Members.RaiseAbove(report.AppliedIncarnation)
		l.notify()
	}
	l.took(&report, snapshot.Version.Number)
}

func (l *entryLink) paused() bool {
	resumed := l.cfg.Members.Resumed()
	l.mu.Lock()
	defer l.mu.Unlock()
	return !resumed.Equal(l.resumed)
}

// catchUp asks peers after a pause of this process, which is no evidence about
// the entry either.
func (l *entryLink) catchUp(ctx context.Context) {
	if !l.paused() {
		return
	}
	resumed := l.cfg.Members.Resumed()
	l.cfg.Resync(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resumed = resumed
	l.lastReport = l.cfg.Clock.Now()
}

// snapshot builds the next snapshot. The body of the version is left out once
// the entry has it.
func (l *entryLink) snapshot() *cluster.Snapshot {
	version := l.cfg.Versions.Current()
	members := l.cfg.Members.Members()
	self := l.cfg.Members.Self()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	if version.Number <= l.reported {
		version.Body, version.PreviousBody = nil, nil
	}
	snapshot := &cluster.Snapshot{
		AgentIncarnation: self.Incarnation,
		Sequence:         l.sequence,
		Version:          version,
		Upstreams:        l.cfg.Upstreams(),
		CheckpointShares: l.cfg.Checkpoint(),
	}
	l.delta.fill(snapshot, members, self.ID)
	return snapshot
}

// failed handles a push without a report. The entry may have restarted, so the
// next snapshot carries the version with its body.
func (l *entryLink) failed() {
	l.mu.Lock()
	l.reported = 0
	silent := l.incarnation != 0 && l.cfg.Clock.Now().Sub(l.lastReport) >= entrySilence
	// An entry that was leaving has stopped as planned.
	planned := l.stopping || l.left == l.incarnation
	if silent {
		l.incarnation = 0
	}
	l.mu.Unlock()
	if silent && !planned {
		event.Log(l.cfg.Logger, event.EntrySilent, "address", l.cfg.Address)
	}
	if silent {
		l.cfg.Members.Update(func(m *cluster.Member) { m.EntryIncarnation = 0 })
	}
}

// took takes in a report. An entry with a higher version is a source for it,
// for instance after this agent restarted while the store is down.
func (l *entryLink) took(report *cluster.EntryReport, sent uint64) {
	if report.Version.Number > sent && len(report.Version.Body) > 0 {
		l.cfg.Versions.Offer(report.Version)
	}
	l.mu.Lock()
	l.lastReport = l.cfg.Clock.Now()
	l.reported = report.Version.Number
	appeared := report.Incarnation != l.incarnation
	l.incarnation = report.Incarnation
	rejoin := !report.Leaving && !l.stopping && l.left != 0 && l.left != report.Incarnation
	if report.Leaving {
		l.left = report.Incarnation
	} else if rejoin {
		l.left = 0
	}
	l.mu.Unlock()
	if appeared {
		event.Log(l.cfg.Logger, event.EntryAnswered, "incarnation", report.Incarnation, "version", report.Version.Number)
	}
	if report.Leaving {
		l.cfg.Members.Leave()
	}
	current := l.cfg.Versions.Current()
	l.cfg.Members.Update(func(m *cluster.Member) {
		m.EntryIncarnation = report.Incarnation
		m.Shares, m.Pools, m.Demand = report.Shares, report.Pools, report.Demand
		m.Version, m.Hash = current.Number, current.Hash
	})
	if rejoin {
		l.cfg.Members.Rejoin()
	}
}

// stop marks the agent as stopping: a replaced entry does not rejoin.
func (l *entryLink) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopping = true
}

// entryIncarnation returns the incarnation of the entry, 0 if it is silent.
func (l *entryLink) entryIncarnation() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.incarnation
}
