package configsync

import (
	"context"
	"fmt"
	"sync"
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
	// relayTimeout leaves a relay time to push within its domain before it answers.
	relayTimeout = 1200 * time.Millisecond
	// relayHedge starts the next relay while the first has not answered; it is
	// above pushTimeout, because a relay with a dead agent in its domain
	// answers only after that time.
	relayHedge = 600 * time.Millisecond
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
	// agents that relays reported as missed.
	Missed int
}

func (r *Reach) add(other Reach) {
	r.Acknowledged += other.Acknowledged
	r.Missed += other.Missed
}

// Distribute puts v into force here and pushes it to all other agents. It
// returns when all pushes have ended.
func (s *Syncer) Distribute(ctx context.Context, v cluster.Version) Reach {
	s.Offer(v)
	own, others := s.targets(v.Number)
	var total Reach
	var mu sync.Mutex
	var group sync.WaitGroup
	collect := func(r Reach) {
		mu.Lock()
		defer mu.Unlock()
		total.add(r)
	}
	for domain, candidates := range others {
		group.Go(func() { collect(s.pushDomain(ctx, v, domain, candidates)) })
	}
	group.Go(func() { collect(s.pushAll(ctx, v, own)) })
	group.Wait()
	return total
}

// targets returns the agents of the own domain and those of every other domain
// that are not known to have the version yet.
func (s *Syncer) targets(number uint64) (own []cluster.Member, others map[string][]cluster.Member) {
	others = make(map[string][]cluster.Member)
	for _, m := range s.config.Members() {
		if m.ID == s.config.ID || m.AgentAddress == "" || m.State == cluster.Dead {
			continue
		}
		switch {
		case m.Domain != s.config.Domain:
			others[m.Domain] = append(others[m.Domain], m)
		case m.Version < number:
			own = append(own, m)
		}
	}
	return own, others
}

// pushAll pushes v to each of the members.
func (s *Syncer) pushAll(ctx context.Context, v cluster.Version, members []cluster.Member) Reach {
	var reach Reach
	var mu sync.Mutex
	var group sync.WaitGroup
	slots := make(chan struct{}, maxParallel)
	for _, m := range members {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			_, err := s.push(ctx, m, Push{Version: v}, pushTimeout)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				reach.Missed++
				return
			}
			reach.Acknowledged++
		})
	}
	group.Wait()
	return reach
}

// pushDomain gives v to a relay of the domain. The next relay follows when one
// fails or has not answered for relayHedge.
func (s *Syncer) pushDomain(ctx context.Context, v cluster.Version, domain string, candidates []cluster.Member) Reach {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	relays := rankRelays(domain, v.Number, candidates)
	answers := make(chan relayAnswer, len(relays))
	started, pending := 0, 0
	startNext := func() {
		if started == len(relays) {
			return
		}
		relay := relays[started]
		started, pending = started+1, pending+1
		go func() {
			ack, err := s.push(ctx, relay, Push{Version: v, Relay: true}, relayTimeout)
			answers <- relayAnswer{ack, err}
		}()
	}
	startNext()
	hedge := time.NewTimer(relayHedge)
	defer hedge.Stop()
	for pending > 0 {
		select {
		case got := <-answers:
			pending--
			if got.err == nil {
				return Reach{Acknowledged: 1, Missed: got.ack.Missed}
			}
			startNext()
		case <-hedge.C:
			startNext()
		}
	}
	return Reach{Missed: 1}
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

// push sends one push. A receiver that holds a higher version makes this agent
// fetch it.
func (s *Syncer) push(ctx context.Context, to cluster.Member, message Push, timeout time.Duration) (Ack, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var ack Ack
	err := s.config.Caller.Call(ctx, to.AgentAddress, peer.PushVersion, message, &ack)
	if err == nil && ack.Number < message.Version.Number {
		err = result.New(result.PeerProtocol, "acknowledged version %d", ack.Number)
	}
	if err != nil {
		s.meters.pushFailed.Inc(1)
		event.Log(s.config.Logger, event.VersionPushFailed, "peer", to.ID, "version", message.Version.Number, "error", err.Error())
		return Ack{}, err
	}
	s.meters.pushed.Inc(1)
	s.Heard(ack.Number, ack.Hash, to.AgentAddress)
	return ack, nil
}

// HandlePush answers peer.PushVersion. A relay answers after it has pushed to
// its domain, so that the sender notices a relay that dies on the way; it goes
// on when the sender dies.
func (s *Syncer) HandlePush(_ context.Context, body []byte) (any, error) {
	push, err := decodePush(body)
	if err != nil {
		return nil, err
	}
	s.Offer(push.Version)
	missed := 0
	if push.Relay {
		own, _ := s.targets(push.Version.Number)
		missed = s.pushAll(s.ctx, push.Version, own).Missed
	}
	current := s.Current()
	return Ack{Number: current.Number, Hash: current.Hash, Missed: missed}, nil
}
