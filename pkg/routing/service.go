package routing

import (
	"maps"
	"sync"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/description"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// serviceInput is the input from which the vector of one service is computed.
type serviceInput struct {
	target    vector
	caps      description.Caps
	regionOf  map[string]string
	reachable map[string]bool
	// peers limits the lead over live peers.
	peers *peerShareRanges
	// meanPeerShares is the mean share vector of the peers while a live peer has a
	// newer version, otherwise nil. It replaces the target, so that an instance
	// that lacks the version does not lag behind.
	meanPeerShares vector
	// homeRegion is the local region if the service prefers nearest destinations,
	// otherwise empty.
	homeRegion string
	// demand holds the demand of each region and ownDemand the demand of this
	// instance, in requests per second as reported between instances.
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
	// requests in their region; it is nil if the service has no locality
	// preference or the local region has no demand.
	plan      *plan
	localPlan *plan
	// goal is the vector to move to. goalOK is false if no domain with a share
	// is reachable.
	goal   vector
	goalOK bool
	// meter measures the demand of this instance's callers.
	meter rateMeter
	// localTokens is the token bucket for requests that use localPlan. It
	// refills at the reported demand of this instance.
	localTokens float64
}

// newService returns a service with the given initial shares. Its sequence of
// destinations starts at position offset.
func newService(name string, initial vector, in serviceInput, offset int, now time.Time) *service {
	s := &service{name: name, chooser: newChooser()}
	s.limiter = limiter{shares: initial, lastStep: now}
	s.meter.lastStep = now
	s.setInput(in)
	for range offset {
		s.chooser.choose(s.plan)
	}
	return s
}

// setInput replaces the input. It keeps the regions of domains that the new
// version no longer names, so that the region cap applies while their shares fall
// to 0.
func (s *service) setInput(in serviceInput) {
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
	s.rebuildPlans()
}

// rebuildPlans derives the plans from the effective shares.
func (s *service) rebuildPlans() {
	s.plan = newPlan(s.limiter.shares, s.in.regionOf)
	s.localPlan = nil
	if s.in.homeRegion == "" || s.in.demand[s.in.homeRegion] <= 0 {
		return
	}
	regionShares := nearestRegionShares(s.in.homeRegion, s.limiter.shares.byRegion(s.in.regionOf), s.in.demand)
	s.localPlan = newPlan(splitByDomain(regionShares, s.limiter.shares, s.in.regionOf), s.in.regionOf)
}

// setGoal sets the goal to the target, or to the peers' mean while a peer has a
// newer version, without the unreachable domains.
func (s *service) setGoal() {
	target := s.in.target
	if len(s.in.meanPeerShares) > 0 {
		target = s.in.meanPeerShares
	}
	s.goal, s.goalOK = reachableTarget(target, s.in.reachable)
}

// hasUnreachableShare reports whether an unreachable domain still has a share.
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
	s.localTokens = min(s.localTokens+s.in.ownDemand*s.meter.step(now), s.in.ownDemand*demandBurstWindow.Seconds())
	dt := s.limiter.elapsed(now)
	if !s.goalOK || maps.Equal(s.limiter.shares, s.goal) {
		return
	}
	failover := s.hasUnreachableShare()
	peers := s.in.peers
	if failover {
		// The lead limit is off during failover: waiting for peers that see other
		// domains as reachable would prolong the refusal of requests.
		peers = nil
	}
	s.limiter.step(s.goal, maxRatesFor(s.in.caps, failover), dt, peers)
	s.rebuildPlans()
}

// moveTowardPeerShares moves the vector towards the peers' mean, by at most what
// the caps allow in the time since pausedSince.
func (s *service) moveTowardPeerShares(mean vector, pausedSince, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !mean.normalize() {
		return
	}
	s.limiter.step(mean, maxRatesFor(s.in.caps, false), max(now.Sub(pausedSince), 0), nil)
	s.limiter.lastStep = now
	s.rebuildPlans()
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
		return "", result.New(result.NoDestination, "no domain with a share of service %s is reachable", s.name)
	}
	return "", result.New(result.ShareExhausted, "service %s: the share of unreachable domain %s has not moved to other domains yet", s.name, domain)
}

// nextPlan counts a request and returns the plan for it. Requests above the
// reported demand use the effective shares, so that a surge in one region does
// not change the fleet-wide shares before the other instances learn of it.
func (s *service) nextPlan() *plan {
	s.meter.count++
	if s.localPlan == nil || s.localTokens < 1 {
		return s.plan
	}
	s.localTokens--
	return s.localPlan
}

// transfer moves the charge of a request from one domain to the preferred one
// among the reachable domains that are not excluded. It returns false if there is
// no such domain or the preferred one does not have enough credit.
func (s *service) transfer(from string, excluded map[string]bool) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	best, found := "", false
	for d := range s.plan.positions {
		if !s.in.reachable[d] || excluded[d] {
			continue
		}
		if !found || s.preferredForTransfer(d, best) {
			best, found = d, true
		}
	}
	if !found || !s.chooser.transfer(s.plan, from, best) {
		return "", false
	}
	return best, true
}

// preferredForTransfer reports whether domain a is preferred to b as the
// destination of a transfer: by larger region credit, then by larger domain
// credit, then by name.
func (s *service) preferredForTransfer(a, b string) bool {
	ra, rb := region(s.in.regionOf, a), region(s.in.regionOf, b)
	if ca, cb := s.chooser.regionCredits[ra], s.chooser.regionCredits[rb]; ca != cb {
		return ca > cb
	}
	if ca, cb := s.chooser.domainCredits[a], s.chooser.domainCredits[b]; ca != cb {
		return ca > cb
	}
	return a < b
}
