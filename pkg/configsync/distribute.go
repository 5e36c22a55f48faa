package configsync

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/peer"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

const (
	// pushTimeout bounds a push to one agent: a new connection between regions
	// takes about 3 round trips of 55 ms.
	pushTimeout = 500 * time.Millisecond
	// relayWait is how long a relay waits for the agents of its domain before
	// it answers; a connection inside a domain takes a few milliseconds.
	relayWait = 150 * time.Millisecond
	// relayHedge starts a further relay while none has answered: a new
	// connection and relayWait come to about 320 ms.
	relayHedge = 350 * time.Millisecond
	// relayTimeout leaves a relay the time of two hedges.
	relayTimeout = 700 * time.Millisecond
	// maxRelays bounds the relays that are tried in one domain.
	maxRelays = 5
	// maxParallel bounds the pushes that one agent has in flight.
	maxParallel = 256
)

// Reach is the outcome of a distribution.
type Reach struct {
	// Acknowledged counts the agents that confirmed to this agent.
	Acknowledged int
	// Missed counts agents and whole domains without a confirmation, and the
	// agents that had not confirmed to their relay when it answered.
	Missed int
}

// Distribute puts v into force here and pushes it to all other agents. It
// returns when all pushes have ended; ctx must outlive the operator's request,
// because its end stops them.
func (s *Syncer) Distribute(ctx context.Context, v cluster.Version) Reach {
	s.Offer(v)
	own, others := s.targets(v.Number)
	u := newUpdate(v)
	var acknowledged, missed atomic.Int64
	var group sync.WaitGroup
	for domain, candidates := range others {
		group.Go(func() {
			ack, err := s.pushDomain(ctx, u, domain, candidates)
			if err != nil {
				missed.Add(1)
				return
			}
			acknowledged.Add(1)
			missed.Add(int64(ack.Missed))
		})
	}
	var ownAcknowledged atomic.Int64
	s.pushAll(ctx, u, own, &ownAcknowledged)
	group.Wait()
	reached := int(ownAcknowledged.Load())
	return Reach{
		Acknowledged: int(acknowledged.Load()) + reached,
		Missed:       int(missed.Load()) + len(own) - reached,
	}
}

// targets returns the agents of the own domain and those of every other domain
// that are not known to have the version yet.
func (s *Syncer) targets(number uint64) (own []cluster.Member, others map[string][]cluster.Member) {
	others = make(map[string][]cluster.Member)
	for _, m := range s.config.Members() {
		if m.ID == s.config.ID || m.AgentAddress == "" || m.State == cluster.Dead || m.Version >= number {
			continue
		}
		if m.Domain == s.config.Domain {
			own = append(own, m)
		} else {
			others[m.Domain] = append(others[m.Domain], m)
		}
	}
	return own, others
}

// pushAll pushes u to each of the members and counts the confirmations.
func (s *Syncer) pushAll(ctx context.Context, u update, members []cluster.Member, acknowledged *atomic.Int64) {
	var group sync.WaitGroup
	slots := make(chan struct{}, maxParallel)
	for _, m := range members {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			if _, err := s.push(ctx, m, u, false, pushTimeout); err == nil {
				acknowledged.Add(1)
			}
		})
	}
	group.Wait()
}

// pushDomain gives u to a relay of the domain. The next relay follows when one
// fails or has not answered for relayHedge.
func (s *Syncer) pushDomain(ctx context.Context, u update, domain string, candidates []cluster.Member) (Ack, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	relays := rankRelays(domain, u.full.Version.Number, candidates)
	answers := make(chan relayAnswer, len(relays))
	started, pending := 0, 0
	startNext := func() {
		if started == len(relays) {
			return
		}
		relay := relays[started]
		started, pending = started+1, pending+1
		go func() {
			ack, err := s.push(ctx, relay, u, true, relayTimeout)
			answers <- relayAnswer{ack, err}
		}()
	}
	startNext()
	hedge := time.NewTicker(relayHedge)
	defer hedge.Stop()
	for pending > 0 {
		select {
		case got := <-answers:
			pending--
			if got.err == nil {
				return got.ack, nil
			}
			startNext()
		case <-hedge.C:
			startNext()
		}
	}
	return Ack{}, result.New(result.PeerUnreachable, "no relay of domain %q answered", domain)
}

