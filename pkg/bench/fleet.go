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
	// defaultInstanceCount is the number of instances in a failure domain plus some
	// margin.
	defaultInstanceCount = 6
	// startTimeout limits the wait until a destination responds.
	startTimeout = 10 * time.Second
	gracePeriod  = time.Second
	// targetLatency exceeds the execution time of most requests.
	targetLatency = 300 * time.Millisecond
	maxAttempts   = 3
)

// variant is a way of choosing the upstream of a request.
type variant struct {
	name string
	// instanceCount is the number of instances. Callers send each request to one of
	// them, chosen at random. With no instances, callers send each request directly to
	// the upstream that choose returns.
	instanceCount int
	choose        func(f *fleet) *destination
}

// measuredVariant is the variant to which the target values apply; the other variants
// are baselines.
const measuredVariant = "instances"

var variants = []variant{
	{name: measuredVariant, instanceCount: defaultInstanceCount},
	{name: "one_instance", instanceCount: 1},
	{name: "random", choose: (*fleet).chooseRandom},
	{name: "round_robin", choose: (*fleet).chooseRoundRobin},
	{name: "least_of_two", choose: (*fleet).chooseLeastOfTwo},
}

// destination is an instance or upstream that callers send to, with the number of
// their requests in flight.
type destination struct {
	address  string
	inFlight atomic.Int64
}

// fleet holds the stand-ins and instances of one run.
type fleet struct {
	variant           variant
	store             *platformtest.Store
	upstreams         []*platformtest.Upstream
	destinations      []*destination
	sender            *load.Sender
	cancel            context.CancelFunc
	instanceWaitGroup sync.WaitGroup

	mu              sync.Mutex
	rand            *rand.Rand
	roundRobinCount int
}

// fleetCount counts the fleets created by this process. The count is part of a
// fleet's loopback network, so that consecutive fleets use different addresses.
var fleetCount atomic.Uint32

func newFleet(size Size, v variant, w workload, seed uint64) (*fleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{variant: v, sender: load.NewSender(host), cancel: cancel, rand: rand.New(rand.NewPCG(seed, 3))}
	var err error
	if f.store, err = platformtest.NewStore(); err != nil {
		return f, err
	}
	routes := load.Routes(platformtest.Route{Host: host, Service: service, Timeout: w.timeout, TargetLatency: targetLatency, MaxAttempts: maxAttempts})
	f.store.PutConfig(platformtest.EncodeConfig(1, routes))
	for n := range size.Upstreams {
		u := &platformtest.Upstream{ID: fmt.Sprintf("u%d", n), Service: service, Domain: domain, Slots: size.Slots}
		if err := u.Start(); err != nil {
			return f, err
		}
		f.upstreams = append(f.upstreams, u)
		f.store.Register(u, "ready")
		if v.instanceCount == 0 {
			f.destinations = append(f.destinations, &destination{address: u.Address()})
		}
	}
	network := fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, 1+fleetCount.Add(1)%250)
	for n := range v.instanceCount {
		address := f.startInstance(ctx, network, n)
		f.destinations = append(f.destinations, &destination{address: address})
	}
	return f, f.awaitDestinations()
}

// startInstance runs an instance in this process and returns its caller address.
func (f *fleet) startInstance(ctx context.Context, network string, n int) string {
	listen := func(port int) string { return fmt.Sprintf("%s.%d:%d", network, n+1, port) }
	text := fmt.Sprintf("[instance]\nid = i%d\nregion = %s\ndomain = %s\n[regions]\n%s = %s\n[listen]\ncallers = %s\nreadiness = %s\nmesh = %s\n[mesh]\nseeds = %s.1:7002\n[store]\naddress = %s\n[limits]\ndescriptors = 8192\nmemory_mb = 1024\n[bounds]\nrepeat_ratio = 0.2\nstop_time = %s\n",
		n, region, domain, domain, region, listen(7000), listen(7001), listen(7002), network, f.store.Address(), gracePeriod)
	settings, err := instance.ParseSettings([]byte(text))
	if err != nil {
		// The settings are generated and always valid.
		panic(err)
	}
	i := instance.New(instance.Options{Settings: settings, Platform: platform.New(), Now: time.Now, Random: rand.Float64, Logger: event.DiscardLogger()})
	f.instanceWaitGroup.Go(func() {
		if err := i.Run(ctx); err != nil {
			fmt.Fprintln(os.Stderr, "sequoia-bench:", err)
		}
	})
	return settings.CallerAddress
}

// awaitDestinations waits until every destination responds.
func (f *fleet) awaitDestinations() error {
	for _, dest := range f.destinations {
		for end := time.Now().Add(startTimeout); ; time.Sleep(20 * time.Millisecond) {
			r := load.Probe(dest.address, host)
			if r.Upstream != "" {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s did not respond in time: %+v", dest.address, r)
			}
		}
	}
	return nil
}

// send sends a request to the destination chosen by the variant.
func (f *fleet) send(request benchRequest, at time.Time, timeout time.Duration) load.Record {
	dest := f.chooseDestination()
	dest.inFlight.Add(1)
	defer dest.inFlight.Add(-1)
	return f.sender.Send(dest.address, request.PlannedRequest, at, timeout)
}

func (f *fleet) chooseDestination() *destination {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.variant.choose == nil {
		return f.chooseRandom()
	}
	return f.variant.choose(f)
}

func (f *fleet) chooseRandom() *destination { return f.destinations[f.rand.IntN(len(f.destinations))] }

func (f *fleet) chooseRoundRobin() *destination {
	f.roundRobinCount++
	return f.destinations[f.roundRobinCount%len(f.destinations)]
}

func (f *fleet) chooseLeastOfTwo() *destination {
	a, b := f.chooseRandom(), f.chooseRandom()
	if b.inFlight.Load() < a.inFlight.Load() {
		return b
	}
	return a
}

// audit waits until no upstream is busy and compares the callers' outcomes with
// the logs of the upstreams. It also returns the number of requests that upstreams
// rejected without executing.
func (f *fleet) audit(records []load.Record) (load.Audit, int) {
	var executions []load.Execution
	shedCount := 0
	for _, u := range f.upstreams {
		report := u.Report()
		for end := time.Now().Add(settleTimeout); report.InFlight > 0 && time.Now().Before(end); report = u.Report() {
			time.Sleep(10 * time.Millisecond)
		}
		for _, e := range report.Executions {
			e.Upstream = u.ID
			if !e.Ran() {
				shedCount++
			}
			executions = append(executions, e)
		}
	}
	return load.NewAuditor(executions).Check(records), shedCount
}

func (f *fleet) close() {
	f.cancel()
	f.sender.Close()
	f.instanceWaitGroup.Wait()
	for _, u := range f.upstreams {
		u.Crash()
	}
	if f.store != nil {
		f.store.Close()
	}
}
