package demo

import (
	"fmt"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/harness"
	"github.com/sequoiacove/sequoiacove/pkg/operator"
)

// maxPropagationTime is the time within which a patch must be in force on all
// instances.
const maxPropagationTime = 2 * time.Second

// runUnderLoad starts the system and performs the operations while load runs.
func (d *demoRun) runUnderLoad() error {
	started := time.Now()
	if err := d.cluster.Start(); err != nil {
		return err
	}
	d.printf("%d instances in %d failure domains and %d upstreams ready after %.1f s",
		len(d.cluster.Instances), len(d.cluster.Spec.Domains), len(d.cluster.Upstreams), time.Since(started).Seconds())
	if err := d.checkLookups(); err != nil {
		return err
	}
	bookingsLoad := d.cluster.StartLoad(loadConfig(bookings, 200, 0.1, 1))
	depositsLoad := d.cluster.StartLoad(loadConfig(deposits, 60, 0.6, 2))
	time.Sleep(timeBeforeOperations)
	if err := d.runOperations(); err != nil {
		bookingsLoad.Stop()
		depositsLoad.Stop()
		return err
	}
	d.reports[bookings.Name], d.reports[deposits.Name] = bookingsLoad.Wait(), depositsLoad.Wait()
	return nil
}

func (d *demoRun) runOperations() error {
	if err := d.moveShares(); err != nil {
		return err
	}
	if err := d.drainUpstream(); err != nil {
		return err
	}
	return d.drainInstance()
}

func (d *demoRun) checkLookups() error {
	for _, region := range []string{sourceRegion, destinationRegion} {
		response, err := d.cluster.Lookup(d.cluster.Instances[0], bookings, region)
		if err != nil {
			return err
		}
		for _, address := range response.Addresses {
			if i := d.cluster.InstanceByCallerAddress(address); i == nil || i.Region != region {
				d.addViolation("lookup for region %s returned address %s outside the region", region, address)
			}
		}
		d.printf("lookup for a caller in %s: %d instances, TTL %v", region, len(response.Addresses), response.TTL)
	}
	return nil
}

func (d *demoRun) moveShares() error {
	d.moveStarted = time.Now()
	took, err := d.applyPatch(1, "move", map[string]any{"services": map[string]any{bookings.Name: map[string]any{"regions": map[string]any{
		sourceRegion: map[string]any{"share": finalSourceShare}, destinationRegion: map[string]any{"share": 1 - finalSourceShare}}}}})
	if err != nil {
		return err
	}
	d.printf("patch: change share of %s for %s from %.0f%% to %.0f%%, in force on all instances after %.2f s",
		sourceRegion, bookings.Name, initialSourceShare*100, finalSourceShare*100, took.Seconds())
	time.Sleep(shareShiftTime)
	return nil
}

// applyPatch submits a merge patch to version base and returns the time until it
// was in force on all instances.
func (d *demoRun) applyPatch(base uint64, id string, value any) (time.Duration, error) {
	start := time.Now()
	accepted, err := d.cluster.Instances[0].SubmitMergePatch(base, id, value)
	if err != nil {
		return 0, fmt.Errorf("patch %s: %w", id, err)
	}
	_, err = d.cluster.AwaitVersion(accepted.Version, 10*time.Second)
	took := time.Since(start)
	if took > maxPropagationTime {
		d.addViolation("patch %s took %v to be in force on all instances, allowed %v", id, took, maxPropagationTime)
	}
	return took, err
}

func (d *demoRun) drainUpstream() error {
	upstream := d.cluster.Upstream(bookings.Name + "-" + sourceRegion + "-a-1")
	start := time.Now()
	if _, err := d.applyPatch(2, "drain-upstream", map[string]any{"drained_upstreams": []string{upstream.ID}}); err != nil {
		return err
	}
	bound := maxDrainPropagationTime + maxRequestTime
	_, err := harness.Await(bound, "drain of "+upstream.ID, func() error {
		return d.checkDrained(d.cluster.InstancesInDomain(upstream.Domain), upstream.ID)
	})
	if err != nil {
		d.addViolation("%v", err)
	}
	d.upstreamDrainTime = time.Since(start)
	d.printf("drained upstream %s in %.2f s", upstream.ID, d.upstreamDrainTime.Seconds())
	return nil
}

func (d *demoRun) checkDrained(instances []*harness.Instance, id string) error {
	for _, i := range instances {
		state, err := i.DrainState(id)
		if err != nil {
			return err
		}
		if state.State != operator.DrainDrained || state.InFlight > 0 {
			return fmt.Errorf("%s reports %s with %d in flight", i.ID, state.State, state.InFlight)
		}
	}
	return nil
}

// drainInstance drains an instance and stops its process.
func (d *demoRun) drainInstance() error {
	i := d.cluster.Instances[0]
	if _, err := d.applyPatch(3, "drain-instance", map[string]any{"drained_instances": []string{i.ID}}); err != nil {
		return err
	}
	took, err := i.Terminate(gracePeriod)
	if err != nil {
		d.addViolation("%v", err)
	}
	d.instanceDrainTime = took
	d.printf("drained and stopped instance %s in %.2f s", i.ID, d.instanceDrainTime.Seconds())
	return nil
}
