package agent

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/description"
	"github.com/sequoiacove/sequoiacove/pkg/entry"
	"github.com/sequoiacove/sequoiacove/pkg/operator"
	"github.com/sequoiacove/sequoiacove/pkg/peer"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// drainSpread is the time until no instance gives new work to an upstream or
// instance that is being drained: the bound for leaving upstreams.
const drainSpread = 3 * time.Second

// Drain implements operatorapi.Backend.
func (b backend) Drain(ctx context.Context, id string) (operator.Drain, error) {
	a := b.Agent
	d, version, err := a.description()
	if err != nil {
		return operator.Drain{}, err
	}
	members := a.members.Members()
	at := slices.IndexFunc(members, func(m cluster.Member) bool { return m.ID == id })
	if at >= 0 {
		return a.drainInstance(ctx, d, version, members[at])
	}
	listed, ok := a.instances.find(id)
	draining := d.Drained(id) || d.InstanceDrained(id)
	switch {
	case !ok && !draining:
		return operator.Drain{}, result.New(result.NotFound, "no upstream or instance %.128q", id)
	case !ok || d.InstanceDrained(id):
		// Neither the platform nor the members know it any more.
		return operator.Drain{ID: id, State: operator.DrainDrained}, nil
	}
	draining = draining || listed.State == cluster.Leaving
	return a.drainUpstream(ctx, id, listed.Domain, draining, members, a.settled(version, drainSpread))
}

// settled reports whether the time in which a version takes effect has passed.
func (a *Agent) settled(version cluster.Version, spread time.Duration) bool {
	return time.Since(time.UnixMilli(version.AcceptedUnixMS)) >= spread
}

// drainInstance asks the entry of an instance for its requests in flight.
// Callers may use cached look-up answers that name it until their lifetime ends.
func (a *Agent) drainInstance(ctx context.Context, d *description.Description, version cluster.Version, m cluster.Member) (operator.Drain, error) {
	reply := operator.Drain{ID: m.ID, State: operator.DrainServing}
	if m.State == cluster.Dead || m.EntryIncarnation == 0 {
		reply.State = operator.DrainDrained
		return reply, nil
	}
	var err error
	reply.InFlight, err = a.inFlight(ctx, m, m.ID)
	if err != nil {
		return reply, err
	}
	if m.State == cluster.Leaving || d.InstanceDrained(m.ID) {
		reply.State = operator.DrainDraining
	}
	if d.InstanceDrained(m.ID) && reply.InFlight == 0 && a.settled(version, drainSpread+d.Lookup.TTL()) {
		reply.State = operator.DrainDrained
	}
	return reply, nil
}

// drainUpstream sums the executions on an upstream over the entries of its
// domain. A former pool owner may still run some, so all of them are asked.
func (a *Agent) drainUpstream(ctx context.Context, id, domain string, draining bool, members []cluster.Member, settled bool) (operator.Drain, error) {
	var group sync.WaitGroup
	var mu sync.Mutex
	var failure error
	reply := operator.Drain{ID: id, State: operator.DrainServing}
	for _, m := range cluster.Live(members) {
		if m.Domain != domain {
			continue
		}
		group.Go(func() {
			n, err := a.inFlight(ctx, m, id)
			mu.Lock()
			defer mu.Unlock()
			reply.InFlight += n
			if err != nil {
				failure = err
			}
		})
	}
	group.Wait()
	if failure != nil {
		return reply, failure
	}
	if draining {
		reply.State = operator.DrainDraining
	}
	if draining && reply.InFlight == 0 && settled {
		reply.State = operator.DrainDrained
	}
	return reply, nil
}

// inFlight asks the entry of a member for its work with an id.
func (a *Agent) inFlight(ctx context.Context, m cluster.Member, id string) (int, error) {
	addr := m.EntryAddress
	if m.ID == a.settings.ID {
		addr = a.settings.Entry.PeerAddress
	}
	var reply entry.ControlReply
	question := entry.ControlRequest{Action: entry.ControlInFlight, ID: id}
	err := a.askEntry(ctx, addr, peer.Control, question, &reply)
	return reply.InFlight, err
}
