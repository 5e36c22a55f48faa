package instance

import (
	"context"
	"sync"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/balance"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/healthcheck"
)

const (
	// isolationTime is the time without a message from outside the failure domain after which
	// an instance whose tables are not proven current counts as isolated. Members send load
	// reports several times, and heartbeats at least once a second.
	isolationTime = 1200 * time.Millisecond
	// checkInterval is the time between two rounds of health checks, and checkTimeout ends one.
	checkInterval = 250 * time.Millisecond
	checkTimeout  = 400 * time.Millisecond
	// checkedWithin limits the checks to upstreams in use, and maxChecksPerRound the cost.
	checkedWithin     = time.Second
	maxChecksPerRound = 12
)

// isolated reports whether the instance has contact neither with the store nor with another
// failure domain, or with no instance at all if it knows of no other domain. It then does not
// learn that the upstreams that it uses have become cold.
func (i *Instance) isolated() bool {
	if i.catalog.Current() {
		return false
	}
	heardAt := i.mesh.HeardFromOtherDomainAt()
	if heardAt.IsZero() {
		return len(i.mesh.Live()) == 0
	}
	return i.opt.Now().Sub(heardAt) > isolationTime
}

// checkWhileIsolated checks the health of the upstreams in use while the instance is
// isolated, until ctx ends.
func (i *Instance) checkWhileIsolated(ctx context.Context) {
	client := healthcheck.NewClient(i.opt.Platform.Headers)
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	was := false
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		isolated := i.ready() && i.isolated()
		if isolated != was {
			directives, upstreams := i.catalog.ProofAges()
			event.Log(i.logger, event.IsolationChanged, "isolated", isolated, "directives_age_ms", directives.Milliseconds(), "upstreams_age_ms", upstreams.Milliseconds(), "heard_ms", i.opt.Now().Sub(i.mesh.HeardFromOtherDomainAt()).Milliseconds())
		}
		if was = isolated; isolated {
			i.checkHealth(client, i.balancer.UpstreamsToCheck(checkedWithin, maxChecksPerRound))
		}
	}
}

// checkHealth checks upstreams and passes on which of them are cold.
func (i *Instance) checkHealth(client *healthcheck.Client, targets []balance.CheckTarget) {
	var checks sync.WaitGroup
	for _, t := range targets {
		checks.Go(func() {
			health, err := client.Check(healthcheck.Target{ID: t.ID, Address: t.Address, Path: t.HealthPath}, checkTimeout)
			outcome := "answered"
			if err != nil {
				// No answer is no evidence: requests tell whether the upstream can be reached.
				outcome = "failed"
			}
			i.metrics.count("health_checks", "outcome", outcome)
			i.balancer.SetColdRemaining(t, health.ColdRemaining)
		})
	}
	checks.Wait()
}
