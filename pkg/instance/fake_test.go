package instance

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/catalog"
	"github.com/sequoiacove/sequoiacove/pkg/configstore"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/exchange"
	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/revision"
	"github.com/sequoiacove/sequoiacove/pkg/steering"
	"github.com/sequoiacove/sequoiacove/pkg/table/tabletest"
)

// fakeStore is an in-memory catalog.Store. The value of a directive is the
// number of a configuration that the test defines; the value of an upstream is
// "service address domain state".
type fakeStore struct {
	mu sync.Mutex
	// era is the number of times that the store has come back from an older copy.
	era      int64
	revision int64
	rows     [3]map[string]catalog.Row
	changes  [3][]catalog.Row
	changed  chan struct{}
	down     bool
	// silenceSecondaryWatches makes watches that wait for longer than
	// secondaryWatchThreshold, those of secondary watchers, miss every change.
	silenceSecondaryWatches bool
	// silentWatchCount counts the open watches that miss every change.
	silentWatchCount atomic.Int64
	startedAt        time.Time
}

// awaitSilentWatches waits until n open watches miss every change.
func (s *fakeStore) awaitSilentWatches(t *testing.T, n int64) {
	require.Eventually(t, func() bool { return s.silentWatchCount.Load() == n }, testTimeout, 5*time.Millisecond)
}

// secondaryWatchThreshold is longer than the watch wait of a primary watcher
// and shorter than that of a secondary watcher.
const secondaryWatchThreshold = 4 * time.Second

func newFakeStore() *fakeStore {
	s := &fakeStore{changed: make(chan struct{}), startedAt: time.Now()}
	for i := range s.rows {
		s.rows[i] = make(map[string]catalog.Row)
	}
	return s
}

var errStoreDown = errors.New("store down")

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) write(table catalog.Table, key, value string, deleted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	r := catalog.Row{Key: key, Value: []byte(value), Revision: at(s.revision), Deleted: deleted}
	if deleted {
		delete(s.rows[table], key)
	} else {
		s.rows[table][key] = r
	}
	s.changes[table] = append(s.changes[table], r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// copyNow returns a copy of the store that goes on by itself.
func (s *fakeStore) copyNow() *fakeStore {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &fakeStore{era: s.era, revision: s.revision, changed: make(chan struct{}), startedAt: s.startedAt}
	for i := range s.rows {
		c.rows[i], c.changes[i] = maps.Clone(s.rows[i]), slices.Clone(s.changes[i])
	}
	return c
}

// comeBack lets the store come back from an older copy, in the next era.
func (s *fakeStore) comeBack(older *fakeStore) {
	c := older.copyNow()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.rows, s.changes, s.down = c.revision, c.rows, c.changes, false
	close(s.changed)
	s.changed = make(chan struct{})
}

// now returns the revision of the store. The lock must be held.
func (s *fakeStore) now() revision.Revision {
	return revision.Revision{Era: s.era, Number: max(1, s.revision)}
}

// inEra returns r as the store states it in its current era. The lock must be held.
func (s *fakeStore) inEra(r catalog.Row) catalog.Row {
	r.Revision.Era = s.era
	return r
}

func (s *fakeStore) has(table catalog.Table, key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.rows[table][key]
	return ok
}

// List implements catalog.Store.
func (s *fakeStore) List(_ context.Context, table catalog.Table) (catalog.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return catalog.Listing{}, errStoreDown
	}
	l := catalog.Listing{Revision: s.now(), StoreTime: time.Since(s.startedAt)}
	for _, r := range s.rows[table] {
		l.Rows = append(l.Rows, s.inEra(r))
	}
	return l, nil
}

// Watch implements catalog.Store.
func (s *fakeStore) Watch(ctx context.Context, table catalog.Table, after revision.Revision, wait time.Duration) (catalog.Listing, error) {
	end := time.After(wait)
	for {
		s.mu.Lock()
		l := catalog.Listing{Revision: s.now(), StoreTime: time.Since(s.startedAt)}
		for _, r := range s.changes[table] {
			if r.Revision.Number > after.Number {
				l.Rows = append(l.Rows, s.inEra(r))
			}
		}
		gone := after.Number > l.Revision.Number
		changed, down, silent := s.changed, s.down, s.silenceSecondaryWatches && wait > secondaryWatchThreshold
		s.mu.Unlock()
		if silent {
			s.silentWatchCount.Add(1)
			defer s.silentWatchCount.Add(-1)
			<-ctx.Done()
			return catalog.Listing{}, ctx.Err()
		}
		if down {
			return catalog.Listing{}, errStoreDown
		}
		if gone {
			return catalog.Listing{}, catalog.ErrHistoryGone
		}
		if len(l.Rows) > 0 {
			return l, nil
		}
		select {
		case <-changed:
		case <-end:
			l.StoreTime = time.Since(s.startedAt)
			return l, nil
		case <-ctx.Done():
			return l, ctx.Err()
		}
	}
}

// Put implements catalog.Store.
func (s *fakeStore) Put(_ context.Context, table catalog.Table, key string, value []byte) error {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		return errStoreDown
	}
	s.write(table, key, string(value), false)
	return nil
}

