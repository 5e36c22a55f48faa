package membership

import (
	"net/netip"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/platform"
)

const (
	// maxNameBytes, maxPools and maxServices bound what one record may hold.
	maxNameBytes = 128
	maxPools     = 4096
	maxServices  = 4096
	// maxListed bounds the addresses that the platform's list adds.
	maxListed = maxMembers
	// conflictAfter is the number of raised incarnations that only another live
	// process with the same id explains; a clock that was set back causes one.
	conflictAfter = 3
	// maxOrder bounds incarnations, sequences and revisions, so that no record
	// blocks all later ones or makes the next number overflow. Incarnations are start
	// times in nanoseconds and stay below it for a century.
	maxOrder = 1 << 62
)

// merge takes in the records of a peer and returns those that Heard gets.
func (t *Table) merge(records []Record, now time.Time) (heard []cluster.Member) {
	for i := range records {
		r := &records[i]
		if !valid(&r.Member) {
			continue
		}
		if r.Member.ID == t.self.ID {
			t.mergeSelf(&r.Member)
			continue
		}
		if t.mergePeer(r, now) && t.isNews(&r.Member) {
			heard = append(heard, r.Member)
		}
	}
	return heard
}

// isNews reports whether a member has another version than this instance and
// not a lower one.
func (t *Table) isNews(m *cluster.Member) bool {
	return m.Version > t.self.Version || m.Version == t.self.Version && m.Hash != t.self.Hash
}

// mergeDigest takes in the liveness of the members that a peer knows. It notes
// what the peer has of each and returns the keys of bodies that are missing.
func (t *Table) mergeDigest(digest []liveness, now time.Time) (heard []cluster.Member, want []uint64) {
	t.pass++
	t.selfReported = liveness{}
	self := keyOf(&t.self)
	for _, l := range digest {
		if l.key == self {
			t.selfReported = l
			continue
		}
		e := t.byKey[l.key]
		if e == nil || l.revision > e.member.Revision {
			want = append(want, l.key)
		}
		if e == nil {
			continue
		}
		e.pass, e.reported = t.pass, l
		if t.mergeLiveness(e, l, now) && t.isNews(&e.member) {
			heard = append(heard, e.member)
		}
	}
	return heard, want
}

// mergeLiveness reports whether l is newer than what is known of its member.
func (t *Table) mergeLiveness(e *entry, l liveness, now time.Time) (newer bool) {
	if l.sequence > e.member.Sequence {
		e.member.Sequence, e.progress = l.sequence, now
		newer = true
	}
	if l.leaving && e.member.State != cluster.Leaving {
		e.member.State = cluster.Leaving
		newer = true
	}
	if newer {
		t.setState(e, t.stateOf(e, now))
	}
	return newer
}

// mergeSelf raises the own incarnation above one that peers know from an
// earlier run of this instance, for instance when the clock was set back.
func (t *Table) mergeSelf(m *cluster.Member) {
	if m.Incarnation <= t.self.Incarnation {
		return
	}
	t.self.Incarnation = m.Incarnation + 1
	t.self.Sequence++
	t.changedAt = t.lastStep
	t.notify()
	t.raised++
	if t.raised == conflictAfter {
		event.Log(t.cfg.Logger, event.IDConflict, "member", t.self.ID, "other", m.AgentAddress)
	}
}

// mergePeer reports whether the record is newer than the one known.
func (t *Table) mergePeer(r *Record, now time.Time) (newer bool) {
	e := t.peers[r.Member.ID]
	if e == nil {
		return t.add(r, now)
	}
	m := &r.Member
	if m.Incarnation < e.member.Incarnation {
		return false
	}
	if m.Incarnation == e.member.Incarnation {
		body := t.mergeBody(e, m)
		return t.mergeLiveness(e, livenessOf(e.key, m), now) || body
	}
	if e.state != cluster.Dead {
		t.notify()
	}
	delete(t.byKey, e.key)
	e.member, e.progress = *m, now
	t.index(e)
	t.setState(e, t.stateOf(e, now))
	return true
}

// mergeBody takes in a body of the same incarnation with a higher revision. The
// sequence stays, because it may have arrived on another path.
func (t *Table) mergeBody(e *entry, m *cluster.Member) (newer bool) {
	known := e.member
	if m.Revision <= known.Revision {
		return false
	}
	e.member = *m
	e.member.Sequence = known.Sequence
	if known.State == cluster.Leaving {
		e.member.State = cluster.Leaving
	}
	if m.EntryIncarnation != known.EntryIncarnation {
		t.notify()
	}
	t.setState(e, t.stateOf(e, t.lastStep))
	return true
}

// index makes a peer known under the key of its incarnation.
func (t *Table) index(e *entry) {
	e.key = keyOf(&e.member)
	t.byKey[e.key] = e
}

// add takes in a member that was not known. The sender's view of its age counts,
// so that a dead member is not taken for a new one.
func (t *Table) add(r *Record, now time.Time) bool {
	if r.AgeMS < 0 || r.AgeMS >= t.cfg.DeadAfter.Milliseconds() || len(t.peers) >= maxMembers {
		return false
	}
	age := time.Duration(r.AgeMS) * time.Millisecond
	e := &entry{member: r.Member, progress: now.Add(-age)}
	t.peers[r.Member.ID] = e
	t.ordered = nil
	t.index(e)
	t.setState(e, t.stateOf(e, now))
	return true
}

// valid checks a record that came from a peer.
func valid(m *cluster.Member) bool {
	if m.State != cluster.Serving && m.State != cluster.Leaving {
		return false
	}
	if m.Incarnation >= maxOrder || m.Sequence >= maxOrder || m.Revision >= maxOrder {
		return false
	}
	if m.ID == "" || m.Domain == "" || m.Region == "" {
		return false
	}
	for _, s := range []string{m.ID, m.Region, m.Domain, m.CallerAddress, m.EntryAddress, m.Hash} {
		if len(s) > maxNameBytes {
			return false
		}
	}
	if len(m.Pools) > maxPools || len(m.Shares) > maxServices || len(m.Demand) > maxServices {
		return false
	}
	_, err := netip.ParseAddrPort(m.AgentAddress)
	return err == nil
}

// MergeList takes in the platform's list of instances. Listed instances become
// members only by their own heartbeats; the list gives addresses to try and
// marks members as leaving. The mark holds for the incarnation that is known
// when it appears, because the list lags behind a restart.
func (t *Table) MergeList(list []platform.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.step()
	var addresses []string
	leaving := make(map[string]uint64)
	for _, in := range list {
		if in.Role != platform.RoleEntry || in.ID == t.self.ID || len(addresses) == maxListed {
			continue
		}
		if _, err := netip.ParseAddrPort(in.AgentAddress); err == nil {
			addresses = append(addresses, in.AgentAddress)
		}
		if in.State == cluster.Leaving {
			t.markLeaving(leaving, in.ID)
		}
	}
	t.listed = addresses
	t.listedLeaving = leaving
	t.step()
}

func (t *Table) markLeaving(leaving map[string]uint64, id string) {
	if incarnation, ok := t.listedLeaving[id]; ok {
		leaving[id] = incarnation
	} else if e := t.peers[id]; e != nil {
		leaving[id] = e.member.Incarnation
	}
}
