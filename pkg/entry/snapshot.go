package entry

import (
	"maps"
	"sort"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/description"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/routing"
)

// Limits on a snapshot: three times the target of 3,300 nodes.
const (
	maxMembers   = 10_000
	maxUpstreams = 10_000
)

// snapshotDecoder bounds arrays and maps, so that a short message cannot make
// the decoder allocate large ones.
var snapshotDecoder = mustDecoder(cbor.DecOptions{
	MaxArrayElements: maxMembers,
	MaxMapPairs:      maxMembers,
	MaxNestedLevels:  16,
})

func mustDecoder(opt cbor.DecOptions) cbor.DecMode {
	mode, err := opt.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// order is the place of a snapshot among all snapshots.
type order struct{ incarnation, sequence uint64 }

func (o order) before(other order) bool {
	if o.incarnation != other.incarnation {
		return o.incarnation < other.incarnation
	}
	return o.sequence < other.sequence
}

// HandleSnapshot decodes and applies a snapshot and returns the entry's report.
func (e *Entry) HandleSnapshot(body []byte) (*cluster.EntryReport, error) {
	var s cluster.Snapshot
	if err := snapshotDecoder.Unmarshal(body, &s); err != nil {
		return nil, result.New(result.PeerProtocol, "snapshot: %v", err)
	}
	return e.Apply(&s)
}

// Apply replaces the view by a snapshot. A snapshot that is not newer than the
// last one, or whose base is another one, changes nothing; an older version
// inside a newer snapshot keeps the version in force.
func (e *Entry) Apply(s *cluster.Snapshot) (*cluster.EntryReport, error) {
	if len(s.Members) > maxMembers || len(s.Removed) > maxMembers || len(s.Upstreams) > maxUpstreams {
		return nil, result.New(result.PeerProtocol, "snapshot with %d members and %d upstreams", len(s.Members), len(s.Upstreams))
	}
	e.applyMu.Lock()
	defer e.applyMu.Unlock()
	at := order{s.AgentIncarnation, s.Sequence}
	if !e.applied.before(at) || !e.extends(s) {
		return e.report(s.Version.Number), nil
	}
	update, err := e.updateOf(s)
	if err != nil {
		return nil, err
	}
	if err := e.adopt(s.Version); err != nil {
		return nil, err
	}
	e.applied = at
	now := e.opt.Now()
	e.checkPause(now)
	resumed := e.gate.snapshot(now)
	e.replaceView(s, update, now)
	if resumed {
		e.routes.Rejoin(s.PeerShares, e.gate.origin.Add(time.Duration(e.gate.pausedAt.Load())), now)
	}
	return e.report(s.Version.Number), nil
}

// adopt parses a version that is above the one in force.
func (e *Entry) adopt(version cluster.Version) error {
	if version.Number <= e.version.Number {
		return nil
	}
	if hash := description.Hash(version.Body); hash != version.Hash {
		return result.New(result.ObjectCorrupt, "version %d has hash %s, not %s", version.Number, hash, version.Hash)
	}
	d, err := description.Parse(version.Body)
	if err != nil {
		return err
	}
	e.previous = nil
	if len(version.PreviousBody) > 0 {
		// An unreadable previous version only loses a starting point.
		e.previous, _ = description.Parse(version.PreviousBody)
	}
	e.version, e.description = version, d
	e.blocks = newBlockTable(d.Lookup.Blocks)
	if d.InstanceDrained(e.opt.Instance) {
		e.gate.scheduleRelease(e.opt.Now())
	} else {
		e.gate.cancelRelease()
	}
	event.Log(e.opt.Logger, event.VersionInForce, "version", version.Number, "hash", version.Hash)
	return nil
}

// replaceView builds the view of a snapshot and hands it to routing, budgets
// and admission, as far as the snapshot changes what they use. Without a version
// there is nothing to route yet.
func (e *Entry) replaceView(s *cluster.Snapshot, update memberUpdate, now time.Time) {
	e.members = update.members
	if s.Upstreams != nil {
		// An agent that restarted during a platform outage knows no list; the
		// last one is better than none.
		e.upstreams = s.Upstreams
	}
	if update.viewChanged {
		e.generation++
	}
	if update.changed {
		e.routed = nil
	}
	if e.description == nil {
		return
	}
	if e.gate.detached.CompareAndSwap(true, false) {
		e.gate.cancelRelease()
		event.Log(e.opt.Logger, event.EntryAttached)
	}
	v := e.rebuildView()
	e.updateRouting(s, v, now)
}

// updateRouting hands a view and the shares of a snapshot to routing unless it
// has just these.
func (e *Entry) updateRouting(s *cluster.Snapshot, v *view, now time.Time) {
	if e.routed == v && sharesEqual(e.peerShares, s.PeerShares) && sharesEqual(e.checkpointShares, s.CheckpointShares) {
		return
	}
	e.noteReachable(v)
	e.routes.Update(e.routingInput(s, v), now)
	e.budgets.Update(e.description.Links, v.instancesIn(e.opt.Region), now)
	e.routed, e.peerShares, e.checkpointShares = v, s.PeerShares, s.CheckpointShares
}

func sharesEqual(a, b cluster.Shares) bool {
	return maps.EqualFunc(a, b, maps.Equal[map[string]float64, map[string]float64])
}

// rebuildView puts a view of the last snapshot into force, with the present own
// state and without the owners that this instance cannot reach.
func (e *Entry) rebuildView() *view {
	state := viewState{
		version:     e.version,
		description: e.description,
		blocks:      e.blocks,
		generation:  e.generation,
		self:        e.self(),
		detached:    e.gate.detached.Load(),
		keepsPools:  e.gate.keepsPools(e.opt.Now()),
		unreachable: e.avoid.current(),
	}
	v := e.view.Load()
	if !v.upToDate(&state) {
		v = newView(state, e.members, v)
	}
	if e.gate.staleFor.Load() == 0 {
		e.opt.Admission.Update(e.ownedPools(v))
	}
	e.view.Store(v)
	return v
}

// ownedPools returns the pools of the domain that a view gives to this
// instance.
func (e *Entry) ownedPools(v *view) []Pool {
	upstreams := make(map[string][]cluster.UpstreamRecord)
	for _, u := range e.upstreams {
		if u.Domain == e.opt.Domain {
			upstreams[u.Service] = append(upstreams[u.Service], drainedAsLeaving(v.description, u))
		}
	}
	var pools []Pool
	for name, svc := range v.description.Services {
		if !v.owns(name) {
			continue
		}
		limit := svc.DomainLimit(e.opt.Region, e.opt.Domain)
		pools = append(pools, Pool{Service: name, Limit: limit, Upstreams: upstreams[name]})
	}
	sort.Slice(pools, func(i, j int) bool { return pools[i].Service < pools[j].Service })
	return pools
}

// drainedAsLeaving shows an upstream that operators drain as leaving, so that
// it gets no new work.
func drainedAsLeaving(d *description.Description, u cluster.UpstreamRecord) cluster.UpstreamRecord {
	if d.Drained(u.ID) {
		u.State = cluster.Leaving
	}
	return u
}

// noteReachable logs the domains with a share that became unreachable.
func (e *Entry) noteReachable(v *view) {
	reachable := v.reachable()
	for domain := range v.domainsWithShare() {
		if !reachable[domain] && !e.unreachable[domain] {
			event.Log(e.opt.Logger, event.DomainUnreachable, "domain", domain)
		}
		e.unreachable[domain] = !reachable[domain]
	}
}

func (e *Entry) routingInput(s *cluster.Snapshot, v *view) routing.Input {
	in := routing.Input{
		Description:      e.description,
		Previous:         e.previous,
		SinceAccepted:    e.opt.Now().Sub(time.UnixMilli(e.version.AcceptedUnixMS)),
		Reachable:        v.reachable(),
		PeerShares:       s.PeerShares,
		CheckpointShares: s.CheckpointShares,
		Home:             e.opt.Region,
	}
	in.Peers = make([]cluster.Member, 0, len(e.members))
	for _, m := range e.members {
		if m.ID == e.opt.Instance {
			in.Own = m.Demand
		}
		if m.ID == e.opt.Instance || m.State == cluster.Dead || m.EntryIncarnation == 0 {
			continue
		}
		in.Peers = append(in.Peers, m)
		in.Behind = in.Behind || m.Version > e.version.Number
	}
	return in
}

// report answers a snapshot. The body of the version travels only to an agent
// that has an older one, such as an agent that restarted during an outage.
func (e *Entry) report(agentVersion uint64) *cluster.EntryReport {
	version := e.version
	if agentVersion >= version.Number {
		version.Body, version.PreviousBody = nil, nil
	}
	report := &cluster.EntryReport{
		Incarnation:        e.incarnation,
		AppliedIncarnation: e.applied.incarnation,
		AppliedSequence:    e.applied.sequence,

		Leaving: e.gate.leaving.Load(),
		Version: version,
		Pools:   e.opt.Admission.Reports(),
		Demand:  e.routes.Demand(),
	}
	if e.gate.staleFor.Load() == 0 {
		// Shares from before a pause would distort the mean that others
		// adopt after theirs.
		report.Shares = e.routes.Shares()
	}
	return report
}