// Remove implements catalog.Store.
func (s *fakeStore) Remove(_ context.Context, table catalog.Table, key string, revision revision.Revision) error {
	s.mu.Lock()
	current, down := s.rows[table][key].Revision, s.down
	s.mu.Unlock()
	switch {
	case down:
		return errStoreDown
	case current.Number != revision.Number:
		return result.New(result.StoreConflict, "revision %s", current)
	}
	s.write(table, key, "", true)
	return nil
}

// fakeUpstream serves requests with a handler and counts them.
type fakeUpstream struct {
	id                    string
	address               string
	requestCount          atomic.Int64
	closedConnectionCount atomic.Int64
	mu                    sync.Mutex
	handler               func(r *http.Request, c net.Conn) string
	requestsByID          map[string]int
}

func (u *fakeUpstream) requestsWithID(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.requestsByID[id]
}

func (u *fakeUpstream) setHandler(handler func(r *http.Request, c net.Conn) string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.handler = handler
}

func okResponse(r *http.Request, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("X-Id"), len(body), body)
}

func notRunResponse(r *http.Request) string {
	return fmt.Sprintf("HTTP/1.1 503 Unavailable\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Id"))
}

func newFakeUpstream(t *testing.T, id string) *fakeUpstream {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	u := &fakeUpstream{id: id, address: l.Addr().String(), requestsByID: make(map[string]int)}
	u.handler = func(r *http.Request, _ net.Conn) string { return okResponse(r, r.URL.RequestURI()) }
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(c)
		}
	}()
	return u
}

func (u *fakeUpstream) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	b := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(b)
		if err != nil {
			u.closedConnectionCount.Add(1)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		u.requestCount.Add(1)
		u.mu.Lock()
		u.requestsByID[r.Header.Get("X-Id")]++
		handler := u.handler
		u.mu.Unlock()
		text := handler(r, c)
		if text == "" {
			return
		}
		if _, err := c.Write([]byte(text)); err != nil {
			return
		}
	}
}

// testEnv holds a fake store, the configurations and the running instances of a
// test.
type testEnv struct {
	t         *testing.T
	store     *fakeStore
	versions  *configstore.Store
	instances []*testInstance
	mu        sync.Mutex
	configs   map[int]*steering.Config
	// access holds the instances' access to the store by their ids.
	access map[string]*storeAccess
}

// testInstance is an instance under test with its log output and its clock.
type testInstance struct {
	*Instance
	stop context.CancelFunc
	done chan struct{}
	log  *syncBuffer
	// clockOffset is added to the instance's clock, in nanoseconds.
	clockOffset *atomic.Int64
}

type syncBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