type relayAnswer struct {
	ack Ack
	err error
}

// rankRelays puts serving members first and varies the order with the version,
// so that relaying is spread over a domain.
func rankRelays(domain string, number uint64, candidates []cluster.Member) []cluster.Member {
	ranked := cluster.Rank(fmt.Sprintf("relay/%s/%d", domain, number), candidates)
	ordered := make([]cluster.Member, 0, len(ranked))
	for _, m := range ranked {
		if m.State == cluster.Serving {
			ordered = append(ordered, m)
		}
	}
	for _, m := range ranked {
		if m.State != cluster.Serving {
			ordered = append(ordered, m)
		}
	}
	return ordered[:min(len(ordered), maxRelays)]
}

// push gives u to one agent. A receiver that holds a higher version makes this
// agent fetch it.
func (s *Syncer) push(ctx context.Context, to cluster.Member, u update, relay bool, timeout time.Duration) (Ack, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	number := u.full.Version.Number
	ack, err := s.send(ctx, to, u, relay)
	if err == nil && ack.Number < number {
		err = result.New(result.PeerProtocol, "acknowledged version %d", ack.Number)
	}
	if err != nil {
		s.meters.pushFailed.Inc(1)
		event.Log(s.config.Logger, event.VersionPushFailed, "peer", to.ID, "version", number, "error", err.Error())
		return Ack{}, err
	}
	s.meters.pushed.Inc(1)
	s.Heard(ack.Number, ack.Hash, to.AgentAddress)
	return ack, nil
}

// send sends the delta, and the whole version to a receiver that asks for it.
func (s *Syncer) send(ctx context.Context, to cluster.Member, u update, relay bool) (ack Ack, err error) {
	if u.delta != nil {
		message := *u.delta
		message.Relay = relay
		err = s.config.Caller.Call(ctx, to.AgentAddress, peer.PushVersion, message, &ack)
		if err != nil || !ack.NeedBody {
			return ack, err
		}
	}
	message := u.full
	message.Relay = relay
	ack = Ack{}
	err = s.config.Caller.Call(ctx, to.AgentAddress, peer.PushVersion, message, &ack)
	return ack, err
}

// HandlePush answers peer.PushVersion.
func (s *Syncer) HandlePush(_ context.Context, body []byte) (any, error) {
	push, err := decodePush(body)
	if err != nil {
		return nil, err
	}
	fits, err := s.receive(push)
	if err != nil {
		return nil, err
	}
	current := s.Current()
	if !fits {
		return Ack{Number: current.Number, Hash: current.Hash, NeedBody: true}, nil
	}
	missed := 0
	if push.Relay {
		missed = s.relay(current)
	}
	return Ack{Number: current.Number, Hash: current.Hash, Missed: missed}, nil
}

// relay pushes v to the own domain and returns how many agents have not
// confirmed it after relayWait. The wait lets the sender notice a relay that
// dies at its start; the pushes go on after it and when the sender is gone.
func (s *Syncer) relay(v cluster.Version) (missed int) {
	own, _ := s.targets(v.Number)
	var acknowledged atomic.Int64
	done := make(chan struct{})
	started := s.spawn(func() {
		defer close(done)
		s.pushAll(s.ctx, newUpdate(v), own, &acknowledged)
	})
	if started {
		timer := time.NewTimer(relayWait)
		defer timer.Stop()
		select {
		case <-done:
		case <-timer.C:
		}
	}
	return len(own) - int(acknowledged.Load())
}
