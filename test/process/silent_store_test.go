package process

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// drainTimeout is the time within which an upstream that leaves must stop receiving
	// requests; it is the default of the setting leave_time.
	drainTimeout = 2500 * time.Millisecond
	// contactTime is the time after the loss of all connections from which on the instances
	// must know again what the store tells: the shortest that a deployment states.
	contactTime = 3 * time.Second
)

// Guards against requests that reach an upstream long after it reported that it leaves,
// because the connections on which the instances watch the store have gone silent.
func TestLeavingUpstreamWithSilentStoreConnections(t *testing.T) {
	c := newCluster(t, withRelays)
	u := c.Upstream("shop-north-a-1")
	traffic := c.StartLoad(mixedLoad(78, 9*time.Second))
	time.Sleep(2 * time.Second)
	require.Positive(t, c.BlackholeEstablished())
	blackholedAt := time.Now()
	time.Sleep(contactTime - drainTimeout)
	require.NoError(t, c.SetRegistration(u, "draining"))
	leftAt := time.Now()
	requireInvariants(t, c, traffic.Wait())
	last := blackholedAt.Add(contactTime)
	if byLeaving := leftAt.Add(drainTimeout); byLeaving.After(last) {
		last = byLeaving
	}
	requireNoExecutionsAfter(t, c, u, last)
}
