package balance

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/exchange"
)

// limitedFixture is a set of instances of one region that send to one upstream, which states
// a limit in each response if it has one.
type limitedFixture struct {
	*fixture
	limit float64
	sent  []time.Time
}

func newLimitedFixture(instances int, limit float64) *limitedFixture {
	f := &limitedFixture{fixture: newFixture(2*instances, 0), limit: limit}
	f.addUpstream("u", "n-a")
	f.publish()
	for n, b := range f.balancers {
		if n%2 == 0 {
			b.SetInstances(liveInstances(f.balancers), 0)
		}
	}
	return f
}

// run lets all instances of the upstream's region send requests for d, about 8 per second
// and instance, and exchange reports twice a second.
func (f *limitedFixture) run(d time.Duration) {
	const step = 20 * time.Millisecond
	for at := time.Duration(0); at < d; at += step {
		for n := 0; n < len(f.balancers); n += 2 {
			b := f.balancers[n]
			if b.config.Random() > 0.16 {
				continue
			}
			if l := acquire(b, testRoute(0), ""); l != nil {
				f.sent = append(f.sent, f.Now())
				l.Done(&exchange.Result{Outcome: exchange.Answered, Status: 200, Elapsed: 20 * time.Millisecond, RateLimit: f.limit})
			}
		}
		if at%(500*time.Millisecond) == 0 {
			f.exchangeStatements()
		}
		f.advance(step)
	}
}

func (f *limitedFixture) exchangeStatements() {
	for _, from := range f.balancers {
		for _, to := range f.balancers {
			to.setPeerStatements(from.config.Region, from.ownStatements())
		}
	}
}

// maxInWindow returns the largest number of requests in any span of the given length.
func (f *limitedFixture) maxInWindow(window time.Duration) int {
	most, first := 0, 0
	for i, at := range f.sent {
		for at.Sub(f.sent[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against an upstream that gets far more requests from all instances together than
// the limit that it states, and against a limit of which little is used.
func TestStatedLimitHoldsAcrossInstances(t *testing.T) {
	const window = 4 * time.Second
	for _, instances := range []int{1, 2, 4, 26} {
		for _, limit := range []float64{0.5, 3.2, 8.6} {
			f := newLimitedFixture(instances, limit)
			f.run(4 * time.Second)
			f.sent = nil
			f.run(20 * time.Second)
			require.LessOrEqual(t, float64(f.maxInWindow(window)), 1.5*limit*window.Seconds()+5, "%d instances, limit %g", instances, limit)
			require.GreaterOrEqual(t, float64(len(f.sent)), 0.6*math.Min(limit, 6*float64(instances))*20, "%d instances, limit %g", instances, limit)
		}
	}
}

// Guards against a limit that stays in force after the upstream has stopped stating it, in
// particular at instances that send nothing to the upstream meanwhile.
func TestLiftedLimitIsLiftedAtAllInstances(t *testing.T) {
	f := newLimitedFixture(26, 2)
	f.run(6 * time.Second)
	f.limit, f.sent = 0, nil
	f.run(4 * time.Second)
	for n := 0; n < len(f.balancers); n += 2 {
		require.False(t, f.balancers[n].upstreams["u"].stated.inForce(f.Now()))
	}
	require.Greater(t, len(f.sent), 200)
}

// Guards against a limit that a failed request lifts, and against reports of peers that
// cannot have been made or are older than what is known.
func TestOnlyNewerCompleteResponsesLiftALimit(t *testing.T) {
	f := newLimitedFixture(1, 4)
	b := f.balancers[0]
	u := b.upstreams["u"]
	b.recordStatement(u, &exchange.Result{Outcome: exchange.NotRun, Reason: exchange.Shed, Status: 503, RateLimit: 4}, f.Now())
	f.advance(time.Second)
	for _, r := range []exchange.Result{{Outcome: exchange.Unknown}, {Outcome: exchange.NotRun, Status: 503}, {Outcome: exchange.Answered, Status: 200, RateLimit: -1}} {
		b.recordStatement(u, &r, f.Now())
	}
	for _, s := range []Statement{{Limit: math.NaN()}, {Limit: -1}, {Limit: math.Inf(1)}, {Age: -time.Second}, {Age: time.Minute}, {Age: 1500 * time.Millisecond}} {
		s.UpstreamHash = u.hash
		b.setPeerStatements("n", []Statement{s})
	}
	require.Equal(t, 4.0, u.stated.limit)
	f.advance(statementTTL)
	require.False(t, u.stated.inForce(f.Now()))
}

// Guards against objects of an upstream that states a low limit that are refused, because the
// other upstreams keep half of their slots for the objects that they own themselves.
func TestObjectsOfALimitedOwnerGetAllSlotsOfTheNext(t *testing.T) {
	f := newFixture(1, 2)
	b := f.balancers[0]
	owner := acquire(b, testRoute(0), "k").Target.ID
	b.recordStatement(b.upstreams[owner], &exchange.Result{Outcome: exchange.Answered, Status: 200, RateLimit: minStatedLimit}, f.Now())
	sent := make(map[string]int)
	for range 40 {
		if l := acquire(b, testRoute(0), "k"); l != nil {
			sent[l.Target.ID]++
		}
	}
	require.LessOrEqual(t, sent[owner], statedLimitBurst)
	delete(sent, owner)
	most := 0
	for _, n := range sent {
		most = max(most, n)
	}
	require.Equal(t, 4+queueLimit(0), most, "requests at the other upstreams: %v", sent)
}
