package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/instance"
	"github.com/sequoiacove/sequoiacove/pkg/load"
	"github.com/sequoiacove/sequoiacove/platform"
	"github.com/sequoiacove/sequoiacove/platform/platformtest"
)

const (
	service = "bench"
	host    = "bench.example"
	domain  = "n-a"
	region  = "n"
	// instances is the number of instances of a failure domain with some room.
	instances = 6
	// startLimit bounds the start of the instances.
	startLimit = 10 * time.Second
	stopTime   = time.Second
	// targetLatency is above the time of most requests.
	targetLatency = 300 * time.Millisecond
	maxAttempts   = 3
)

// variant is what a run compares.
type variant struct {
	name string
	// instances is the number of instances that callers send to; without any,
	// callers choose the upstream by pick.
	instances int
	pick      func(f *fleet) *target
}

// product is the variant with the targets; the others are references.
const product = "instances"

var variants = []variant{
	{name: product, instances: instances},
	{name: "one_instance", instances: 1},
	{name: "random", pick: (*fleet).random},
	{name: "round_robin", pick: (*fleet).roundRobin},
	{name: "least_of_two", pick: (*fleet).leastOfTwo},
}

// target is an address that callers send to, with their requests in flight.
type target struct {
	address  string
	inFlight atomic.Int64
}

// fleet is the stand-ins and instances of one run.
type fleet struct {
	variant   variant
	store     *platformtest.Store
	upstreams []*platformtest.Upstream
	targets   []*target
	sender    *load.Sender
	cancel    context.CancelFunc
	running   sync.WaitGroup

	mu     sync.Mutex
	rand   *rand.Rand
	picked int
}

// fleets counts the fleets of this process.
var fleets atomic.Uint32

func newFleet(size Size, v variant, a arrivals, seed uint64) (*fleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{variant: v, sender: load.NewSender(host), cancel: cancel, rand: rand.New(rand.NewPCG(seed, 3))}
	var err error
	if f.store, err = platformtest.NewStore(); err != nil {
		return f, err
	}
	routes := load.Routes(platformtest.Route{Host: host, Service: service, Timeout: a.deadline, TargetLatency: targetLatency, MaxAttempts: maxAttempts})
	f.store.PutConfig(platformtest.Config(1, routes))
	for n := range size.Upstreams {
		u := &platformtest.Upstream{ID: fmt.Sprintf("u%d", n), Service: service, Domain: domain, Slots: size.Slots}
		if err := u.Start(); err != nil {
			return f, err
		}
		f.upstreams = append(f.upstreams, u)
		f.store.Register(u, "ready")
		if v.instances == 0 {
			f.targets = append(f.targets, &target{address: u.Address()})
		}
	}
	network := fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, 1+fleets.Add(1)%250)
	for n := range v.instances {
		address := f.startInstance(ctx, network, n)
		f.targets = append(f.targets, &target{address: address})
	}
	return f, f.awaitInstances()
}

// startInstance runs an instance in this process and returns its address.
func (f *fleet) startInstance(ctx context.Context, network string, n int) string {
	at := func(port int) string { return fmt.Sprintf("%s.%d:%d", network, n+1, port) }
	text := fmt.Sprintf("[instance]\nid = i%d\nregion = %s\ndomain = %s\n[regions]\n%s = %s\n[listen]\ncallers = %s\nreadiness = %s\nmesh = %s\n[mesh]\nseeds = %s.1:7002\n[store]\naddress = %s\n[limits]\ndescriptors = 8192\nmemory_mb = 1024\n[bounds]\nrepeat_ratio = 0.2\nstop_time = %s\n",
		n, region, domain, domain, region, at(7000), at(7001), at(7002), network, f.store.Address(), stopTime)
	settings, err := instance.ParseSettings([]byte(text))
	if err != nil {
		// The text above is fixed.
		panic(err)
	}
	i := instance.New(instance.Options{Settings: settings, Platform: platform.New(), Now: time.Now, Random: rand.Float64, Logger: event.Discard()})
	f.running.Go(func() {
		if err := i.Run(ctx); err != nil {
			fmt.Fprintln(os.Stderr, "sequoia-bench:", err)
		}
	})
	return settings.CallerAddress
}

// awaitInstances waits until every target answers.
func (f *fleet) awaitInstances() error {
	for _, t := range f.targets {
		for end := time.Now().Add(startLimit); ; time.Sleep(20 * time.Millisecond) {
			r := load.Probe(t.address, host)
			if r.Upstream != "" {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s does not answer: %+v", t.address, r)
			}
		}
	}
	return nil
}

// send sends a request to the target that the variant chooses.
func (f *fleet) send(p planned, at time.Time, deadline time.Duration) load.Record {
	t := f.choose()
	t.inFlight.Add(1)
	defer t.inFlight.Add(-1)
	return f.sender.Send(t.address, p.Item, at, deadline)
}

func (f *fleet) choose() *target {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.variant.pick == nil {
		return f.random()
	}
	return f.variant.pick(f)
}

func (f *fleet) random() *target { return f.targets[f.rand.IntN(len(f.targets))] }

func (f *fleet) roundRobin() *target {
	f.picked++
	return f.targets[f.picked%len(f.targets)]
}

func (f *fleet) leastOfTwo() *target {
	a, b := f.random(), f.random()
	if b.inFlight.Load() < a.inFlight.Load() {
		return b
	}
	return a
}

// audit waits until no upstream is busy and compares what callers were told
// with the logs of the upstreams.
func (f *fleet) audit(records []load.Record) (load.Audit, int) {
	var executions []load.Execution
	shed := 0
	for _, u := range f.upstreams {
		report := u.Report()
		for end := time.Now().Add(settleLimit); report.Busy > 0 && time.Now().Before(end); report = u.Report() {
			time.Sleep(10 * time.Millisecond)
		}
		for _, e := range report.Executions {
			e.Upstream = u.ID
			if !e.Ran() {
				shed++
			}
			executions = append(executions, e)
		}
	}
	return load.NewAuditor(executions).Check(records), shed
}

func (f *fleet) close() {
	f.cancel()
	f.sender.Close()
	f.running.Wait()
	for _, u := range f.upstreams {
		u.Crash()
	}
	if f.store != nil {
		f.store.Close()
	}
}
