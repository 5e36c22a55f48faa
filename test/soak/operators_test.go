package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/description"
	"github.com/sequoiacove/sequoiacove/pkg/operator"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

const (
	operatorToken = "soak-operator-token"
	// operatorCallTimeout limits one call to the operator API.
	operatorCallTimeout = 2 * time.Second
	// minLookupTTLMS is the smallest lookup TTL that a patch sets, in milliseconds.
	minLookupTTLMS = 100
)

// initialDescription defines regions and domains but no services. Later patches change the
// lookup TTL and the drained upstreams.
const initialDescription = `{"regions": {"n": {"domains": ["n-a", "n-b"]}, "s": {"domains": ["s-a", "s-b"]}}, "lookup": {"ttl_ms": 500}, "services": {}}`

// patchRecorder records the results that were reported to operators for their patches.
type patchRecorder struct {
	mu             sync.Mutex
	submittedCount int
	// accepted holds the id of each patch that was reported as accepted, by the version
	// reported for it.
	accepted map[uint64]string
	// notRun holds the ids of patches that were reported as not run.
	notRun map[string]bool
}

func newPatchRecorder() *patchRecorder {
	return &patchRecorder{accepted: make(map[uint64]string), notRun: make(map[string]bool)}
}

func operatorClient(i *instance) *operator.Client {
	return operator.NewClient(operator.ClientConfig{Addresses: []string{i.adminAddr()}, Token: operatorToken, Timeout: operatorCallTimeout})
}

// submitPatch submits a patch based on the current version of the instance and
// records the reported result.
func (env *environment) submitPatch(i *instance, body string) (version uint64, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*operatorCallTimeout)
	defer cancel()
	c := operatorClient(i)
	current, err := c.Current(ctx)
	if err != nil {
		return 0, err
	}
	p := env.patchRecorder
	p.mu.Lock()
	p.submittedCount++
	id := fmt.Sprintf("p%d", p.submittedCount)
	p.mu.Unlock()
	reply, err := c.Patch(ctx, operator.PatchRequest{BaseVersion: current.Version, PatchID: id, Kind: description.MergePatch, Patch: json.RawMessage(body)})
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err == nil:
		if other := p.accepted[reply.Version]; other != "" && other != id {
			env.requestRecorder.addViolation("version %d was reported for both patch %s and patch %s", reply.Version, other, id)
		}
		p.accepted[reply.Version] = id
		return reply.Version, nil
	case result.OutcomeOf(err) == result.NotRun:
		p.notRun[id] = true
	}
	return 0, err
}

// awaitVersion waits until all instances have at least the given description version
// in force, and records a violation if that takes longer than timeout.
func (env *environment) awaitVersion(version uint64, timeout time.Duration) {
	for end := time.Now().Add(timeout); ; time.Sleep(20 * time.Millisecond) {
		lagging := env.laggingInstance(version)
		if lagging == "" {
			return
		}
		if time.Now().After(end) {
			env.requestRecorder.addViolation("description version %d is not in force on all instances %v after it was accepted: %s", version, timeout, lagging)
			return
		}
	}
}

// laggingInstance describes an instance that has an older version than the given one in
// force, or that cannot be queried. It returns an empty string if there is none.
func (env *environment) laggingInstance(version uint64) string {
	ctx, cancel := context.WithTimeout(context.Background(), operatorCallTimeout)
	defer cancel()
	for _, i := range env.instances {
		current, err := operatorClient(i).Current(ctx)
		if err != nil {
			return fmt.Sprintf("%s: %v", i.Name, err)
		}
		if current.Version < version {
			return fmt.Sprintf("%s has version %d", i.Name, current.Version)
		}
	}
	return ""
}

// checkPatchHistory compares the version history with the results reported to operators
// and records every contradiction as a violation.
func (env *environment) checkPatchHistory() {
	ctx, cancel := context.WithTimeout(context.Background(), operatorCallTimeout)
	defer cancel()
	history, err := operatorClient(env.instances[0]).Versions(ctx, 0, 200)
	if err != nil {
		env.requestRecorder.addViolation("reading the version history failed: %v", err)
		return
	}
	p := env.patchRecorder
	p.mu.Lock()
	defer p.mu.Unlock()
	patchByVersion := make(map[uint64]string)
	for _, v := range history.Versions {
		patchByVersion[v.Version] = v.PatchID
		if p.notRun[v.PatchID] {
			env.requestRecorder.addViolation("patch %s was rejected as not run but created version %d", v.PatchID, v.Version)
		}
	}
	for version, id := range p.accepted {
		if patchByVersion[version] != id {
			env.requestRecorder.addViolation("patch %s was accepted as version %d, but in the history that version is patch %q", id, version, patchByVersion[version])
		}
	}
}
