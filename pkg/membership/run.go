package membership

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

const (
	// exchangeTimeout is below SuspectAfter, so that one unreachable peer does
	// not hold up news of the others.
	exchangeTimeout = time.Second
	// contactEvery is the number of rounds between calls to an address that is
	// not a live member, which is how parts that were cut off find each other.
	contactEvery = 2
	// resyncFanout is the number of peers asked after a pause.
	resyncFanout = 3
	// resyncGrace is the further wait after the first answer, so that a peer that
	// is gone does not hold up the first snapshot for the whole timeout; it
	// covers three round trips of 55 ms and a handshake.
	resyncGrace = 250 * time.Millisecond
)

// Run sends heartbeats until ctx ends.
func (t *Table) Run(ctx context.Context) {
	var exchanges sync.WaitGroup
	defer exchanges.Wait()
	for round := 0; ctx.Err() == nil; round++ {
		for _, addr := range t.beat(round) {
			exchanges.Go(func() { t.exchangeOnce(ctx, addr) })
		}
		select {
		case <-ctx.Done():
		case <-t.beatNow:
		case <-t.cfg.Clock.After(t.jitter()):
		}
	}
}

// jitterPart is the part of the interval by which a round may be early or late.
const jitterPart = 0.1

// jitter returns the time to the next round, so that agents that started
// together spread their heartbeats.
func (t *Table) jitter() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(float64(t.cfg.Interval) * (1 - jitterPart + 2*jitterPart*t.cfg.Random.Float64()))
}

// beat raises the own sequence and returns the addresses of this round.
func (t *Table) beat(round int) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.step()
	t.self.Sequence++
	live, others := t.addresses()
	targets := t.pick(live, t.cfg.Fanout)
	if len(live) == 0 {
		return append(targets, t.pick(others, t.cfg.Fanout)...)
	}
	if round%contactEvery == 0 {
		targets = append(targets, t.pick(others, 1)...)
	}
	return targets
}

// addresses returns the agent addresses of live members and all other known
// ones: seeds, the platform's list and dead members.
func (t *Table) addresses() (live, others []string) {
	taken := map[string]bool{t.self.AgentAddress: true}
	for _, e := range t.peers {
		if e.state != cluster.Dead && !taken[e.member.AgentAddress] {
			taken[e.member.AgentAddress] = true
			live = append(live, e.member.AgentAddress)
		}
	}
	add := func(addr string) {
		if !taken[addr] {
			taken[addr] = true
			others = append(others, addr)
		}
	}
	for _, addr := range t.cfg.Seeds {
		add(addr)
	}
	for _, addr := range t.listed {
		add(addr)
	}
	for _, e := range t.peers {
		add(e.member.AgentAddress)
	}
	// A fixed order makes the random choice repeatable.
	sort.Strings(live)
	sort.Strings(others)
	return live, others
}

// pick returns up to n random addresses without an exchange in flight.
func (t *Table) pick(addresses []string, n int) []string {
	var picked []string
	for _, i := range t.cfg.Random.Perm(len(addresses)) {
		if len(picked) == n {
			break
		}
		if !t.inFlight[addresses[i]] {
			t.inFlight[addresses[i]] = true
			picked = append(picked, addresses[i])
		}
	}
	return picked
}

// exchangeOnce runs one exchange with an address that pick returned.
func (t *Table) exchangeOnce(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	err := t.exchange(ctx, addr)
	t.mu.Lock()
	delete(t.inFlight, addr)
	t.mu.Unlock()
	return err == nil
}

// Resumed returns the end of the last pause of this process that the table saw,
// or the zero time.
func (t *Table) Resumed() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.step()
	return t.resumed
}

// Resync exchanges records with several peers, as is needed after a pause. It
// fails when no peer answered within the bound; the table is then all that this
// instance can know.
func (t *Table) Resync(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, resyncBound)
	defer cancel()
	t.mu.Lock()
	t.step()
	// Exchanges from before the pause must not keep their peers from being
	// asked again.
	clear(t.inFlight)
	live, others := t.addresses()
	targets := t.pick(live, resyncFanout)
	if len(targets) < resyncFanout {
		targets = append(targets, t.pick(others, resyncFanout-len(targets))...)
	}
	t.mu.Unlock()

	results := make(chan bool, len(targets))
	for _, addr := range targets {
		go func() { results <- t.exchangeOnce(ctx, addr) }()
	}
	answered := collect(results, len(targets))
	t.release()
	if answered == 0 {
		return result.New(result.PeerUnreachable, "none of %d peers answered after a pause", len(targets))
	}
	return nil
}

// collect waits for n results and returns how many were good. After the first
// good one it waits for the others for resyncGrace only.
func collect(results <-chan bool, n int) (good int) {
	var grace <-chan time.Time
	for range n {
		select {
		case ok := <-results:
			if !ok {
				continue
			}
			good++
			if grace == nil {
				grace = time.After(resyncGrace)
			}
		case <-grace:
			return good
		}
	}
	return good
}

// release ends the time after a pause in which nobody is declared dead.
func (t *Table) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holdUntil = time.Time{}
	t.step()
}
