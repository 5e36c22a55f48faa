package soak

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/faultproxy"
	"github.com/sequoiacove/sequoiacove/platform"
	"github.com/sequoiacove/sequoiacove/platform/platformtest"
)

var (
	firstSeed     = flag.Uint64("soak.seed", 1, "first seed")
	seeds         = flag.Uint64("soak.seeds", 1, "number of seeds")
	replayFailed  = flag.Bool("soak.failed", false, "run the seeds that failed in the past")
	faultDuration = flag.Duration("soak.duration", 12*time.Second, "duration of fault injection per seed")
)

const (
	callerCount = 24
	// propagationTimeout is the maximum time until a change is in force on all instances. It
	// applies only if there have been no faults for undisturbedTime.
	propagationTimeout = 3 * time.Second
	// undisturbedTime is the time without faults after which propagationTimeout applies.
	undisturbedTime = 4 * time.Second
	// maxProbeRetries and probeRetryDelay limit the retries of rejected probes.
	maxProbeRetries = 10
	probeRetryDelay = 50 * time.Millisecond
	// maxRecoveryTime is the maximum time from the end of the last fault until all instances
	// are ready.
	maxRecoveryTime = 8 * time.Second
)

// failedSeeds maps each seed that failed in the past to the cause of the failure.
var failedSeeds = map[uint64]string{
	2:  "the stand-in upstream had no queue",
	4:  "the stand-in upstream had no queue",
	17: "two rejections were reported with an unknown outcome; later, two instances of a region did not discover each other",
	22: "a silent watch was abandoned after 7.5 s; later, the stand-in upstream had no queue",
	24: "the stand-in upstream had no queue",
	42: "the stand-in upstream had no queue",

	5004: severalStoppedLate, 5014: severalStoppedLate, 5024: severalStoppedLate, 5034: severalStoppedLate, 5044: severalStoppedLate,

	8000: acceptedPatchLost, 8002: acceptedPatchLost, 8003: acceptedPatchLost, 8004: acceptedPatchLost,
	8006: acceptedPatchLost, 8007: acceptedPatchLost, 8008: acceptedPatchLost, 8012: acceptedPatchLost,
	8014: acceptedPatchLost, 8015: acceptedPatchLost, 8017: acceptedPatchLost, 8018: acceptedPatchLost,
	8011: heldBackTooLong, 8019: heldBackTooLong,
	8022: "a row of the copy was held back 12 s after the last return; the instance was without the store for 3 s of these",
}

const severalStoppedLate = "an instance took 3.2 to over 6 s to stop, in five processes in the same two seconds; not traced"

// Causes of the failures with a store that came back from an older copy.
const (
	acceptedPatchLost = "a patch accepted after the copy was not written again, and later ones were rejected"
	heldBackTooLong   = "the time for which a row of the copy is held back began anew with each silence of the store"
)

// Checks the guarantees under random faults: every response is complete and belongs to
// its request, non-idempotent requests run at most once, rejected requests do not run,
// accepted configurations take effect and are never reverted, upstreams that left get no
// requests, and at least 95% of the requests succeed again after the last fault.
func TestSoak(t *testing.T) {
	if *replayFailed {
		for seed, cause := range failedSeeds {
			t.Run(fmt.Sprint("failed seed ", seed), func(t *testing.T) { t.Log(cause); runSeed(t, seed) })
		}
		return
	}
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runSeed(t, seed) })
	}
}

func runSeed(t *testing.T, seed uint64) {
	env := newEnvironment(t, seed)
	env.awaitReady(10 * time.Second)
	_, err := env.submitPatch(env.instances[0], initialDescription)
	require.NoError(t, err)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for n := range callerCount {
		callers.Add(1)
		go func() {
			defer callers.Done()
			env.runCaller(seed*1000+uint64(n), stop)
		}()
	}
	env.injectFaults(*faultDuration)
	env.checkRecovery()
	succeeded, total := env.requestRecorder.succeededCount.Load(), env.requestRecorder.requestCount.Load()
	from := time.Now()
	time.Sleep(2 * time.Second)
	succeeded, total = env.requestRecorder.succeededCount.Load()-succeeded, env.requestRecorder.requestCount.Load()-total
	close(stop)
	callers.Wait()
	env.checkPatchHistory()
	require.Empty(t, env.requestRecorder.allViolations())
	require.Positive(t, total)
	require.GreaterOrEqual(t, float64(succeeded), 0.95*float64(total), "%d of %d requests succeeded after the last fault; all requests by status: %v; log lines since then: %v", succeeded, total, env.requestRecorder.countByStatus(), env.logSummarySince(from))
	t.Logf("seed %d: %d of %d requests served, %d store calls, era %d", seed, env.requestRecorder.succeededCount.Load(), env.requestRecorder.requestCount.Load(), env.store.RequestCount(), env.store.Era())
}