// Write implements io.Writer.
func (l *syncBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// String implements fmt.Stringer.
func (l *syncBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// newTestEnv returns a testEnv without instances. The test runs in parallel with
// other tests, because each stop of an instance takes a few seconds.
func newTestEnv(t *testing.T) *testEnv {
	t.Parallel()
	table := tabletest.New()
	env := &testEnv{t: t, store: newFakeStore(), versions: configstore.New(table, table.Objects(), time.Now), configs: make(map[int]*steering.Config), access: make(map[string]*storeAccess)}
	env.writeConfig(1, route("safe", "/safe/", true), route("unsafe", "/unsafe/", false))
	return env
}

func route(name, prefix string, idempotent bool) *steering.Route {
	return &steering.Route{Name: name, Host: "h.example", Prefix: prefix, Idempotent: idempotent, Timeout: 2 * time.Second, TargetLatency: 200 * time.Millisecond,
		MaxAttempts: 2, Split: []steering.WeightedService{{Service: "shop", Weight: 1}}}
}

// healthPath is the path of the health check of the service in the configurations.
const healthPath = "/health"

func (env *testEnv) writeConfig(version int, routes ...*steering.Route) {
	c := &steering.Config{Version: steering.Version(version), Services: map[string]*steering.Service{"shop": {Name: "shop", HealthPath: healthPath, MaxColdRequestRate: 16, WarmUpTime: time.Second}}}
	c.SetRoutes(routes)
	env.mu.Lock()
	env.configs[version] = c
	env.mu.Unlock()
	env.store.write(catalog.Directives, "config", strconv.Itoa(version), false)
}

func (env *testEnv) startUpstream(id string) *fakeUpstream {
	u := newFakeUpstream(env.t, id)
	env.store.write(catalog.Upstreams, id, "shop "+u.address+" n-a ready", false)
	return u
}

func (env *testEnv) decoder() catalog.Decoder {
	return catalog.Decoder{
		Directive: func(key string, value []byte) (steering.Directive, error) {
			if domain, ok := strings.CutPrefix(key, "evacuate/"); ok {
				return steering.Directive{EvacuatedDomain: domain}, nil
			}
			n, err := strconv.Atoi(string(value))
			env.mu.Lock()
			defer env.mu.Unlock()
			return steering.Directive{Config: env.configs[n]}, err
		},
		Upstream: func(key string, value []byte) (steering.Upstream, error) {
			f := strings.Fields(string(value))
			if len(f) != 4 {
				return steering.Upstream{}, errors.New("malformed upstream row")
			}
			u := steering.Upstream{ID: key, Service: f[0], Address: f[1], Domain: f[2], Slots: 4, State: steering.Ready}
			if f[3] == "draining" {
				u.State = steering.Draining
			}
			return u, nil
		},
	}
}

// operatorToken is the token of the operator "ana".
const operatorToken = "a-token-of-some-length"

// storeAccess is an instance's access to the store, or to a part of it.
type storeAccess struct{ part atomic.Pointer[fakeStore] }

// List implements catalog.Store.
func (a *storeAccess) List(ctx context.Context, table catalog.Table) (catalog.Listing, error) {
	return a.part.Load().List(ctx, table)
}

// Watch implements catalog.Store.
func (a *storeAccess) Watch(ctx context.Context, table catalog.Table, after revision.Revision, wait time.Duration) (catalog.Listing, error) {
	return a.part.Load().Watch(ctx, table, after, wait)
}

// Put implements catalog.Store.
func (a *storeAccess) Put(ctx context.Context, table catalog.Table, key string, value []byte) error {
	return a.part.Load().Put(ctx, table, key, value)
}

// Remove implements catalog.Store.
func (a *storeAccess) Remove(ctx context.Context, table catalog.Table, key string, revision revision.Revision) error {
	return a.part.Load().Remove(ctx, table, key, revision)
}

// accessOf returns the access of an instance to the store.
func (env *testEnv) accessOf(id string) *storeAccess {
	env.mu.Lock()
	defer env.mu.Unlock()
	if env.access[id] == nil {
		env.access[id] = &storeAccess{}
		env.access[id].part.Store(env.store)
	}
	return env.access[id]
}

// addressCount is the number of loopback addresses allocated by the tests of
// this process.
var addressCount atomic.Uint32

// freeAddress returns a unique loopback address. Its port is outside the
// ephemeral range, so that no outgoing connection can take it.
func freeAddress() string {
	const port, hosts = 7000, 250
	n := addressCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:%d", 10+os.Getpid()%200, 1+n/hosts%hosts, 1+n%hosts, port)
}

// start runs an instance in region "n"; seeds are the mesh addresses of other
// instances.
func (env *testEnv) start(id string, seeds ...string) *testInstance {
	return env.startIn("n", id, seeds...)
}

// startIn runs an instance in a region until the test ends.
func (env *testEnv) startIn(region, id string, seeds ...string) *testInstance {
	inst := env.newInstance(region, id, seeds...)
	env.run(inst)
	return inst
}

// run runs an instance until the test ends.
func (env *testEnv) run(inst *testInstance) {
	ctx, cancel := context.WithCancel(context.Background())
	inst.stop, inst.done = cancel, make(chan struct{})
	go func() {
		defer close(inst.done)
		if err := inst.Run(ctx); err != nil {
			env.t.Error(err)
		}
	}()
	env.t.Cleanup(func() { cancel(); <-inst.done })
	env.instances = append(env.instances, inst)
}

// newInstance returns an instance that is not running.
func (env *testEnv) newInstance(region, id string, seeds ...string) *testInstance {
	s := &Settings{ID: id, Region: region, Domain: region + "-a", Regions: map[string]string{"n-a": "n", "n-b": "n", "s-a": "s"}, CallerAddress: freeAddress(), ReadinessAddress: freeAddress(),
		LookupAddress: freeAddress(), AdminAddress: freeAddress(), Operators: map[string]string{"ana": operatorToken}, MeshAddress: freeAddress(), StoreAddress: "127.0.0.1:1", MemoryLimitMB: 256, MaxFileDescriptors: 1000, Seeds: seeds,
		Bounds: steering.GlobalLimits{MaxRetryRatio: 0.2, ExtraRetries: 60, RetryWindow: 10 * time.Second, MaxRegionShift: 0.15, MaxLookupTTL: 5 * time.Second, ShutdownGracePeriod: 3 * time.Second}}
	log := &syncBuffer{}
	env.t.Cleanup(func() {
		if env.t.Failed() {
			env.t.Logf("log of %s:\n%s", id, log)
		}
	})
	headers := exchange.Headers{RequestID: "X-Id", Deadline: "X-Deadline", AffinityKey: "X-Key", Signature: "X-Signature", Target: "X-Target",
		Load: "X-Load", NotRun: "X-Not-Run", Upstream: "X-Upstream", ColdRemaining: "X-Cold"}
	clockOffset := &atomic.Int64{}
	now := func() time.Time { return time.Now().Add(time.Duration(clockOffset.Load())) }
	i := New(Options{Settings: s, Now: now, Random: func() float64 { return 0.5 }, Logger: event.NewLogger(log, 0, "instance", id), Platform: Platform{
		Headers: headers, Paths: Paths{Readiness: "/ready", Lookup: "/lookup", LookupRegion: "region", LookupDomain: "zone"}, Decoder: env.decoder(),
		EncodeLookup: func(list []string, _ time.Duration) []byte { return []byte(strings.Join(list, " ")) },
		NewStore:     func(string) Store { return Store{Tables: env.accessOf(id), Versions: env.versions} },
	}})
	return &testInstance{Instance: i, log: log, clockOffset: clockOffset}
}

// awaitReady waits until the instance is ready and knows n upstreams.
func (env *testEnv) awaitReady(inst *testInstance, n int) {
	require.Eventually(env.t, func() bool {
		status, _ := env.httpGet(inst.settings.ReadinessAddress, "/ready")
		return status == http.StatusOK && len(inst.catalog.View().Upstreams) == n
	}, 10*time.Second, 5*time.Millisecond)
}

func (env *testEnv) httpGet(address, path string) (int, string) {
	resp, err := http.Get("http://" + address + path)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	require.NoError(env.t, err)
	return resp.StatusCode, string(body)
}

// callerConn is a caller's connection to an instance.
type callerConn struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (env *testEnv) dialCaller(inst *testInstance) *callerConn {
	c, err := net.Dial("tcp4", inst.settings.CallerAddress)
	require.NoError(env.t, err)
	env.t.Cleanup(func() { _ = c.Close() })
	require.NoError(env.t, c.SetDeadline(time.Now().Add(20*time.Second)))
	return &callerConn{env.t, c, bufio.NewReader(c)}
}

func requestText(method, path, id, body string) string {
	s := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nX-Id: %s\r\nX-Deadline: 5000\r\n", method, path, id)
	if body != "" {
		s += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return s + "\r\n" + body
}

func (c *callerConn) send(s string) {
	_, err := c.conn.Write([]byte(s))
	require.NoError(c.t, err)
}

func (c *callerConn) receive() (*http.Response, string) {
	r, err := http.ReadResponse(c.reader, nil)
	require.NoError(c.t, err)
	body, err := io.ReadAll(r.Body)
	require.NoError(c.t, err)
	return r, string(body)
}

func (c *callerConn) do(method, path, id, body string) (*http.Response, string) {
	c.send(requestText(method, path, id, body))
	return c.receive()
}

// timedResponse is a response and the time that the caller waited for it.
type timedResponse struct {
	*http.Response
	took time.Duration
}

// doUntilSent sends requests until one reaches the upstream, and returns the response to
// that. An instance that the machine does not let run refuses requests whose time has
// passed, or that it could not send in time, rightly as not run.
func (env *testEnv) doUntilSent(inst *testInstance, u *fakeUpstream, method, path string) timedResponse {
	const maxRequests = 20
	for n := range maxRequests {
		id := fmt.Sprint(method, n)
		start := time.Now()
		r, _ := env.dialCaller(inst).do(method, path, id, "body")
		took := time.Since(start)
		if sent := u.requestsWithID(id); sent > 0 {
			require.Equal(env.t, 1, sent)
			return timedResponse{r, took}
		}
		require.Equal(env.t, http.StatusServiceUnavailable, r.StatusCode, "a request that was not sent is refused")
	}
	env.t.Fatalf("none of %d requests reached the upstream", maxRequests)
	return timedResponse{}
}

// at returns a revision of a store that does not state its era.
func at(number int64) revision.Revision { return revision.Revision{Number: number} }
