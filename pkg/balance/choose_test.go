package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/exchange"
)

// Guards against requests without an object that keep going to an upstream that fails half
// of them, never often enough in a row to be ejected, while another one answers all.
func TestFailingUpstreamGetsFewRequests(t *testing.T) {
	const requests = 200
	f := newFixture(1, 1)
	b, sent := f.balancers[0], map[string]int{}
	for range requests {
		l := acquire(b, testRoute(1), "")
		require.NotNil(t, l)
		id := l.Target.ID
		sent[id]++
		f.advance(20 * time.Millisecond)
		result := answered(20 * time.Millisecond)
		if id == "n-a-0" && sent[id]%2 == 1 {
			result = &exchange.Result{Outcome: exchange.Unknown, Reason: exchange.ConnectionLost, Elapsed: 20 * time.Millisecond}
		}
		l.Done(result)
	}
	require.Positive(t, sent["n-a-0"], "an upstream that fails now and then is still used")
	require.Less(t, sent["n-a-0"], requests/4)
}

// Guards against instances that all choose the same upstream at the same moment, because
// they know the same and have not heard of each other's requests yet. Replays one request
// of each of 40 instances at 12 equal upstreams, which have joined one after the other, so
// that all instances list them in the same order.
func TestInstancesWithTheSameViewSpreadTheirRequests(t *testing.T) {
	f := newFixture(80, 0)
	for i := range 12 {
		f.addUpstream(fmt.Sprint("n", i), "n-b")
		f.publish()
	}
	load := map[string]int{}
	for i := 0; i < len(f.balancers); i += 2 {
		load[acquire(f.balancers[i], testRoute(1), "").Target.ID]++
	}
	for id, n := range load {
		require.LessOrEqual(t, n, 40/4, "requests at %s", id)
	}
}
