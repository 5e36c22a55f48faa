package catalog

import (
	"math"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/revision"
)

// A table is proven current as of the time at which the store answered a call with its
// state. Nothing else proves it: a call that waits for an answer, a failed one, or a
// heartbeat of a watcher say nothing about the store. Every answer of the store, and every
// table or revision that is passed on between instances, therefore comes with the age of its
// proof, and a proof only grows older on its way. An instance whose own tables were proven
// longer than maxProofAge ago asks the store itself. A proof of an earlier era of the store
// counts no more once a newer era is known.

const (
	// maxProofAge is how old the proof of a table may be. The shortest time in which a
	// deployment expects a change to take effect is 2.5 s; the rest of it is needed to notice
	// the age (roleCheckInterval) and to fetch the change from a store in another region.
	maxProofAge = 1500 * time.Millisecond
	// maxProofAgeFraction bounds the age by a fraction of Options.DrainTimeout.
	maxProofAgeFraction = 0.6
	// Unproven is the age of the proof of a table that nothing has proven current.
	Unproven time.Duration = math.MaxInt64
	// minOutage is the time without any proof after which the store counts as having been
	// away. A registration lapses after three heartbeats of an upstream (4.5 s), the last of
	// which it sent up to 1.5 s before; so a shorter outage can't be the cause of a lapse. It
	// is also longer than an instance that reaches the store is without a proof when its
	// watchers fail.
	minOutage = 2500 * time.Millisecond
	// unknownChangeAge stands for the age of a change if nothing has proven the table before,
	// for example since the process was paused. It is longer than any grace period.
	unknownChangeAge = time.Hour
	// maxClockDrift bounds the drift between the store's steady clock and this process's.
	maxClockDrift = 1e-4
)

// Proofs holds the times until which the tables are proven current, on the clock of this
// process; zero if nothing has proven a table.
type Proofs struct {
	Directives, Upstreams time.Time
	// StoreAnswered is the time at which the store last answered this instance's own calls
	// for both tables.
	StoreAnswered time.Time
}

// Proofs returns the proofs of the tables.
func (c *Catalog) Proofs() Proofs {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := Proofs{Directives: c.tables[Directives].provenAt, Upstreams: c.tables[Upstreams].provenAt, StoreAnswered: c.tables[Directives].storeAnsweredAt}
	if at := c.tables[Upstreams].storeAnsweredAt; at.Before(p.StoreAnswered) {
		p.StoreAnswered = at
	}
	return p
}

// ProofAges returns how long ago each table was proven current, or Unproven.
func (c *Catalog) ProofAges() (directives, upstreams time.Duration) {
	p, now := c.Proofs(), c.opt.Now()
	return proofAge(p.Directives, now), proofAge(p.Upstreams, now)
}

// StoreAnswerAge returns how long ago the store last answered this instance's own calls for
// both tables, or Unproven.
func (c *Catalog) StoreAnswerAge() time.Duration {
	return proofAge(c.Proofs().StoreAnswered, c.opt.Now())
}

func proofAge(at, now time.Time) time.Duration {
	if at.IsZero() {
		return Unproven
	}
	return now.Sub(at)
}

// MaxProofAge returns the age above which a proof no longer counts.
func (c *Catalog) MaxProofAge() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.capByDrainTimeout(maxProofAge, maxProofAgeFraction)
}

// Current reports whether both tables are proven current.
func (c *Catalog) Current() bool {
	directives, upstreams := c.ProofAges()
	return max(directives, upstreams) <= c.MaxProofAge()
}

// Confirm records that the tables were current with the given revisions until the given
// times, as the instance source has stated. A table with an older revision is not proven by
// that, and a statement about an earlier era proves nothing.
func (c *Catalog) Confirm(directives, upstreams revision.Revision, p Proofs, source string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enterEra(max(directives.Era, upstreams.Era), source)
	if t := &c.tables[Directives]; c.isCurrentEra(t.revision, directives) && !t.revision.Before(directives) {
		t.prove(p.Directives)
	}
	if t := &c.tables[Upstreams]; c.isCurrentEra(t.revision, upstreams) && !t.revision.Before(upstreams) {
		t.prove(p.Upstreams)
	}
}

// Invalidate drops the proofs of both tables, for example because the process was paused for
// an unknown time.
func (c *Catalog) Invalidate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.tables {
		c.tables[i].provenAt, c.tables[i].storeAnsweredAt = time.Time{}, time.Time{}
	}
}

// prove records that the table was current at a time. A proof that is older than the known
// one, or zero, changes nothing. A long time since the last proof shows an outage of the
// store, because an answer to any instance of the region would have proven the table. A
// failed call shows none: the store may have answered all others.
func (t *tableState) prove(at time.Time) {
	if !at.After(t.provenAt) {
		return
	}
	if !t.provenAt.IsZero() && at.Sub(t.provenAt) >= minOutage {
		t.outageEndedAt = at
	}
	t.provenAt = at
}

// maxChangeAge returns the age that a change may have which the table lacked until now. The
// lock must be held.
func (c *Catalog) maxChangeAge(t *tableState) time.Duration {
	return min(proofAge(t.provenAt, c.opt.Now()), unknownChangeAge)
}

// storeClock estimates when the store answered a call from the steady clock in its answers.
type storeClock struct {
	// zero is the time at which the store's clock was zero. The real time is the same or
	// later, so that no answer is taken for newer than it is.
	zero      time.Time
	updatedAt time.Time
}

// answeredAt returns a time on the clock of this process at which the store had not yet
// answered a call or was just answering it. The call was answered between earliest and
// receivedAt, when the store's clock was at storeTime; 0 if that is not known.
func (k *storeClock) answeredAt(earliest, receivedAt time.Time, storeTime time.Duration) time.Time {
	if storeTime <= 0 {
		return earliest
	}
	zero := k.zero.Add(-time.Duration(maxClockDrift * float64(receivedAt.Sub(k.updatedAt))))
	if k.zero.IsZero() || zero.Add(storeTime).After(receivedAt) {
		// One of the clocks was stopped or set anew.
		zero = time.Time{}
	}
	if own := earliest.Add(-storeTime); own.After(zero) {
		zero = own
	}
	k.zero, k.updatedAt = zero, receivedAt
	return zero.Add(storeTime)
}
