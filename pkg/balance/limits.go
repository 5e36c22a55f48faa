package balance

import (
	"sort"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/exchange"
	"github.com/sequoiacove/sequoiacove/pkg/steering"
)

const (
	// coldSenders is the number of instances that share a cold upstream.
	coldSenders = 4
	// coldPart is the part of a cold upstream's rate that is used.
	coldPart = 0.85
	// retryPart is the part of the retry bounds that is used, because the
	// instances do not count at the same moment.
	retryPart = 0.7
	// spillPart is the part of the requests that may leave the region that the
	// shares chose.
	spillPart = 0.03
	// connectionPart is the part of the connections of an upstream that is used.
	connectionPart = 0.9
	// instanceMemory is how long an instance that is heard no more still counts
	// for the limits over all instances: it may be cut off and use its part.
	instanceMemory = time.Minute
	// rateMemory is the time over which rates are averaged.
	rateMemory = 2 * time.Second
	// windowSlots divides the retry window.
	windowSlots = 10
)

// Part returns the rank of the own instance among those that share the limits
// over all instances, and their number.
func (b *Balancer) Part() (rank, instances int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.instances {
		if id < b.config.Instance {
			rank++
		}
	}
	return rank, b.population()
}

// Reachable returns, per service, the failure domains with an upstream that may
// get requests.
func (b *Balancer) Reachable() map[string]map[string]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.config.Now()
	reachable := make(map[string]map[string]bool, len(b.pools))
	for name, p := range b.pools {
		domains := make(map[string]bool)
		for _, u := range p.upstreams {
			if u.usable(now) && !b.evacuated[u.Domain] {
				domains[u.Domain] = true
			}
		}
		reachable[name] = domains
	}
	return reachable
}

// InFlightAt returns the requests of all instances at an upstream; ok is false
// if the upstream is not known.
func (b *Balancer) InFlightAt(id string) (n int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.upstreams[id]
	if u == nil {
		return 0, false
	}
	return u.inFlight + u.peers, true
}

// knownInstance is an instance that counts for the limits.
type knownInstance struct {
	Instance
	live bool
	// lost is the time at which the instance was found dead.
	lost time.Time
}

// SetInstances installs the live instances, the own one included, and the
// number of those that are known by address only.
func (b *Balancer) SetInstances(list []Instance, unheard int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unheard = unheard
	now := b.config.Now()
	live := map[string]bool{b.config.Instance: true}
	for _, i := range list {
		live[i.ID] = true
		b.instances[i.ID] = &knownInstance{Instance: i, live: true}
	}
	for id, i := range b.instances {
		if i.live && !live[id] {
			i.live, i.lost = false, now
		}
	}
	b.expireInstances(now)
}

// expireInstances forgets the instances that have stopped on purpose and those
// that were dead for long; the caller holds the lock.
func (b *Balancer) expireInstances(now time.Time) {
	for id, i := range b.instances {
		if !i.live && (i.Leaving || now.Sub(i.lost) > instanceMemory) {
			delete(b.instances, id)
		}
	}
}

// population is the number of instances that may use a part of a limit.
func (b *Balancer) population() int { return len(b.instances) + b.unheard }

// coldAllowed tells whether this instance may send to a cold upstream now. The
// rate is divided among a few instances of the upstream's region, which all
// instances know from the list of live ones.
func (b *Balancer) coldAllowed(u *upstream, now time.Time) bool {
	return b.coldRate(u) > 0 && !now.Before(u.coldNext)
}

func (b *Balancer) spendCold(u *upstream, now time.Time) {
	if r := b.coldRate(u); r > 0 {
		u.coldNext = now.Add(time.Duration(float64(time.Second) / r))
	}
}

// coldRate returns the requests per second that this instance may send to a
// cold upstream.
func (b *Balancer) coldRate(u *upstream) float64 {
	senders := make([]uint32, 0, len(b.instances))
	own := hash(b.config.Instance, u.ID)
	for _, local := range []bool{true, false} {
		for _, i := range b.instances {
			if !local || i.Region == u.region {
				senders = append(senders, hash(i.ID, u.ID))
			}
		}
		if len(senders) > 0 {
			break
		}
	}
	sort.Slice(senders, func(i, j int) bool { return senders[i] < senders[j] })
	// Those that are known by address only may be senders too.
	parts := float64(min(coldSenders, len(senders)+b.unheard))
	senders = senders[:min(coldSenders, len(senders))]
	for _, h := range senders {
		if h == own {
			return coldPart * b.pool(u.Service).config.ColdRate / parts
		}
	}
	return 0
}

