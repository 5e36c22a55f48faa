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
	// minTTL is the shortest life of look-up answers that a patch sets, in
	// milliseconds.
	minTTL = 100
)

// firstDescription names the places, and no service: its patches change the
// life of look-up answers and the drained upstreams.
const firstDescription = `{"regions": {"n": {"domains": ["n-a", "n-b"]}, "s": {"domains": ["s-a", "s-b"]}}, "lookup": {"ttl_ms": 500}, "services": {}}`

// patches records what operators were told of their patches.
type patches struct {
	mu sync.Mutex
	n  int
	// accepted maps versions to the patch ids that they were reported for.
	accepted map[uint64]string
	// refused holds the ids of patches that were reported as not run.
	refused map[string]bool
}

func newPatches() *patches {
	return &patches{accepted: make(map[uint64]string), refused: make(map[string]bool)}
}

func operatorOf(i *instance) *operator.Client {
	return operator.NewClient(operator.ClientConfig{Addresses: []string{i.admin()}, Token: operatorToken, Timeout: patchTimeout})
}

// patch submits a patch on the version that the instance has, and records what
// is known of it.
func (w *world) patch(i *instance, body string) (version uint64, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*patchTimeout)
	defer cancel()
	c := operatorOf(i)
	current, err := c.Current(ctx)
	if err != nil {
		return 0, err
	}
	p := w.patches
	p.mu.Lock()
	p.n++
	id := fmt.Sprintf("p%d", p.n)
	p.mu.Unlock()
	reply, err := c.Patch(ctx, operator.PatchRequest{BaseVersion: current.Version, PatchID: id, Kind: description.MergePatch, Patch: json.RawMessage(body)})
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err == nil:
		if other := p.accepted[reply.Version]; other != "" && other != id {
			w.records.breach("version %d was accepted for %s and for %s", reply.Version, other, id)
		}
		p.accepted[reply.Version] = id
		return reply.Version, nil
	case result.OutcomeOf(err) == result.NotRun:
		p.refused[id] = true
	}
	return 0, err
}

// awaitDescription waits until all instances have a version in force and agree on it.
func (w *world) awaitDescription(version uint64, limit time.Duration) {
	for end := time.Now().Add(limit); ; time.Sleep(20 * time.Millisecond) {
		behind := w.behind(version)
		if behind == "" {
			return
		}
		if time.Now().After(end) {
			w.records.breach("description %d is not in force %v after its acceptance: %s", version, limit, behind)
			return
		}
	}
}

// behind names an instance that does not have the version in force.
func (w *world) behind(version uint64) string {
	ctx, cancel := context.WithTimeout(context.Background(), patchTimeout)
	defer cancel()
	for _, i := range w.instances {
		current, err := operatorOf(i).Current(ctx)
		if err != nil {
			return fmt.Sprintf("%s: %v", i.Name, err)
		}
		if current.Version < version {
			return fmt.Sprintf("%s has %d", i.Name, current.Version)
		}
	}
	return ""
}

// judgePatches compares the history with what operators were told.
func (w *world) judgePatches() {
	ctx, cancel := context.WithTimeout(context.Background(), patchTimeout)
	defer cancel()
	history, err := operatorOf(w.instances[0]).Versions(ctx, 0, 200)
	if err != nil {
		w.records.breach("the history cannot be read: %v", err)
		return
	}
	p := w.patches
	p.mu.Lock()
	defer p.mu.Unlock()
	byNumber := make(map[uint64]string)
	for _, v := range history.Versions {
		byNumber[v.Version] = v.PatchID
		if p.refused[v.PatchID] {
			w.records.breach("patch %s was refused as not run and is version %d", v.PatchID, v.Version)
		}
	}
	for version, id := range p.accepted {
		if byNumber[version] != id {
			w.records.breach("patch %s was accepted as version %d, which is %q", id, version, byNumber[version])
		}
	}
}
