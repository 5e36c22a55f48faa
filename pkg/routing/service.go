package routing

import (
	"maps"
	"sync"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/description"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// serviceInput is what the vector of one service depends on.
type serviceInput struct {
	target    vector
	caps      description.Caps
	regionOf  map[string]string
	reachable map[string]bool
	// peers limits the lead over live peers.
	peers *peerShares
	// peerMean is the mean share vector of the peers while a live peer has a
	// higher version, and else nil. It replaces the target, so that an instance
	// that lacks the version does not lag.
	peerMean vector
	// home is the own region when requests prefer it, else empty.
	home string
	// demand holds the requests per second of each region, ownDemand those of
	// this instance, both as all instances know them.
	demand    vector
	ownDemand float64
}

// service is the routing state of one service.
type service struct {
	mu      sync.Mutex
	name    string
	in      serviceInput
	limiter limiter
	chooser *chooser
	// plan holds the effective shares. localPlan holds the shares that keep
	// requests in their region; it is nil without locality or demand.
	plan      *plan
	localPlan *plan
	// goal is the vector to move to; goalOK is false when no domain with a
	// share is reachable.
	goal   vector
	goalOK bool
	// meter measures the own demand.
	meter meter
	// localTokens is a token bucket of requests for localPlan. It fills at the
	// reported demand of this instance.
	localTokens float64
}

func newService(name string, start vector, in serviceInput, skip int, now time.Time) *service {
	s := &service{name: name, chooser: newChooser()}
	s.limiter = limiter{shares: start, last: now}
	s.meter.last = now
	s.set(in)
	for range skip {
		s.chooser.choose(s.plan)
	}
	return s
}

// set replaces the input. Regions of domains that the new version no longer
// names are kept, so that moving away from them stays capped.
func (s *service) set(in serviceInput) {
	s.mu.Lock()
	defer s.mu.Unlock()
	regionOf := make(map[string]string, len(in.regionOf))
	for d := range s.limiter.shares {
		if r, ok := s.in.regionOf[d]; ok {
			regionOf[d] = r
		}
	}
	maps.Copy(regionOf, in.regionOf)
	in.regionOf = regionOf
	s.in = in
	s.limiter.regionOf = regionOf
	s.setGoal()
	s.replan()
}

// replan prepares the shares for choosing.
func (s *service) replan() {
	s.plan = newPlan(s.limiter.shares, s.in.regionOf)
	s.localPlan = nil
	if s.in.home == "" || s.in.demand[s.in.home] <= 0 {
		return
	}
	row := nearestRow(s.in.home, s.limiter.shares.byRegion(s.in.regionOf), s.in.demand)
	s.localPlan = newPlan(withinRegions(row, s.limiter.shares, s.in.regionOf), s.in.regionOf)
}

func (s *service) setGoal() {
	target := s.in.target
	if len(s.in.peerMean) > 0 {
		target = s.in.peerMean
	}
	s.goal, s.goalOK = reachableTarget(target, s.in.reachable)
}

// hasUnreachableShare tells whether a share is on an unreachable domain.
func (s *service) hasUnreachableShare() bool {
	for d, share := range s.limiter.shares {
		if share > 0 && !s.in.reachable[d] {
			return true
		}
	}
	return false
}

func (s *service) step(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.localTokens = min(s.localTokens+s.in.ownDemand*s.meter.step(now), s.in.ownDemand*demandBurst.Seconds())
	dt := s.limiter.elapsed(now)
	if !s.goalOK || maps.Equal(s.limiter.shares, s.goal) {
		return
	}
	failover := s.hasUnreachableShare()
	peers := s.in.peers
	if failover {
		// Peers may see other domains as reachable, and waiting for them
		// would prolong the refusals.
		peers = nil
	}
	s.limiter.step(s.goal, ratesFor(s.in.caps, failover), dt, peers)
	s.replan()
}

// rejoin moves the vector to the peers' mean by at most the caps times the time
// since the last request that it served.
func (s *service) rejoin(mean vector, served, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !mean.normalize() {
		return
	}
	s.limiter.step(mean, ratesFor(s.in.caps, false), max(now.Sub(served), 0), nil)
	s.limiter.last = now
	s.replan()
}

func (s *service) choose() (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	domain, ok := s.chooser.choose(s.nextPlan())
	if !ok {
		return "", result.New(result.NoDestination, "service %s has no shares", s.name)
	}
	if s.in.reachable[domain] {
		return domain, nil
	}
	if !s.goalOK {
		return "", result.New(result.NoDestination, "no domain with a share of %s is reachable", s.name)
	}
	return "", result.New(result.ShareExhausted, "the share of %s on %s is still moving", s.name, domain)
}

// nextPlan returns the plan for the next request. Requests beyond the reported
// demand use the effective shares, so that a surge in one region does not change
// the sum over all regions before the others know of it.
func (s *service) nextPlan() *plan {
	s.meter.count++
	if s.localPlan == nil || s.localTokens < 1 {
		return s.plan
	}
	s.localTokens--
	return s.localPlan
}

// transfer moves the charge of a request to the reachable domain with the
// largest credit that is not excluded.
func (s *service) transfer(from string, excluded map[string]bool) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	best, found := "", false
	for d := range s.plan.index {
		if !s.in.reachable[d] || excluded[d] {
			continue
		}
		if !found || s.before(d, best) {
			best, found = d, true
		}
	}
	if !found || !s.chooser.transfer(s.plan, from, best) {
		return "", false
	}
	return best, true
}

// before tells whether a is tried before b as a retry destination. The largest
// credit of the region goes first, then that of the domain, then the name.
func (s *service) before(a, b string) bool {
	ra, rb := region(s.in.regionOf, a), region(s.in.regionOf, b)
	if ca, cb := s.chooser.regions[ra], s.chooser.regions[rb]; ca != cb {
		return ca > cb
	}
	if ca, cb := s.chooser.domains[a], s.chooser.domains[b]; ca != cb {
		return ca > cb
	}
	return a < b
}
