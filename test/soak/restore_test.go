package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/event"
)

const (
	// restoreInterval is the number of faults per restore of the store, on average.
	restoreInterval = 5
	// rewriteTime is the time within which upstreams register again after the store's return.
	rewriteTime = 1900 * time.Millisecond
	// maxEqualTime is the maximum time from the last return of the store until all instances
	// have what it holds. They hold back for 10 s what a copy shows and nobody writes again,
	// such as an evacuation that was lost and that has ended since.
	maxEqualTime = 12 * time.Second
)

// restoreFault is a restore of the store from an older copy, with what its operators write.
type restoreFault struct {
	// age is the age of the copy, and outage the time for which the store is away.
	age, outage time.Duration
	// count is the number of restores from the copy, and pause the time after each of them.
	count int
	pause time.Duration
	// domain is evacuated after the copy or, if evacuatedBefore is set, from before the copy
	// until after it.
	domain          string
	evacuatedBefore bool
	// newVersion is set if the operators write a further configuration after the restore. If
	// not, they write the last one again.
	newVersion bool
}

// randomRestore returns a function that restores the store from an older copy or, most of the
// time, does nothing. It has a random generator of its own, for the same reason as
// randomResponseFault.
func (env *environment) randomRestore() func() {
	rng := env.restoreRNG
	upTo := func(ms int) time.Duration { return time.Duration(rng.IntN(ms)) * time.Millisecond }
	f := restoreFault{
		age: upTo(2000), outage: upTo(800), count: 1 + rng.IntN(2), pause: upTo(600),
		domain: domainNames[rng.IntN(len(domainNames))], evacuatedBefore: rng.IntN(2) == 0, newVersion: rng.IntN(2) == 0,
	}
	delays := make([]time.Duration, len(env.upstreams))
	for n := range delays {
		delays[n] = upTo(int(rewriteTime.Milliseconds()))
	}
	if rng.IntN(restoreInterval) > 0 {
		return func() {}
	}
	return func() {
		env.restoreStore(f)
		env.registerAgain(delays)
	}
}

// restoreStore runs a restoreFault. The store has one copy at a time, so these faults run one
// after another.
func (env *environment) restoreStore(f restoreFault) {
	env.restoreLock.Lock()
	defer env.restoreLock.Unlock()
	if f.evacuatedBefore {
		env.store.SetEvacuated(f.domain, true)
	}
	env.store.TakeCopy()
	time.Sleep(f.age / 2)
	env.store.SetEvacuated(f.domain, !f.evacuatedBefore)
	env.writeNextConfig()
	time.Sleep(f.age / 2)
	for range f.count {
		if err := env.store.RestoreCopy(f.outage); err != nil {
			env.requestRecorder.addViolation("the store was not restored: %v", err)
		}
		env.restoredAt = time.Now()
		time.Sleep(f.pause)
	}
	if f.newVersion {
		env.configVersion++
	}
	env.writeConfig()
	env.store.SetEvacuated(f.domain, !f.evacuatedBefore)
	time.Sleep(f.pause)
	env.store.SetEvacuated(f.domain, false)
}

// registerAgain registers each upstream again after its delay, or when it runs again.
func (env *environment) registerAgain(delays []time.Duration) {
	var wg sync.WaitGroup
	for n, u := range env.upstreams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(delays[n])
			u.faultLock.Lock()
			defer u.faultLock.Unlock()
			env.store.Register(u.Upstream, "ready")
		}()
	}
	wg.Wait()
}

// awaitEqualToStore waits until all instances have what was written to the store last, and
// records a violation for each that has not in time.
func (env *environment) awaitEqualToStore() {
	for _, i := range env.instances {
		err := env.compareWithStore(i)
		for ; err != nil && time.Since(env.restoredAt) < maxEqualTime; err = env.compareWithStore(i) {
			time.Sleep(100 * time.Millisecond)
		}
		if err != nil {
			env.requestRecorder.addViolation("%s differs from the store: %v; its log: %s", i.Name, err, storeLogLines(i))
		}
	}
}

func (env *environment) compareWithStore(i *instance) error {
	var state struct {
		ConfigVersion      int      `json:"version"`
		DirectivesRevision string   `json:"directives_revision"`
		UpstreamsRevision  string   `json:"upstreams_revision"`
		Evacuated          []string `json:"evacuated"`
		UpstreamCount      int      `json:"upstreams"`
	}
	c := http.Client{Timeout: operatorCallTimeout}
	resp, err := c.Get("http://" + i.adminAddr() + "/state")
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(&state); err != nil {
		return err
	}
	era := fmt.Sprintf("%d.", env.store.Era())
	if state.ConfigVersion != env.configVersion || state.UpstreamCount != len(env.upstreams) || len(state.Evacuated) > 0 ||
		!strings.HasPrefix(state.DirectivesRevision, era) || !strings.HasPrefix(state.UpstreamsRevision, era) {
		return fmt.Errorf("want era %s, configuration %d, %d upstreams and no evacuation, got %+v", era, env.configVersion, len(env.upstreams), state)
	}
	return nil
}

// storeLogLines returns the lines in the log of an instance on the eras of the store, on the
// rows that it holds back and on evacuations.
func storeLogLines(i *instance) string {
	const tailBytes = 64 << 20
	events := []event.ID{event.StoreEraChanged, event.RowHeldBack, event.RowReleased, event.StoreDown, event.StoreUp, event.WatchRoleChanged, event.EvacuationStarted, event.EvacuationEnded, event.ProcessStarted}
	var lines []string
	for line := range strings.Lines(i.LogTail(tailBytes)) {
		var entry struct {
			Event event.ID `json:"event"`
		}
		if json.Unmarshal([]byte(line), &entry) == nil && slices.Contains(events, entry.Event) {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "")
}
