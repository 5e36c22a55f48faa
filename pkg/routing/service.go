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
	// peerRanges holds the lowest and highest share of each region among the live
	// peers. The limiter uses them to keep this instance's shares from moving too
	// far ahead of the peers.
	peerRanges *peerShareRanges
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
	// effectiveShares holds the effective shares. localShares holds the shares that
	// keep requests in their region; it is nil if the service has no locality
	// preference or the local region has no demand.
	effectiveShares *groupedShares
	localShares     *groupedShares
	// reachableTarget is the vector to move to: the target rescaled to the reachable
	// domains. hasReachableTarget is false if no domain with a share is reachable.
	reachableTarget    vector
	hasReachableTarget bool
	// meter measures the demand of this instance's callers.
	meter rateMeter
	// localTokens is the token bucket for requests that use localShares. It
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
		s.chooser.choose(s.effectiveShares)
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
	s.updateReachableTarget()
	s.rebuildGroupedShares()
}

// rebuildGroupedShares derives effectiveShares and localShares from the shares of
// the limiter.
func (s *service) rebuildGroupedShares() {
	s.effectiveShares = newGroupedShares(s.limiter.shares, s.in.regionOf)
	s.localShares = nil
	if s.in.homeRegion == "" || s.in.demand[s.in.homeRegion] <= 0 {
		return
	}
	regionShares := nearestRegionShares(s.in.homeRegion, s.limiter.shares.byRegion(s.in.regionOf), s.in.demand)
	s.localShares = newGroupedShares(splitByDomain(regionShares, s.limiter.shares, s.in.regionOf), s.in.regionOf)
}

// updateReachableTarget sets reachableTarget to the target, or to the peers' mean
// while a peer has a newer version, without the unreachable domains.
func (s *service) updateReachableTarget() {
	target := s.in.target
	if len(s.in.meanPeerShares) > 0 {
		target = s.in.meanPeerShares
	}
	s.reachableTarget, s.hasReachableTarget = reachableTarget(target, s.in.reachable)
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
	s.localTokens = min(s.localTokens+s.in.ownDemand*s.meter.endInterval(now), s.in.ownDemand*demandBurstWindow.Seconds())
	dt := s.limiter.elapsed(now)
	if !s.hasReachableTarget || maps.Equal(s.limiter.shares, s.reachableTarget) {
		return
	}
	failover := s.hasUnreachableShare()
	peerRanges := s.in.peerRanges
	if failover {
		// During failover, the shares may run ahead of the peers without limit. The
		// peers may see other domains as reachable; waiting for them would prolong
		// the time in which requests are refused.
		peerRanges = nil
	}
	s.limiter.step(s.reachableTarget, maxRatesFor(s.in.caps, failover), dt, peerRanges)
	s.rebuildGroupedShares()
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
	s.rebuildGroupedShares()
}

func (s *service) choose() (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	domain, ok := s.chooser.choose(s.sharesForNextRequest())
	if !ok {
		return "", result.New(result.NoDestination, "service %s has no shares", s.name)
	}
	if s.in.reachable[domain] {
		return domain, nil
	}
	if !s.hasReachableTarget {
		return "", result.New(result.NoDestination, "no domain with a share of service %s is reachable", s.name)
	}
	return "", result.New(result.ShareExhausted, "service %s: the share of unreachable domain %s has not moved to other domains yet", s.name, domain)
}

// sharesForNextRequest counts a request and returns the shares for it. Requests above the
// reported demand use the effective shares, so that a surge in one region does
// not change the fleet-wide shares before the other instances learn of it.
func (s *service) sharesForNextRequest() *groupedShares {
	s.meter.count++
	if s.localShares == nil || s.localTokens < 1 {
		return s.effectiveShares
	}
	s.localTokens--
	return s.localShares
}

// transfer moves the charge of a request from one domain to the preferred one
// among the reachable domains that are not excluded. It returns false if there is
// no such domain or the preferred one does not have enough credit.
func (s *service) transfer(from string, excluded map[string]bool) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	best, found := "", false
	for d := range s.effectiveShares.positions {
		if !s.in.reachable[d] || excluded[d] {
			continue
		}
		if !found || s.preferredForTransfer(d, best) {
			best, found = d, true
		}
	}
	if !found || !s.chooser.transfer(s.effectiveShares, from, best) {
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