// maxConnections returns the part of the connections of an upstream that this
// instance may have open, 0 if there is no bound. Every instance may have one.
func (b *Balancer) maxConnections(u *upstream) int {
	limit := b.pool(u.Service).config.MaxConnections
	if limit <= 0 {
		return 0
	}
	return max(1, int(connectionPart*float64(limit)/float64(b.population())))
}

// rate is an average of events per second.
type rate struct {
	value float64
	at    time.Time
	count float64
}

func (r *rate) add(now time.Time, n float64) {
	r.count += n
	r.roll(now)
}

// roll folds the events of the last interval into the average.
func (r *rate) roll(now time.Time) {
	const interval = 250 * time.Millisecond
	if r.at.IsZero() {
		r.at = now
		return
	}
	passed := now.Sub(r.at)
	if passed < interval {
		return
	}
	seconds := passed.Seconds()
	weight := min(1, seconds/rateMemory.Seconds())
	r.value += weight * (r.count/seconds - r.value)
	r.count, r.at = 0, now
}

// retryBudget counts requests and repeats of one service in a sliding window.
type retryBudget struct {
	slots [windowSlots]struct{ requests, repeats int }
	head  int
	at    time.Time
	// denied counts repeats that were not allowed.
	denied int
}

func (w *retryBudget) advance(now time.Time, window time.Duration) {
	step := window / windowSlots
	if w.at.IsZero() || now.Sub(w.at) > 2*window {
		*w = retryBudget{at: now, denied: w.denied}
	}
	for now.Sub(w.at) >= step {
		w.head = (w.head + 1) % windowSlots
		w.slots[w.head].requests, w.slots[w.head].repeats = 0, 0
		w.at = w.at.Add(step)
	}
}

func (w *retryBudget) request() {
	w.slots[w.head].requests++
}

// AllowRepeat takes one repeat from the budget of a service; false tells that
// the request must not be sent again.
func (b *Balancer) AllowRepeat(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := &b.pool(service).retries
	state := b.retryState(w)
	if float64(state.Used+1) > state.Allowed {
		w.denied++
		return false
	}
	w.slots[w.head].repeats++
	return true
}

// RetryBudget is the state of the own part of a service's repeats.
type RetryBudget struct {
	// Used and Allowed count the repeats of the current window.
	Used    int
	Allowed float64
	// Denied counts the repeats that were not allowed since the start.
	Denied int
}

// RetryBudgets returns the budgets of all services.
func (b *Balancer) RetryBudgets() map[string]RetryBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budgets := make(map[string]RetryBudget, len(b.pools))
	for name, p := range b.pools {
		budgets[name] = b.retryState(&p.retries)
	}
	return budgets
}

func (b *Balancer) retryState(w *retryBudget) RetryBudget {
	bounds := b.config.Bounds
	w.advance(b.config.Now(), bounds.RetryWindow)
	requests, repeats := 0, 0
	for _, s := range w.slots {
		requests += s.requests
		repeats += s.repeats
	}
	allowed := retryPart * (bounds.RetryRatio*float64(requests) + bounds.RetrySlack/float64(b.population()))
	return RetryBudget{Used: repeats, Allowed: allowed, Denied: w.denied}
}

// spillLimit bounds the requests that leave their region.
type spillLimit struct{ credit float64 }

// earn adds the credit of one request.
func (s *spillLimit) earn() { s.credit = min(1.5, s.credit+spillPart) }

func (s *spillLimit) allow() bool { return s.credit >= 1 }

func (s *spillLimit) spend() { s.credit-- }

func (b *Balancer) logEjection(u *upstream, before int, r *exchange.Result) {
	switch {
	case u.ejections > before:
		event.Log(b.config.Logger, event.UpstreamEjected, "upstream", u.ID, "service", u.Service, "reason", r.Reason.String(), "status", r.Status,
			"failures", u.failures, "until_ms", time.Until(u.ejectedUntil).Milliseconds())
	case before > 0 && u.ejections == 0:
		event.Log(b.config.Logger, event.UpstreamReturned, "upstream", u.ID, "service", u.Service)
	}
}

// SetBounds installs new bounds.
func (b *Balancer) SetBounds(bounds steering.Bounds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.config.Bounds = bounds
}