// injectFaults starts a random fault every 0.2 s to 1.1 s for the given duration, and waits
// until all faults have ended. Faults may overlap.
func (env *environment) injectFaults(duration time.Duration) {
	var wg sync.WaitGroup
	end := time.Now().Add(duration)
	for time.Now().Before(end) {
		fault := env.randomFault()
		for _, f := range []func(){fault, env.randomResponseFault(), env.randomRestore()} {
			wg.Add(1)
			go func() {
				defer wg.Done()
				f()
			}()
		}
		time.Sleep(time.Duration(200+env.rng.IntN(900)) * time.Millisecond)
	}
	wg.Wait()
}

// randomFault picks a random fault and returns a function that injects it. If the fault is
// not momentary, the function also clears it after a random time.
func (env *environment) randomFault() func() {
	i := env.instances[env.rng.IntN(len(env.instances))]
	u := env.upstreams[env.rng.IntN(len(env.upstreams))]
	faultTime := time.Duration(200+env.rng.IntN(2500)) * time.Millisecond
	switch env.rng.IntN(13) {
	case 0:
		return func() { env.killAndRestart(i) }
	case 1:
		return func() { env.terminateAndRestart(i) }
	case 2:
		return func() { env.suspend(i, faultTime) }
	case 3:
		return env.storeFault(platformtest.StoreFaultMode(1+env.rng.IntN(4)), faultTime)
	case 4:
		return env.store.DropHistory
	case 5:
		return func() { env.storeRelay.BlackholeEstablished() }
	case 6:
		return func() { env.crashAndRestart(u, faultTime) }
	case 7:
		return u.withFaults(platformtest.UpstreamFaults{LostResponseFraction: 0.3}, faultTime)
	case 8:
		return u.withFaults(platformtest.UpstreamFaults{SlowFactor: 20}, faultTime)
	case 9:
		return u.CloseConnections
	case 10:
		return func() { env.racePatches() }
	case 11:
		ttl := minLookupTTLMS + env.rng.IntN(1000)
		return func() {
			// The patch fails if the instance is unavailable. submitPatch records the result.
			_, _ = env.submitPatch(i, lookupTTLPatch(ttl))
		}
	}
	return func() {
		env.storeRelay.SetFaults(faultproxy.Faults{Cut: true})
		time.Sleep(faultTime)
		env.storeRelay.SetFaults(faultproxy.Faults{})
	}
}

// randomResponseFault returns a function that makes an upstream send responses that are
// copies, break off or never end, that say that it leaves, that refuse and ask for no
// requests, or, most of the time, that does nothing. It has a random
// generator of its own, so that the other faults of a seed stay as they were when the seed
// failed.
func (env *environment) randomResponseFault() func() {
	modes := []platformtest.UpstreamFaultMode{platformtest.LateCopy, platformtest.TruncatedResponse, platformtest.EndlessHead, platformtest.EndlessBody}
	u := env.upstreams[env.responseFaultRNG.IntN(len(env.upstreams))]
	mode := env.responseFaultRNG.IntN(3 * len(modes))
	faultTime := time.Duration(200+env.responseFaultRNG.IntN(2500)) * time.Millisecond
	switch mode - len(modes) {
	case 0:
		return func() {
			u.SetFaults(platformtest.UpstreamFaults{Leaving: true})
			time.Sleep(faultTime)
			// It is used again only after its next start.
			env.crashAndRestart(u, leavingRestartTime)
			u.SetFaults(platformtest.UpstreamFaults{})
		}
	case 1:
		return u.withFaults(platformtest.UpstreamFaults{Mode: platformtest.Refuse, RetryAfter: []string{"0.3", "1", "2.5"}[faultTime.Milliseconds()%3]}, faultTime)
	}
	if mode >= len(modes) {
		return func() {}
	}
	return u.withFaults(platformtest.UpstreamFaults{Mode: modes[mode]}, faultTime)
}

func lookupTTLPatch(ms int) string { return fmt.Sprintf(`{"lookup": {"ttl_ms": %d}}`, ms) }

// racePatches submits patches to all instances at the same time, so that they compete for
// the same base version.
func (env *environment) racePatches() {
	var wg sync.WaitGroup
	for n, i := range env.instances {
		wg.Add(1)
		go func() {
			defer wg.Done()
			// At most one of the patches for the same base version is accepted. submitPatch
			// records the results.
			_, _ = env.submitPatch(i, lookupTTLPatch(minLookupTTLMS+n))
		}()
	}
	wg.Wait()
}

func (env *environment) storeFault(mode platformtest.StoreFaultMode, faultTime time.Duration) func() {
	return func() {
		env.store.SetFaultMode(mode)
		time.Sleep(faultTime)
		env.store.SetFaultMode(platformtest.NoFault)
	}
}

// tryExclusive runs a fault on a process, or does nothing if another fault is active on it.
func (i *instance) tryExclusive(fault func()) {
	if !i.faultLock.TryLock() {
		return
	}
	defer i.faultLock.Unlock()
	fault()
}

func (env *environment) killAndRestart(i *instance) {
	i.tryExclusive(func() {
		_ = i.Kill()
		env.restart(i)
	})
}

func (env *environment) terminateAndRestart(i *instance) {
	i.tryExclusive(func() {
		took, err := i.Terminate(2 * gracePeriod)
		if err != nil || took > gracePeriod {
			env.requestRecorder.addViolation("%s took %v to stop gracefully: %v", i.Name, took, err)
			_ = i.Kill()
		}
		env.restart(i)
	})
}

