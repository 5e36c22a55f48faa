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
	// patchTimeout bounds a call of an operator.
	patchTimeout = 2 * time.Second
	// minLookupTTLMS is the shortest life of look-up answers that a patch sets, in
	// milliseconds.
	minLookupTTLMS = 100
)

// initialDescription names the places, and no service: its patches change the
// life of look-up answers and the drained upstreams.
const initialDescription = `{"regions": {"n": {"domains": ["n-a", "n-b"]}, "s": {"domains": ["s-a", "s-b"]}}, "lookup": {"ttl_ms": 500}, "services": {}}`

// patchRecorder records what operators were told of their patchRecorder.
type patchRecorder struct {
	mu        sync.Mutex
	submitted int
	// accepted maps versions to the patch ids that they were reported for.
	accepted map[uint64]string
	// notRun holds the ids of patches that were reported as not run.
	notRun map[string]bool
}

func newPatchRecorder() *patchRecorder {
	return &patchRecorder{accepted: make(map[uint64]string), notRun: make(map[string]bool)}
}

func operatorClient(i *instance) *operator.Client {
	return operator.NewClient(operator.ClientConfig{Addresses: []string{i.adminAddr()}, Token: operatorToken, Timeout: patchTimeout})
}

// submitPatch submits a submitPatch on the version that the instance has, and records what
// is known of it.
func (env *environment) submitPatch(i *instance, body string) (version uint64, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*patchTimeout)
	defer cancel()
	c := operatorClient(i)
	current, err := c.Current(ctx)
	if err != nil {
		return 0, err
	}
	p := env.patches
	p.mu.Lock()
	p.submitted++
	id := fmt.Sprintf("p%d", p.submitted)
	p.mu.Unlock()
	reply, err := c.Patch(ctx, operator.PatchRequest{BaseVersion: current.Version, PatchID: id, Kind: description.MergePatch, Patch: json.RawMessage(body)})
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err == nil:
		if other := p.accepted[reply.Version]; other != "" && other != id {
			env.recorder.addViolation("version %d was accepted for %s and for %s", reply.Version, other, id)
		}
		p.accepted[reply.Version] = id
		return reply.Version, nil
	case result.OutcomeOf(err) == result.NotRun:
		p.notRun[id] = true
	}
	return 0, err
}

// awaitVersion waits until all instances have a version in force and agree on it.
func (env *environment) awaitVersion(version uint64, timeout time.Duration) {
	for end := time.Now().Add(timeout); ; time.Sleep(20 * time.Millisecond) {
		lagging := env.laggingInstance(version)
		if lagging == "" {
			return
		}
		if time.Now().After(end) {
			env.recorder.addViolation("description %d is not in force %v after its acceptance: %s", version, timeout, lagging)
			return
		}
	}
}

// laggingInstance names an instance that does not have the version in force.
func (env *environment) laggingInstance(version uint64) string {
	ctx, cancel := context.WithTimeout(context.Background(), patchTimeout)
	defer cancel()
	for _, i := range env.instances {
		current, err := operatorClient(i).Current(ctx)
		if err != nil {
			return fmt.Sprintf("%s: %v", i.Name, err)
		}
		if current.Version < version {
			return fmt.Sprintf("%s has %d", i.Name, current.Version)
		}
	}
	return ""
}

// checkPatchHistory compares the history with what operators were told.
func (env *environment) checkPatchHistory() {
	ctx, cancel := context.WithTimeout(context.Background(), patchTimeout)
	defer cancel()
	history, err := operatorClient(env.instances[0]).Versions(ctx, 0, 200)
	if err != nil {
		env.recorder.addViolation("the history cannot be read: %v", err)
		return
	}
	p := env.patches
	p.mu.Lock()
	defer p.mu.Unlock()
	patchByVersion := make(map[uint64]string)
	for _, v := range history.Versions {
		patchByVersion[v.Version] = v.PatchID
		if p.notRun[v.PatchID] {
			env.recorder.addViolation("patch %s was refused as not run and is version %d", v.PatchID, v.Version)
		}
	}
	for version, id := range p.accepted {
		if patchByVersion[version] != id {
			env.recorder.addViolation("patch %s was accepted as version %d, which is %q", id, version, patchByVersion[version])
		}
	}
}
