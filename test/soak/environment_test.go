// Package soak runs real instances as separate processes against stand-ins of the
// platform and injects faults from outside the processes. It checks the guarantees against
// the records of callers, operators and upstreams.
//
// TestSoak creates an environment for each seed. Callers send requests and operators
// submit patches while random faults are active; recorders collect the results and the
// violations. After the last fault, the test checks recovery and the recorded results.
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
	host        = "shop.example"
	gracePeriod = 3 * time.Second
	domainCount = 4
	// leavingRestartTime is the time between the end of an upstream that leaves and its next
	// start.
	leavingRestartTime = 300 * time.Millisecond
	upstreamsPerDomain = 3
	meshPort           = 7660
)

var regionOf = map[string]string{"n-a": "n", "n-b": "n", "s-a": "s", "s-b": "s"}
var domainNames = []string{"n-a", "n-b", "s-a", "s-b"}

// instance is an instance process that listens on its own loopback address.
type instance struct {
	*harness.Process
	ip string
	// faultLock is held while a fault is active on the process.
	faultLock sync.Mutex
}

func (i *instance) callerAddr() string    { return i.ip + ":8144" }
func (i *instance) lookupAddr() string    { return i.ip + ":8143" }
func (i *instance) readinessAddr() string { return i.ip + ":8140" }
func (i *instance) adminAddr() string     { return i.ip + ":8146" }

// upstream is a stand-in upstream.
type upstream struct {
	*platformtest.Upstream
	// faultLock is held while the upstream is crashed.
	faultLock sync.Mutex
}

// withFaults returns a function that applies faults to the upstream for faultTime.
func (u *upstream) withFaults(f platformtest.UpstreamFaults, faultTime time.Duration) func() {
	return func() {
		u.SetFaults(f)
		time.Sleep(faultTime)
		u.SetFaults(platformtest.UpstreamFaults{})
	}
}

// environment is a test deployment and the records of its callers and operators. The
// instances reach the store through storeRelay, which injects connection faults.
type environment struct {
	t   *testing.T
	rng *rand.Rand
	// responseFaultRNG selects the faults of responses (randomResponseFault).
	responseFaultRNG *rand.Rand
	// restoreRNG selects the restores of the store (randomRestore), and restoreLock is held
	// while one runs. restoredAt is the time of the last return.
	restoreRNG      *rand.Rand
	restoredAt      time.Time
	restoreLock     sync.Mutex
	dir             string
	store           *platformtest.Store
	storeRelay      *faultproxy.TCP
	instances       []*instance
	upstreams       []*upstream
	requestRecorder *requestRecorder
	patchRecorder   *patchRecorder
	configVersion   int
}

// newEnvironment starts a deployment in two regions with two failure domains each. Each
// failure domain has one instance and three upstreams.
func newEnvironment(t *testing.T, seed uint64) *environment {
	env := &environment{t: t, rng: rand.New(rand.NewPCG(seed, 1)), responseFaultRNG: rand.New(rand.NewPCG(seed, 3)), restoreRNG: rand.New(rand.NewPCG(seed, 4)), dir: t.TempDir(), requestRecorder: newRequestRecorder(), patchRecorder: newPatchRecorder()}
	var err error
	env.store, err = platformtest.NewStore()
	require.NoError(t, err)
	t.Cleanup(env.store.Close)
	env.storeRelay, err = faultproxy.NewTCP(env.store.Address())
	require.NoError(t, err)
	t.Cleanup(env.storeRelay.Close)
	env.writeNextConfig()
	for i := range domainCount * upstreamsPerDomain {
		domain := domainNames[i%domainCount]
		u := &upstream{Upstream: &platformtest.Upstream{ID: fmt.Sprintf("u%d", i), Service: "shop", Domain: domain, Slots: 4, DefaultWork: 10 * time.Millisecond, OnStart: env.requestRecorder.recordExecution}}
		require.NoError(t, u.Start())
		t.Cleanup(u.Crash)
		env.store.Register(u.Upstream, "ready")
		env.upstreams = append(env.upstreams, u)
	}
	// Each run uses its own loopback addresses.
	subnet := fmt.Sprintf("127.%d.%d.", 10+os.Getpid()%200, 1+seed%250)
	for i := range domainCount {
		env.instances = append(env.instances, env.startInstance(i, subnet))
	}
	t.Cleanup(func() {
		for _, i := range env.instances {
			_ = i.Kill()
		}
	})
	return env
}

// writeNextConfig writes the next version of the configuration to the store.
func (env *environment) writeNextConfig() {
	env.configVersion++
	env.writeConfig()
}

// writeConfig writes the configuration to the store. Each version has the same two routes and
// one route whose prefix contains the version.
func (env *environment) writeConfig() {
	route := func(name, prefix string, idempotent bool) platformtest.Route {
		return platformtest.Route{Name: name, Host: host, Prefix: prefix, Idempotent: idempotent, Service: "shop",
			Timeout: 2 * time.Second, TargetLatency: 100 * time.Millisecond, MaxAttempts: 2, Affinity: true}
	}
	env.store.PutConfig(platformtest.EncodeConfig(env.configVersion, []platformtest.Route{
		route("safe", "/safe/", true), route("unsafe", "/unsafe/", false), route("new", fmt.Sprintf("/v%d/", env.configVersion), true)}))
}

func (env *environment) startInstance(n int, subnet string) *instance {
	i := &instance{ip: fmt.Sprintf("%s%d", subnet, n+1)}
	domain := domainNames[n]
	var regions strings.Builder
	for _, d := range domainNames {
		fmt.Fprintf(&regions, "%s = %s\n", d, regionOf[d])
	}
	settings := fmt.Sprintf("[instance]\nid = i%d\nregion = %s\ndomain = %s\n[regions]\n%s[listen]\ncallers = %s\nreadiness = %s\nlookup = %s\nadmin = %s\nmesh = %s:%d\n[operators]\nsoak = %s\n[mesh]\nseeds = %s1:1\n[store]\naddress = %s\n[bounds]\nrepeat_ratio = 0.2\nrepeat_slack = 60\nrepeat_window = 10s\nregion_shift = 0.15\nleave_time = 2500ms\nstop_time = %s\nlookup_ttl = 5s\n",
		n, regionOf[domain], domain, regions.String(), i.callerAddr(), i.readinessAddr(), i.lookupAddr(), i.adminAddr(), i.ip, meshPort, operatorToken, subnet, env.storeRelay.Addr(), gracePeriod)
	path := filepath.Join(env.dir, fmt.Sprintf("i%d.ini", n))
	require.NoError(env.t, os.WriteFile(path, []byte(settings), 0o600))
	i.Process = harness.NewProcess(fmt.Sprintf("i%d", n), "../../bin/sequoia-instance", env.dir, "--settings", path)
	require.NoError(env.t, i.Start())
	return i
}

func isReady(i *instance) bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + i.readinessAddr() + "/sequoiacove/readyz")
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}

func (env *environment) awaitReady(timeout time.Duration) {
	for _, i := range env.instances {
		require.Eventually(env.t, func() bool { return isReady(i) }, timeout, 20*time.Millisecond, "%s: %s", i.Name, i.LogTail(2000))
	}
}