func (env *environment) restart(i *instance) {
	if err := i.Start(); err != nil {
		env.requestRecorder.addViolation("%s failed to start: %v", i.Name, err)
	}
}

func (env *environment) suspend(i *instance, faultTime time.Duration) {
	i.tryExclusive(func() {
		if i.Signal(syscall.SIGSTOP) == nil {
			time.Sleep(faultTime)
			_ = i.Signal(syscall.SIGCONT)
		}
	})
}

// crashAndRestart crashes an upstream, removes its registration after faultTime, and then
// starts and registers it again. It does nothing if the upstream is already crashed.
func (env *environment) crashAndRestart(u *upstream, faultTime time.Duration) {
	if !u.faultLock.TryLock() {
		return
	}
	defer u.faultLock.Unlock()
	u.Crash()
	time.Sleep(faultTime)
	env.store.Register(u.Upstream, "")
	if err := u.Start(); err != nil {
		env.requestRecorder.addViolation("%s failed to start: %v", u.ID, err)
		return
	}
	env.store.Register(u.Upstream, "ready")
}

// checkRecovery waits until all instances are ready, and checks that they have what was written
// to the store last. It then changes the configuration and
// checks that the change takes effect on all of them. It also drains two upstreams, one by
// its registration and one by a patch, and marks them as departed; the second one only if
// the patch was accepted.
func (env *environment) checkRecovery() {
	env.awaitReady(maxRecoveryTime)
	time.Sleep(undisturbedTime)
	env.awaitEqualToStore()
	env.writeNextConfig()
	drainingUpstream := env.upstreams[0]
	env.store.Register(drainingUpstream.Upstream, "draining")
	changedAt := time.Now()
	version, err := env.submitPatch(env.instances[1], fmt.Sprintf(`{"drained_upstreams": [%q]}`, env.upstreams[1].ID))
	if err != nil {
		env.requestRecorder.addViolation("a patch after the last fault was rejected: %v", err)
	}
	env.awaitVersion(version, propagationTimeout)
	time.Sleep(propagationTimeout)
	for _, i := range env.instances {
		for path, want := range map[string]int{fmt.Sprintf("/v%d/", env.configVersion): http.StatusOK, fmt.Sprintf("/v%d/", env.configVersion-1): http.StatusNotFound} {
			id, status := env.probe(i, path)
			for retries := 0; status == http.StatusServiceUnavailable && retries < maxProbeRetries; retries++ {
				// Under load a request may be rejected as not run; callers retry such requests.
				time.Sleep(probeRetryDelay)
				id, status = env.probe(i, path)
			}
			if status != want {
				env.requestRecorder.addViolation("%s returned status %d for %s, %v after the change: %s", i.Name, status, path, time.Since(changedAt), requestLogLines(i, id))
			}
		}
	}
	env.requestRecorder.mu.Lock()
	env.requestRecorder.departed = map[string]bool{drainingUpstream.ID: true, env.upstreams[1].ID: err == nil}
	env.requestRecorder.mu.Unlock()
}

// logSummarySince counts the log lines of all instances by message and reason, with one
// example line for each.
func (env *environment) logSummarySince(from time.Time) string {
	const tailBytes = 4 << 20
	counts, examples := make(map[string]int), make(map[string]string)
	for _, i := range env.instances {
		for line := range strings.Lines(i.LogTail(tailBytes)) {
			var entry struct {
				Time   time.Time `json:"time"`
				Text   string    `json:"msg"`
				Reason string    `json:"reason"`
			}
			if json.Unmarshal([]byte(line), &entry) == nil && entry.Time.After(from) {
				kind := entry.Text + " " + entry.Reason
				counts[kind]++
				examples[kind] = line
			}
		}
	}
	var b strings.Builder
	for kind, n := range counts {
		fmt.Fprintf(&b, "\n%d times %s, for example %s", n, kind, examples[kind])
	}
	return b.String()
}

// requestLogLines returns the log lines of a request on an instance.
func requestLogLines(i *instance, id string) string {
	const tailBytes = 1 << 20
	var lines []string
	for line := range strings.Lines(i.LogTail(tailBytes)) {
		if strings.Contains(line, `"request":"`+id+`"`) {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "")
}

// probe sends one request on a new connection and returns the request id and the
// response status. The status is 0 if there is no complete response.
func (env *environment) probe(i *instance, path string) (id string, status int) {
	h := platform.Headers()
	id = fmt.Sprintf("p%d", env.requestRecorder.nextID.Add(1))
	c, err := net.DialTimeout("tcp4", i.callerAddr(), time.Second)
	if err != nil {
		return id, 0
	}
	defer func() { _ = c.Close() }()
	if c.SetDeadline(time.Now().Add(3*time.Second)) != nil {
		return id, 0
	}
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 2000\r\n\r\n", path, host, h.RequestID, id, h.Deadline); err != nil {
		return id, 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return id, 0
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return id, 0
	}
	return id, resp.StatusCode
}
