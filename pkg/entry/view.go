package entry

import (
	"maps"
	"sync"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/description"
)

// view is the immutable state that one request reads.
type view struct {
	version     cluster.Version
	description *description.Description
	blocks      *blockTable
	self        cluster.Member
	detached    bool
	yields      bool
	silent      map[string]bool
	generation  uint64
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

// viewInput is what a view is built from.
type viewInput struct {
	version     cluster.Version
	description *description.Description
	blocks      *blockTable
	members     []cluster.Member
	generation  uint64
	self        cluster.Member
	detached    bool
	// yields is set while this instance keeps its pools although it is
	// detached or leaving.
	yields bool
	// silent holds the instances that this one could not reach lately.
	silent map[string]bool
	// last is the view before, whose caches are kept while nothing changed
	// that they depend on; most snapshots change only shares and loads.
	last *view
}

// newView builds a view. The own record replaces the one in the snapshot, which
// may be older.
func newView(in viewInput) *view {
	v := &view{
		version:     in.version,
		description: in.description,
		blocks:      in.blocks,
		self:        in.self,
		detached:    in.detached,
		yields:      in.yields,
		silent:      in.silent,
		generation:  in.generation,
		perRegion:   make(map[string]int),
		live:        make(map[string][]cluster.Member),
		byID:        make(map[string]cluster.Member, len(in.members)+1),
		caches:      &caches{},
	}
	for _, m := range in.members {
		if m.ID != in.self.ID {
			v.add(m)
		}
	}
	v.add(in.self)
	if v.ranksLike(in.last) {
		v.caches = in.last.caches
	}
	return v
}

// ranksLike tells whether owners and look-up answers are the same in two views.
func (v *view) ranksLike(last *view) bool {
	if last == nil || v.description != last.description || v.detached != last.detached || v.yields != last.yields ||
		len(v.byID) != len(last.byID) || !maps.Equal(v.silent, last.silent) {
		return false
	}
	for id, m := range v.byID {
		if old, ok := last.byID[id]; !ok || placeOf(m) != placeOf(old) {
			return false
		}
	}
	return true
}

// place is the part of a member record that views use. Ranks and answers keep
// whole records, so they depend on all of it.
type place struct {
	region, domain, caller, entry string
	state                         cluster.State
	incarnation, entryIncarnation uint64
}

func placeOf(m cluster.Member) place {
	return place{m.Region, m.Domain, m.CallerAddress, m.EntryAddress, m.State, m.Incarnation, m.EntryIncarnation}
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
		case m.ID == v.self.ID && v.yields:
			staying = append(staying, m)
		case m.ID == v.self.ID && v.detached:
		case domain == v.self.Domain && v.silent[m.ID]:
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

// shared returns the domains that have a share of some service.
func (v *view) shared() map[string]bool {
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
