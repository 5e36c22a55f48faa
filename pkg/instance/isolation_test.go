package instance

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startHealthUpstream starts an upstream that states in its health checks that it is cold for
// the given time. It counts the checks.
func (env *testEnv) startHealthUpstream(id, cold string) *atomic.Int64 {
	u := env.startUpstream(id)
	var checkCount atomic.Int64
	u.setHandler(func(r *http.Request, _ net.Conn) string {
		if r.URL.Path != healthPath {
			return okResponse(r, "")
		}
		checkCount.Add(1)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Upstream: %s\r\nX-Cold: %s\r\nContent-Length: 0\r\n\r\n", id, cold)
	})
	return &checkCount
}

// Guards against cold upstreams that get requests at the full rate from an instance that is
// cut off from the store and from all other instances.
func TestIsolatedInstanceLearnsFromUpstreamsThatTheyAreCold(t *testing.T) {
	env := newTestEnv(t)
	checkCount := env.startHealthUpstream("u1", "2500ms")
	inst := env.start("i1")
	env.awaitReady(inst, 1)
	isCold := func() bool { return inst.balancer.UpstreamSnapshots("shop")[0].Cold }
	send := func(n int) {
		r, _ := env.dialCaller(inst).do("GET", "/safe/x", fmt.Sprint("r", n), "")
		if r.StatusCode != http.StatusOK {
			require.True(t, isCold(), "only the cold rate refuses a request here")
		}
	}
	send(0)
	require.Never(t, isCold, 2*checkInterval, checkInterval/5)
	require.Zero(t, checkCount.Load(), "an instance in contact with the store asks no upstream")
	env.store.setDown(true)
	for n := 1; !isCold() && n < 100; n++ {
		send(n)
		time.Sleep(checkInterval / 5)
	}
	require.True(t, isCold())
	require.Contains(t, inst.log.String(), `"event":515`)
}

// Guards against health checks by all instances of a deployment while only the store is away.
func TestInstanceInContactWithAnotherDomainChecksNoUpstream(t *testing.T) {
	env := newTestEnv(t)
	checkCount := env.startHealthUpstream("u1", "2500ms")
	a := env.start("i1")
	b := env.startIn("s", "i2", a.settings.MeshAddress)
	env.awaitReady(a, 1)
	env.awaitReady(b, 1)
	env.store.setDown(true)
	require.Eventually(t, func() bool { return !a.catalog.Current() }, testTimeout, 10*time.Millisecond)
	for n := range 20 {
		r, _ := env.dialCaller(a).do("GET", "/safe/x", fmt.Sprint("r", n), "")
		require.Equal(t, http.StatusOK, r.StatusCode)
		time.Sleep(checkInterval / 4)
	}
	require.Zero(t, checkCount.Load())
}
