// Package fleet measures many instances in one process against a stand-in of the store. Its
// test runs few of them in CI; by hand:
//
//	go test ./test/fleet -args -fleet.instances 300
package fleet

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/configstore"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/instance"
	"github.com/sequoiacove/sequoiacove/pkg/steering"
	"github.com/sequoiacove/sequoiacove/platform"
	"github.com/sequoiacove/sequoiacove/platform/platformtest"
)

var (
	instanceCount = flag.Int("fleet.instances", 12, "number of instances")
	upstreamCount = flag.Int("fleet.upstreams", 60, "number of registrations")
	outage        = flag.Duration("fleet.outage", 500*time.Millisecond, "time for which the store is away")
)

const (
	regionCount = 3
	meshPort    = 7400
	// configTime is the time within which a confirmed configuration must be in force
	// everywhere: the shortest that a deployment states.
	configTime = 2500 * time.Millisecond
	// settleTime is the time after a return of the store in which its calls are counted.
	settleTime = 5 * time.Second
)

// fleet is a set of instances in this process and their store.
type fleet struct {
	t     *testing.T
	store *platformtest.Store
	// receivedBytes counts what the instances have read from the store.
	receivedBytes atomic.Int64

	mu sync.Mutex
	// inForce holds the time at which each instance has had each configuration, by version.
	inForce map[int64]map[string]time.Time
}

// recorder is a handler of log records that notes the configurations in force.
type recorder struct {
	fleet *fleet
	id    string
}

func (r recorder) Enabled(context.Context, slog.Level) bool { return true }
func (r recorder) WithAttrs([]slog.Attr) slog.Handler       { return r }
func (r recorder) WithGroup(string) slog.Handler            { return r }

func (r recorder) Handle(_ context.Context, record slog.Record) error {
	attributes := make(map[string]slog.Value)
	record.Attrs(func(a slog.Attr) bool { attributes[a.Key] = a.Value; return true })
	if attributes["event"].Uint64() != uint64(event.VersionInForce) {
		return nil
	}
	version, ok := attributes["version"].Any().(steering.Version)
	if !ok {
		return nil
	}
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	if r.fleet.inForce[int64(version)] == nil {
		r.fleet.inForce[int64(version)] = make(map[string]time.Time)
	}
	r.fleet.inForce[int64(version)][r.id] = time.Now()
	return nil
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func startFleet(t *testing.T) *fleet {
	store, err := platformtest.NewStore()
	require.NoError(t, err)
	t.Cleanup(store.Close)
	f := &fleet{t: t, store: store, inForce: make(map[int64]map[string]time.Time)}
	f.putConfig(1)
	for n := range *upstreamCount {
		f.store.RegisterRow(platformtest.Registration{ID: fmt.Sprint("u", n), Service: "shop", Domain: domain(n), Address: "127.0.0.1:9", Slots: 4, StartUnixMS: 1, State: "ready"})
	}
	regions := make(map[string]string)
	for n := range 2 * regionCount {
		regions[domain(n)] = region(n)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for n := range *instanceCount {
		f.start(ctx, n, regions)
	}
	return f
}

func domain(n int) string { return fmt.Sprint("d", n%(2*regionCount)) }

func region(n int) string { return fmt.Sprint("r", n%regionCount) }

// address returns a loopback address of its own for each instance of each run.
func address(n, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 10+os.Getpid()%200, 1+n/250, 1+n%250, port)
}

func (f *fleet) start(ctx context.Context, n int, regions map[string]string) {
	id := fmt.Sprint("i", n)
	settings := &instance.Settings{ID: id, Region: region(n), Domain: domain(n), Regions: regions, CallerAddress: address(n, meshPort+1), ReadinessAddress: address(n, meshPort+2),
		MeshAddress: address(n, meshPort), StoreAddress: f.store.Address(), MemoryLimitMB: 256, MaxFileDescriptors: 1000, Seeds: []string{address(0, meshPort)},
		Bounds: steering.GlobalLimits{MaxRetryRatio: 0.2, ExtraRetries: 60, RetryWindow: 10 * time.Second, MaxRegionShift: 0.15, MaxLookupTTL: 5 * time.Second, ShutdownGracePeriod: 3 * time.Second, DrainTimeout: 2500 * time.Millisecond}}
	p := platform.New()
	p.NewStore = func(address string) instance.Store {
		client := platform.NewClient(address, func(a string) (net.Conn, error) {
			c, err := net.DialTimeout("tcp4", a, platform.DialTimeout)
			if err != nil {
				return nil, err
			}
			return countedConn{c, &f.receivedBytes}, nil
		})
		versions := platform.NewVersionTable(client)
		return instance.Store{Tables: client, Versions: configstore.New(versions, versions.Objects(), time.Now)}
	}
	i := instance.New(instance.Options{Settings: settings, Platform: p, Now: time.Now, Random: rand.Float64, Logger: slog.New(recorder{f, id})})
	go func() {
		if err := i.Run(ctx); err != nil {
			f.t.Error(err)
		}
	}()
}

func (f *fleet) putConfig(version int) {
	f.store.PutConfig(platformtest.EncodeConfig(version, []platformtest.Route{{Name: "all", Host: "h.example", Prefix: "/", Idempotent: true, Service: "shop", Timeout: time.Second, TargetLatency: 200 * time.Millisecond, MaxAttempts: 2}}))
}

// awaitConfig waits until all instances have a configuration and returns when the last of
// them had it.
func (f *fleet) awaitConfig(version int64, timeout time.Duration) (last time.Time) {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.inForce[version]) == *instanceCount
	}, timeout, 5*time.Millisecond, "version %d", version)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, at := range f.inForce[version] {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// measure writes a configuration right after the return of the store and returns the time
// until the last instance has it. It logs what the return has cost the store.
func (f *fleet) measure(name string, version int, await func()) time.Duration {
	f.t.Helper()
	await()
	returnedAt := time.Now()
	calls, bytes := f.store.RequestCount(), f.receivedBytes.Load()
	f.putConfig(version)
	last := f.awaitConfig(int64(version), 30*time.Second).Sub(returnedAt)
	time.Sleep(time.Until(returnedAt.Add(settleTime)))
	f.t.Logf("%s of %v, %d instances, %d upstreams: last instance after %v; %d store calls, %d KB in %v after the return", name, *outage, *instanceCount, *upstreamCount,
		last.Round(time.Millisecond), f.store.RequestCount()-calls, (f.receivedBytes.Load()-bytes)>>10, settleTime)
	return last
}

// Guards against a fleet that follows a store which has come back from an older copy later
// than it follows one after an ordinary outage of the same length.
func TestFleetFollowsTheStoreInItsNextEra(t *testing.T) {
	f := startFleet(t)
	f.awaitConfig(1, time.Minute)
	// The first watches must have settled on the watchers of each region.
	time.Sleep(settleTime)
	f.measure("outage", 2, func() { f.store.Interrupt(*outage) })
	f.store.TakeCopy()
	f.putConfig(3)
	f.awaitConfig(3, configTime)
	last := f.measure("restored copy", 4, func() { require.NoError(t, f.store.RestoreCopy(*outage)) })
	require.Less(t, last, configTime)
}
