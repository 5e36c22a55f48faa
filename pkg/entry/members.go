package entry

import (
	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// extends tells whether the members of a snapshot can be put into force. A delta
// fits only the snapshot that was applied last; else the report names that one
// and the agent sends a full snapshot.
func (e *Entry) extends(s *cluster.Snapshot) bool {
	return s.Base == 0 || e.applied == order{s.AgentIncarnation, s.Base}
}

// memberUpdate is what a snapshot changes about the members.
type memberUpdate struct {
	members []cluster.Member
	// changed is set when any record differs, viewChanged when one differs in
	// what a view holds.
	changed, viewChanged bool
}

// updateOf returns the members after a snapshot. The records in force are not
// changed, because routing reads them.
func (e *Entry) updateOf(s *cluster.Snapshot) (memberUpdate, error) {
	if s.Base == 0 {
		return memberUpdate{s.Members, true, true}, nil
	}
	if len(s.Members)+len(s.Removed) == 0 {
		return memberUpdate{members: e.members}, nil
	}
	u := memberUpdate{changed: true}
	fresh := make(map[string]*cluster.Member, len(s.Members))
	for i := range s.Members {
		fresh[s.Members[i].ID] = &s.Members[i]
	}
	removed := make(map[string]bool, len(s.Removed))
	for _, id := range s.Removed {
		removed[id] = true
	}
	u.members = make([]cluster.Member, 0, len(e.members)+len(fresh))
	for i := range e.members {
		m := &e.members[i]
		if removed[m.ID] {
			u.viewChanged = true
			continue
		}
		if next := fresh[m.ID]; next != nil {
			u.viewChanged = u.viewChanged || viewFieldsOf(*next) != viewFieldsOf(*m)
			m = next
			delete(fresh, m.ID)
		}
		u.members = append(u.members, *m)
	}
	for i := range s.Members {
		if m := &s.Members[i]; fresh[m.ID] == m {
			u.members = append(u.members, *m)
			u.viewChanged = true
		}
	}
	if len(u.members) > maxMembers {
		return memberUpdate{}, result.New(result.PeerProtocol, "snapshot grows to %d members", len(u.members))
	}
	return u, nil
}
