package agent

import (
	"maps"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
)

// memberKey differs between two records of a member that the entry must tell
// apart. State is the own view, which the revision does not count.
type memberKey struct {
	incarnation, revision uint64
	state                 cluster.State
}

func keyOf(m *cluster.Member) memberKey { return memberKey{m.Incarnation, m.Revision, m.State} }

// knownMember is what the entry has of a member.
type knownMember struct {
	key memberKey
	// shares is what the member adds to the mean of the peers.
	shares cluster.Shares
}

func knownOf(m *cluster.Member, self string) knownMember {
	k := knownMember{key: keyOf(m)}
	if cluster.IsLivePeer(m, self) {
		k.shares = m.Shares
	}
	return k
}

// equalShares reports whether two vectors add the same to the mean.
func equalShares(a, b cluster.Shares) bool {
	return maps.EqualFunc(a, b, maps.Equal[map[string]float64, map[string]float64])
}

// memberDelta fills snapshots with the members that changed since the last
// snapshot that the entry acknowledged. Without one the next snapshot is full.
type memberDelta struct {
	// incarnation and sequence name the acknowledged snapshot; sequence 0 means
	// none. known holds its members.
	incarnation, sequence uint64
	known                 map[string]knownMember
	// mean holds the mean shares of the peers in the last snapshot. At 3,300
	// members it takes 20 ms, so it is kept while no peer's shares change.
	mean cluster.Shares
}

// reset makes the next snapshot a full one.
func (d *memberDelta) reset() {
	d.sequence, d.known, d.mean = 0, nil, nil
}

// fill sets the members of a snapshot and what is derived from them.
func (d *memberDelta) fill(s *cluster.Snapshot, members []cluster.Member, self string) {
	if d.sequence == 0 || d.incarnation != s.AgentIncarnation {
		d.reset()
		s.Members = members
	} else {
		s.Base = d.sequence
		s.Members, s.Removed = d.changes(members)
	}
	if s.Base == 0 || d.meanChanges(s, self) {
		d.mean = cluster.MeanShares(members, self)
	}
	s.PeerShares = d.mean
}

// meanChanges reports whether a delta changes what the mean consists of.
func (d *memberDelta) meanChanges(s *cluster.Snapshot, self string) bool {
	for i := range s.Members {
		m := &s.Members[i]
		if !equalShares(d.known[m.ID].shares, knownOf(m, self).shares) {
			return true
		}
	}
	for _, id := range s.Removed {
		if len(d.known[id].shares) > 0 {
			return true
		}
	}
	return false
}

// changes returns the members that the entry lacks or knows with another key,
// and the ids of those that are no longer members.
func (d *memberDelta) changes(members []cluster.Member) (changed []cluster.Member, removed []string) {
	kept := 0
	for i := range members {
		known, ok := d.known[members[i].ID]
		if ok {
			kept++
		}
		if !ok || known.key != keyOf(&members[i]) {
			changed = append(changed, members[i])
		}
	}
	if kept == len(d.known) {
		return changed, nil
	}
	present := make(map[string]bool, len(members))
	for i := range members {
		present[members[i].ID] = true
	}
	for id := range d.known {
		if !present[id] {
			removed = append(removed, id)
		}
	}
	return changed, removed
}

// answered takes in the answer to a snapshot. It reports whether the entry
// applied it or has a full one anyway; if not, it needs a full one now.
func (d *memberDelta) answered(s *cluster.Snapshot, report *cluster.EntryReport, self string) bool {
	if report.AppliedIncarnation != s.AgentIncarnation || report.AppliedSequence != s.Sequence {
		d.reset()
		return s.Base == 0
	}
	d.incarnation, d.sequence = s.AgentIncarnation, s.Sequence
	if d.known == nil {
		d.known = make(map[string]knownMember, len(s.Members))
	}
	for i := range s.Members {
		d.known[s.Members[i].ID] = knownOf(&s.Members[i], self)
	}
	for _, id := range s.Removed {
		delete(d.known, id)
	}
	return true
}
