package agent

import (
	"context"
	"encoding/json"
	"sort"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/description"
	"github.com/sequoiacove/sequoiacove/pkg/entry"
	"github.com/sequoiacove/sequoiacove/pkg/operator"
	"github.com/sequoiacove/sequoiacove/pkg/peer"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

const (
	// entryTimeout bounds a question to an entry.
	entryTimeout = 2 * time.Second
	// shareTolerance is the distance to the target at which a move counts as
	// finished; it is above the rounding of float64 shares.
	shareTolerance = 1e-4
)

func (p *api) members(*call) (any, error) {
	return operator.MembersReply{Instance: p.agent.settings.ID, Members: p.agent.members.Members()}, nil
}

// description returns the description in force and its version.
func (a *Agent) description() (*description.Description, cluster.Version, error) {
	version := a.sync.Current()
	if version.Number == 0 {
		return nil, version, result.New(result.NoConfiguration, "no version has arrived")
	}
	d, err := description.Parse(version.Body)
	return d, version, err
}

func (p *api) move(c *call) (any, error) {
	d, version, err := p.agent.description()
	if err != nil {
		return nil, err
	}
	service, ok := d.Services[c.argument]
	if !ok {
		return nil, result.New(result.UnknownService, "version %d has no service %q", version.Number, clip(c.argument))
	}
	return newMove(c.argument, version.Number, service.DomainShares(), p.agent.members.Members()), nil
}

// newMove compares the target with the shares of all live instances.
func newMove(service string, version uint64, configured map[string]float64, members []cluster.Member) operator.Move {
	live := liveEntries(members)
	target, unreachable := reachableTarget(configured, live)
	move := operator.Move{
		Service:     service,
		Version:     version,
		Target:      target,
		Unreachable: unreachable,
		Instances:   []operator.MoveInstance{},
		Finished:    true,
	}
	for _, m := range live {
		shares := m.Shares[service]
		finished := m.Version >= version && sameShares(shares, target, shareTolerance)
		move.Finished = move.Finished && finished
		move.Instances = append(move.Instances, operator.MoveInstance{
			ID: m.ID, Domain: m.Domain, Version: m.Version, Shares: shares, Finished: finished,
		})
	}
	return move
}

// liveEntries returns the members whose entry is known to run.
func liveEntries(members []cluster.Member) []cluster.Member {
	var live []cluster.Member
	for _, m := range members {
		if m.State != cluster.Dead && m.EntryIncarnation != 0 {
			live = append(live, m)
		}
	}
	return live
}

// reachableTarget rescales shares to the failure domains with a live entry; if
// there is none, it returns them as they are.
func reachableTarget(configured map[string]float64, live []cluster.Member) (target map[string]float64, unreachable []string) {
	reachable := make(map[string]bool)
	for _, m := range live {
		reachable[m.Domain] = true
	}
	var sum float64
	unreachable = []string{}
	for domain, share := range configured {
		if reachable[domain] {
			sum += share
		} else if share > 0 {
			unreachable = append(unreachable, domain)
		}
	}
	sort.Strings(unreachable)
	if len(unreachable) == 0 || sum == 0 {
		return configured, unreachable
	}
	target = make(map[string]float64)
	for domain, share := range configured {
		if reachable[domain] {
			target[domain] = share / sum
		} else {
			target[domain] = 0
		}
	}
	return target, unreachable
}

func (p *api) explain(c *call) (any, error) {
	question := entry.ExplainRequest{Service: clip(c.query("service")), Method: clip(c.query("method")), Path: c.query("path")}
	if question.Service == "" {
		return nil, result.New(result.BadRequest, "service is required")
	}
	if question.Method == "" {
		question.Method = "GET"
	}
	var answer entry.Explanation
	if err := p.agent.askEntry(c.ctx, p.agent.settings.Entry.PeerAddress, peer.Explain, question, &answer); err != nil {
		return nil, err
	}
	return answer, nil
}

// askEntry sends a message to an entry and waits at most entryTimeout.
func (a *Agent) askEntry(ctx context.Context, addr string, typ peer.MessageType, msg, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	return a.client.Call(ctx, addr, typ, msg, reply)
}

func (p *api) state(c *call) (any, error) {
	own, err := json.Marshal(p.agent.state())
	if err != nil {
		return nil, result.New(result.Internal, "encoding the agent's state: %v", err)
	}
	reply := operator.State{Agent: own}
	var dump []byte
	if err := p.agent.askEntry(c.ctx, p.agent.settings.Entry.PeerAddress, peer.DumpState, nil, &dump); err != nil {
		reply.EntryError = err.Error()
		return reply, nil
	}
	reply.Entry = dump
	return reply, nil
}
