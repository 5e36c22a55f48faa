// Package soak runs real instances as separate processes against stand-ins of
// the platform, injects faults from outside and checks the promises from what
// callers and upstreams see.
package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/faultproxy"
	"github.com/sequoiacove/sequoiacove/pkg/harness"
	"github.com/sequoiacove/sequoiacove/platform/platformtest"
)

const (
	host     = "shop.example"
	grace    = 3 * time.Second
	domains  = 4
	perZone  = 3
	seedPort = 7660
)

var regionOf = map[string]string{"n-a": "n", "n-b": "n", "s-a": "s", "s-b": "s"}
var domainNames = []string{"n-a", "n-b", "s-a", "s-b"}

// instance is one process of the system.
type instance struct {
	*harness.Process
	ip string
	// busy is held by the fault on the process.
	busy sync.Mutex
}

func (i *instance) caller() string { return i.ip + ":8144" }
func (i *instance) lookup() string { return i.ip + ":8143" }
func (i *instance) ready() string  { return i.ip + ":8140" }
func (i *instance) admin() string  { return i.ip + ":8146" }

// upstream is a stand-in for an upstream.
type upstream struct {
	*platformtest.Upstream
	// busy is held by the fault on the upstream.
	busy sync.Mutex
}

// faults returns a function that gives the upstream faults for a while.
func (u *upstream) faults(f platformtest.UpstreamFaults, pause time.Duration) func() {
	return func() {
		u.SetFaults(f)
		time.Sleep(pause)
		u.SetFaults(platformtest.UpstreamFaults{})
	}
}

// world is a deployment with its callers' records.
type world struct {
	t         *testing.T
	rng       *rand.Rand
	dir       string
	store     *platformtest.Store
	relay     *faultproxy.TCP
	instances []*instance
	upstreams []*upstream
	records   *records
	patches   *patches
	version   int
}

// newWorld starts a deployment: two regions with two failure domains, an
// instance in each, and three upstreams in each.
func newWorld(t *testing.T, seed uint64) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 1)), dir: t.TempDir(), records: newRecords(), patches: newPatches()}
	var err error
	w.store, err = platformtest.NewStore()
	require.NoError(t, err)
	t.Cleanup(w.store.Close)
	w.relay, err = faultproxy.NewTCP(w.store.Address())
	require.NoError(t, err)
	t.Cleanup(w.relay.Close)
	w.configure()
	for i := range domains * perZone {
		domain := domainNames[i%domains]
		u := &upstream{Upstream: &platformtest.Upstream{ID: fmt.Sprintf("u%d", i), Service: "shop", Domain: domain, Slots: 4, Work: 10 * time.Millisecond, OnStart: w.records.ran}}
		require.NoError(t, u.Start())
		t.Cleanup(u.Crash)
		w.store.Register(u.Upstream, "ready")
		w.upstreams = append(w.upstreams, u)
	}
	// Each run has addresses of its own in the loopback range.
	net := fmt.Sprintf("127.%d.%d.", 10+os.Getpid()%200, 1+seed%250)
	for i := range domains {
		w.instances = append(w.instances, w.start(i, net))
	}
	t.Cleanup(func() {
		for _, i := range w.instances {
			_ = i.Kill()
		}
	})
	return w
}

// configure writes the next version: a route that stays, and one whose prefix
// names the version.
func (w *world) configure() {
	w.version++
	route := func(name, prefix string, idempotent bool) platformtest.Route {
		return platformtest.Route{Name: name, Host: host, Prefix: prefix, Idempotent: idempotent, Service: "shop",
			Timeout: 2 * time.Second, TargetLatency: 100 * time.Millisecond, MaxAttempts: 2, Affinity: true}
	}
	w.store.PutConfig(platformtest.Config(w.version, []platformtest.Route{
		route("safe", "/safe/", true), route("unsafe", "/unsafe/", false), route("new", fmt.Sprintf("/v%d/", w.version), true)}))
}

func (w *world) start(n int, net string) *instance {
	i := &instance{ip: fmt.Sprintf("%s%d", net, n+1)}
	domain := domainNames[n]
	var regions strings.Builder
	for _, d := range domainNames {
		fmt.Fprintf(&regions, "%s = %s\n", d, regionOf[d])
	}
	settings := fmt.Sprintf("[instance]\nid = i%d\nregion = %s\ndomain = %s\n[regions]\n%s[listen]\ncallers = %s\nreadiness = %s\nlookup = %s\nadmin = %s\nmesh = %s:%d\n[operators]\nsoak = %s\n[mesh]\nseeds = %s1:1\n[store]\naddress = %s\n[bounds]\nrepeat_ratio = 0.2\nrepeat_slack = 60\nrepeat_window = 10s\nregion_shift = 0.15\nleave_time = 2500ms\nstop_time = %s\nlookup_ttl = 5s\n",
		n, regionOf[domain], domain, regions.String(), i.caller(), i.ready(), i.lookup(), i.admin(), i.ip, seedPort, operatorToken, net, w.relay.Addr(), grace)
	path := filepath.Join(w.dir, fmt.Sprintf("i%d.ini", n))
	require.NoError(w.t, os.WriteFile(path, []byte(settings), 0o600))
	i.Process = harness.NewProcess(fmt.Sprintf("i%d", n), "../../bin/sequoia-instance", w.dir, "--settings", path)
	require.NoError(w.t, i.Start())
	return i
}

func isReady(i *instance) bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + i.ready() + "/sequoiacove/readyz")
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}

func (w *world) awaitReady(limit time.Duration) {
	for _, i := range w.instances {
		require.Eventually(w.t, func() bool { return isReady(i) }, limit, 20*time.Millisecond, "%s: %s", i.Name, i.LogTail(2000))
	}
}
