package demo

import (
	"fmt"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/harness"
	"github.com/sequoiacove/sequoiacove/pkg/operator"
)

const inForce = 2 * time.Second

// play starts the system and carries out the operations under load.
func (d *run) play() error {
	started := time.Now()
	if err := d.cluster.Start(); err != nil {
		return err
	}
	d.say("%d instances in %d failure domains and %d upstreams serve after %.1f s",
		len(d.cluster.Instances), len(d.cluster.Spec.Domains), len(d.cluster.Upstreams), time.Since(started).Seconds())
	if err := d.lookup(); err != nil {
		return err
	}
	first := d.cluster.StartLoad(traffic(bookings, 200, 0.1, 1))
	second := d.cluster.StartLoad(traffic(deposits, 60, 0.6, 2))
	time.Sleep(steady)
	if err := d.operate(); err != nil {
		first.Stop()
		second.Stop()
		return err
	}
	d.reports[bookings.Name], d.reports[deposits.Name] = first.Wait(), second.Wait()
	return nil
}

func (d *run) operate() error {
	if err := d.move(); err != nil {
		return err
	}
	if err := d.drainUpstream(); err != nil {
		return err
	}
	return d.drainInstance()
}

func (d *run) lookup() error {
	for _, region := range []string{home, away} {
		answer, err := d.cluster.Lookup(d.cluster.Instances[0], bookings, region)
		if err != nil {
			return err
		}
		for _, address := range answer.Addresses {
			if i := d.cluster.InstanceByCallerAddress(address); i == nil || i.Region != region {
				d.breaks("look-up for %s names %s", region, address)
			}
		}
		d.say("look-up for a caller in %s: %d instances, valid for %v", region, len(answer.Addresses), answer.TTL)
	}
	return nil
}

func (d *run) move() error {
	d.moved = time.Now()
	took, err := d.patch(1, "move", map[string]any{"services": map[string]any{bookings.Name: map[string]any{"regions": map[string]any{
		home: map[string]any{"share": movedShare}, away: map[string]any{"share": 1 - movedShare}}}}})
	if err != nil {
		return err
	}
	d.say("patch: move %s of %s from %.0f%% to %.0f%%, in force everywhere after %.2f s",
		home, bookings.Name, homeShare*100, movedShare*100, took.Seconds())
	time.Sleep(moveTime)
	return nil
}

// patch sends a merge patch and returns how long it took to be in force
// everywhere.
func (d *run) patch(base uint64, id string, value any) (time.Duration, error) {
	start := time.Now()
	accepted, err := d.cluster.Instances[0].SubmitMergePatch(base, id, value)
	if err != nil {
		return 0, fmt.Errorf("patch %s: %w", id, err)
	}
	_, err = d.cluster.AwaitVersion(accepted.Version, 10*time.Second)
	took := time.Since(start)
	if took > inForce {
		d.breaks("patch %s was in force after %v, bound %v", id, took, inForce)
	}
	return took, err
}

func (d *run) drainUpstream() error {
	u := d.cluster.Upstream(bookings.Name + "-" + home + "-a-1")
	start := time.Now()
	if _, err := d.patch(2, "drain-upstream", map[string]any{"drained_upstreams": []string{u.ID}}); err != nil {
		return err
	}
	bound := leavingBound + maxRequest
	_, err := harness.Await(bound, "drain of "+u.ID, func() error {
		return d.drained(d.cluster.InstancesInDomain(u.Domain), u.ID)
	})
	if err != nil {
		d.breaks("%v", err)
	}
	d.upstreamDrain = time.Since(start)
	d.say("drained upstream %s in %.2f s", u.ID, d.upstreamDrain.Seconds())
	return nil
}

func (d *run) drained(instances []*harness.Instance, id string) error {
	for _, i := range instances {
		state, err := i.Drain(id)
		if err != nil {
			return err
		}
		if state.State != operator.DrainDrained || state.InFlight > 0 {
			return fmt.Errorf("%s reports %s with %d in flight", i.ID, state.State, state.InFlight)
		}
	}
	return nil
}

// drainInstance takes an instance out of service and stops its process.
func (d *run) drainInstance() error {
	i := d.cluster.Instances[0]
	if _, err := d.patch(3, "drain-instance", map[string]any{"drained_instances": []string{i.ID}}); err != nil {
		return err
	}
	took, err := i.Terminate(stopTime)
	if err != nil {
		d.breaks("%v", err)
	}
	d.instanceDrain = took
	d.say("drained and stopped instance %s in %.2f s", i.ID, d.instanceDrain.Seconds())
	return nil
}
