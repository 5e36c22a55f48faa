package entry

import (
	"maps"
	"sync"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/description"
)

// viewState is what a view depends on besides the member records.
type viewState struct {
	version     cluster.Version
	description *description.Description
	blocks      *blockTable
	// generation counts the changes of member records that views depend on.
	generation uint64
	self       cluster.Member
	detached   bool
	// keepsPools is set while this instance keeps its pools although it is
	// detached or leaving.
	keepsPools bool
	// unreachable holds the instances that this one could not reach lately.
	unreachable map[string]bool
}

// sameOwnership tells whether two states give the same owners and look-up
// answers when their members are the same.
func (s *viewState) sameOwnership(other *viewState) bool {
	return s.description == other.description && s.detached == other.detached &&
		s.keepsPools == other.keepsPools && maps.Equal(s.unreachable, other.unreachable)
}

// view is the immutable state that one request reads.
type view struct {
	viewState
	// live holds the members whose entries answer, by failure domain.
	live map[string][]cluster.Member
	byID map[string]cluster.Member
	// perRegion counts the members in byID.
	perRegion map[string]int
	// caches holds what is derived from the members on first use.
	caches *caches
}

// caches keeps ranks and look-up answers of one view.
type caches struct {
	ranks   sync.Map // pool key -> []cluster.Member
	lookups sync.Map // lookupKey -> []byte
}

// newView builds a view. The own record replaces the one among members, which
// may be older. The caches of the last view are kept while nothing changed that
// they depend on; most snapshots change only shares and loads.
func newView(state viewState, members []cluster.Member, last *view) *view {
	v := &view{
		viewState: state,
		perRegion: make(map[string]int),
		live:      make(map[string][]cluster.Member),
		byID:      make(map[string]cluster.Member, len(members)+1),
		caches:    &caches{},
	}
	for _, m := range members {
		if m.ID != state.self.ID {
			v.add(m)
		}
	}
	v.add(state.self)
	if v.sameAnswers(last) {
		v.caches = last.caches
	}
	return v
}

// upToDate tells whether v is what newView would build for a state.
func (v *view) upToDate(state *viewState) bool {
	return v != nil && v.generation == state.generation && v.self.State == state.self.State && v.sameOwnership(state)
}

// sameAnswers tells whether owners and look-up answers are the same in two
// views.
func (v *view) sameAnswers(last *view) bool {
	if last == nil || !v.sameOwnership(&last.viewState) || len(v.byID) != len(last.byID) {
		return false
	}
	for id, m := range v.byID {
		if old, ok := last.byID[id]; !ok || viewFieldsOf(m) != viewFieldsOf(old) {
			return false
		}
	}
	return true
}

// viewFields is the part of a member record that views use. Ranks and answers keep
// whole records, so they depend on all of it.
type viewFields struct {
	region, domain, caller, entry string
	state                         cluster.State
	incarnation, entryIncarnation uint64
}

func viewFieldsOf(m cluster.Member) viewFields {
	return viewFields{m.Region, m.Domain, m.CallerAddress, m.EntryAddress, m.State, m.Incarnation, m.EntryIncarnation}
}

func (v *view) add(m cluster.Member) {
	m.Shares, m.Pools, m.Demand = nil, nil, nil
	if m.State == cluster.Dead || m.EntryIncarnation == 0 {
		return
	}
	if _, known := v.byID[m.ID]; !known {
		v.perRegion[m.Region]++
	}
	v.byID[m.ID] = m
	v.live[m.Domain] = append(v.live[m.Domain], m)
}

// stays tells whether an instance takes new work as long as it is live.
func (v *view) stays(m cluster.Member) bool {
	return m.State != cluster.Leaving && !v.description.InstanceDrained(m.ID)
}

// ranked returns the instances of a domain in the order in which they own the
// pool of a service.
func (v *view) ranked(service, domain string) []cluster.Member {
	key := cluster.PoolKey(service, domain)
	if cached, ok := v.caches.ranks.Load(key); ok {
		return cached.([]cluster.Member)
	}
	list := cluster.Rank(key, v.candidates(domain))
	v.caches.ranks.Store(key, list)
	return list
}

// candidates returns the instances that may own pools of a domain: those that
// stay, else those that leave or are drained. A detached entry is a candidate
// only if it knows no other instance. In the own domain, an instance that this
// one cannot reach is passed over before membership marks it dead.
func (v *view) candidates(domain string) []cluster.Member {
	var staying, others []cluster.Member
	for _, m := range v.live[domain] {
		switch {
		case m.ID == v.self.ID && v.keepsPools:
			staying = append(staying, m)
		case m.ID == v.self.ID && v.detached:
		case domain == v.self.Domain && v.unreachable[m.ID]:
			others = append(others, m)
		case v.stays(m):
			staying = append(staying, m)
		default:
			others = append(others, m)
		}
	}
	if len(staying) > 0 {
		return staying
	}
	if len(others) == 0 && domain == v.self.Domain {
		return []cluster.Member{v.self}
	}
	return others
}

// owns tells whether this instance owns the pool of a service in its domain.
func (v *view) owns(service string) bool {
	ranked := v.ranked(service, v.self.Domain)
	return len(ranked) > 0 && ranked[0].ID == v.self.ID
}

// reachable returns the domains that have an entry instance.
func (v *view) reachable() map[string]bool {
	domains := make(map[string]bool, len(v.live))
	for d, members := range v.live {
		domains[d] = len(members) > 0
	}
	return domains
}

// instancesIn counts the live instances of a region.
func (v *view) instancesIn(region string) int {
	return v.perRegion[region]
}

// domainsWithShare returns the domains that have a share of some service.
func (v *view) domainsWithShare() map[string]bool {
	domains := make(map[string]bool)
	for _, svc := range v.description.Services {
		for d, share := range svc.DomainShares() {
			if share > 0 {
				domains[d] = true
			}
		}
	}
	return domains
}
