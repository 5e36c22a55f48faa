package instance

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
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
	"github.com/sequoiacove/sequoiacove/pkg/steering"
	"github.com/sequoiacove/sequoiacove/pkg/table/tabletest"
)

// fakeStore holds rows in memory. Directives are numbers of configurations
// that the test defines; upstreams are "service address domain slots".
type fakeStore struct {
	mu       sync.Mutex
	revision int64
	rows     [3]map[string]catalog.Row
	changes  [3][]catalog.Row
	changed  chan struct{}
	down     bool
	// silent makes watches of callers that wait for longer than patientWait
	// miss every change.
	silent bool
	// patient counts the watches that miss every change.
	patient atomic.Int64
}

// awaitPatientWatches waits until n watches miss every change.
func (s *fakeStore) awaitPatientWatches(t *testing.T, n int64) {
	require.Eventually(t, func() bool { return s.patient.Load() == n }, patience, 5*time.Millisecond)
}

// patientWait separates the watch of a first watcher from that of a backup.
const patientWait = 4 * time.Second

func newFakeStore() *fakeStore {
	s := &fakeStore{changed: make(chan struct{})}
	for i := range s.rows {
		s.rows[i] = make(map[string]catalog.Row)
	}
	return s
}

var errDown = errors.New("store away")

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
	r := catalog.Row{Key: key, Value: []byte(value), Revision: s.revision, Deleted: deleted}
	if deleted {
		delete(s.rows[table], key)
	} else {
		s.rows[table][key] = r
	}
	s.changes[table] = append(s.changes[table], r)
	close(s.changed)
	s.changed = make(chan struct{})
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
		return catalog.Listing{}, errDown
	}
	l := catalog.Listing{Revision: max(1, s.revision)}
	for _, r := range s.rows[table] {
		l.Rows = append(l.Rows, r)
	}
	return l, nil
}

// Watch implements catalog.Store.
func (s *fakeStore) Watch(ctx context.Context, table catalog.Table, after int64, wait time.Duration) (catalog.Listing, error) {
	end := time.After(wait)
	for {
		s.mu.Lock()
		l := catalog.Listing{Revision: max(1, s.revision)}
		for _, r := range s.changes[table] {
			if r.Revision > after {
				l.Rows = append(l.Rows, r)
			}
		}
		changed, down, silent := s.changed, s.down, s.silent && wait > patientWait
		s.mu.Unlock()
		if silent {
			s.patient.Add(1)
			defer s.patient.Add(-1)
			<-ctx.Done()
			return catalog.Listing{}, ctx.Err()
		}
		if down {
			return catalog.Listing{}, errDown
		}
		if len(l.Rows) > 0 {
			return l, nil
		}
		select {
		case <-changed:
		case <-end:
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
		return errDown
	}
	s.write(table, key, string(value), false)
	return nil
}

// Remove implements catalog.Store.
func (s *fakeStore) Remove(_ context.Context, table catalog.Table, key string, revision int64) error {
	s.mu.Lock()
	current, down := s.rows[table][key].Revision, s.down
	s.mu.Unlock()
	switch {
	case down:
		return errDown
	case current != revision:
		return result.New(result.StoreConflict, "revision %d", current)
	}
	s.write(table, key, "", true)
	return nil
}

// fakeUpstream serves requests with a handler and counts what it runs.
type fakeUpstream struct {
	id      string
	address string
	runs    atomic.Int64
	gone    atomic.Int64
	mu      sync.Mutex
	handle  func(r *http.Request, c net.Conn) string
	ids     map[string]int
}

func (u *fakeUpstream) ran(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ids[id]
}

func (u *fakeUpstream) set(handle func(r *http.Request, c net.Conn) string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.handle = handle
}

func ok(r *http.Request, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("X-Id"), len(body), body)
}

func shed(r *http.Request) string {
	return fmt.Sprintf("HTTP/1.1 503 Unavailable\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Id"))
}

func newFakeUpstream(t *testing.T, id string) *fakeUpstream {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	u := &fakeUpstream{id: id, address: l.Addr().String(), ids: make(map[string]int)}
	u.handle = func(r *http.Request, _ net.Conn) string { return ok(r, r.URL.RequestURI()) }
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
			u.gone.Add(1)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		u.runs.Add(1)
		u.mu.Lock()
		u.ids[r.Header.Get("X-Id")]++
		handle := u.handle
		u.mu.Unlock()
		text := handle(r, c)
		if text == "" {
			return
		}
		if _, err := c.Write([]byte(text)); err != nil {
			return
		}
	}
}

// world is a store with upstreams and instances.
type world struct {
	t         *testing.T
	store     *fakeStore
	versions  *configstore.Store
	instances []*testInstance
	mu        sync.Mutex
	configs   map[int]*steering.Config
}

type testInstance struct {
	*Instance
	stop context.CancelFunc
	done chan struct{}
	log  *lockedBuffer
	// ahead is how far the instance's clock is ahead, in nanoseconds.
	ahead *atomic.Int64
}

type lockedBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

// Write implements io.Writer.
func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// String returns what was written.
func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// newWorld returns a world without instances; its test runs beside others,
// because each stop of an instance takes a few seconds.
func newWorld(t *testing.T) *world {
	t.Parallel()
	direct := tabletest.New()
	w := &world{t: t, store: newFakeStore(), versions: configstore.New(direct, direct.Objects(), time.Now), configs: make(map[int]*steering.Config)}
	w.configure(1, route("safe", "/safe/", true), route("unsafe", "/unsafe/", false))
	return w
}

func route(name, prefix string, idempotent bool) *steering.Route {
	return &steering.Route{Name: name, Host: "h.example", Prefix: prefix, Idempotent: idempotent, Timeout: 2 * time.Second, TargetLatency: 200 * time.Millisecond,
		MaxAttempts: 2, Split: []steering.Share{{Service: "shop", Weight: 1}}}
}

func (w *world) configure(version int, routes ...*steering.Route) {
	c := &steering.Config{Version: steering.Version(version), Services: map[string]*steering.Service{"shop": {Name: "shop", ColdRate: 16, ColdStart: time.Second}}}
	c.SetRoutes(routes)
	w.mu.Lock()
	w.configs[version] = c
	w.mu.Unlock()
	w.store.write(catalog.Directives, "config", strconv.Itoa(version), false)
}

func (w *world) upstream(id string) *fakeUpstream {
	u := newFakeUpstream(w.t, id)
	w.store.write(catalog.Upstreams, id, "shop "+u.address+" n-a ready", false)
	return u
}

func (w *world) decoder() catalog.Decoder {
	return catalog.Decoder{
		Directive: func(key string, value []byte) (steering.Directive, error) {
			if domain, ok := strings.CutPrefix(key, "evacuate/"); ok {
				return steering.Directive{Evacuate: domain}, nil
			}
			n, err := strconv.Atoi(string(value))
			w.mu.Lock()
			defer w.mu.Unlock()
			return steering.Directive{Config: w.configs[n]}, err
		},
		Upstream: func(key string, value []byte) (steering.Upstream, error) {
			f := strings.Fields(string(value))
			if len(f) != 4 {
				return steering.Upstream{}, errors.New("unreadable")
			}
			u := steering.Upstream{ID: key, Service: f[0], Address: f[1], Domain: f[2], Slots: 4, State: steering.Ready}
			if f[3] == "draining" {
				u.State = steering.Draining
			}
			return u, nil
		},
	}
}

// token is that of the operator ana.
const token = "a-token-of-some-length"

// addresses counts the loopback addresses that the tests of this process use.
var addresses atomic.Uint32

// freeAddress returns a loopback address of its own with a port outside the
// range of outgoing connections, so that no other socket takes it.
func freeAddress() string {
	const port, hosts = 7000, 250
	n := addresses.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:%d", 10+os.Getpid()%200, 1+n/hosts%hosts, 1+n%hosts, port)
}

// start runs an instance; seeds are the mesh addresses of others.
func (w *world) start(id string, seeds ...string) *testInstance {
	return w.startIn("n", id, seeds...)
}

// startIn runs an instance of a region.
func (w *world) startIn(region, id string, seeds ...string) *testInstance {
	x := w.prepare(region, id, seeds...)
	ctx, cancel := context.WithCancel(context.Background())
	x.stop, x.done = cancel, make(chan struct{})
	go func() {
		defer close(x.done)
		if err := x.Run(ctx); err != nil {
			w.t.Error(err)
		}
	}()
	w.t.Cleanup(func() { cancel(); <-x.done })
	w.instances = append(w.instances, x)
	return x
}

// prepare returns an instance that does not run.
func (w *world) prepare(region, id string, seeds ...string) *testInstance {
	s := &Settings{ID: id, Region: region, Domain: region + "-a", Regions: map[string]string{"n-a": "n", "n-b": "n", "s-a": "s"}, CallerAddress: freeAddress(), ReadyAddress: freeAddress(),
		LookupAddress: freeAddress(), AdminAddress: freeAddress(), Operators: map[string]string{"ana": token}, MeshAddress: freeAddress(), StoreAddress: "127.0.0.1:1", MemoryMB: 256, Descriptors: 1000, Seeds: seeds,
		Bounds: steering.Bounds{RetryRatio: 0.2, RetrySlack: 60, RetryWindow: 10 * time.Second, MaxRegionShift: 0.15, MaxLookupTTL: 5 * time.Second, GracePeriod: 3 * time.Second}}
	log := &lockedBuffer{}
	headers := exchange.Headers{RequestID: "X-Id", Deadline: "X-Deadline", AffinityKey: "X-Key", Signature: "X-Signature", Target: "X-Target",
		Load: "X-Load", NotRun: "X-Not-Run", Upstream: "X-Upstream", ColdRemaining: "X-Cold"}
	ahead := &atomic.Int64{}
	now := func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) }
	i := New(Options{Settings: s, Now: now, Random: func() float64 { return 0.5 }, Logger: event.NewLogger(log, 0, "instance", id), Platform: Platform{
		Headers: headers, Paths: Paths{Ready: "/ready", Lookup: "/lookup", LookupRegion: "region", LookupDomain: "zone"}, Decoder: w.decoder(),
		LookupAnswer: func(list []string, _ time.Duration) []byte { return []byte(strings.Join(list, " ")) },
		NewStore:     func(string) Store { return Store{Tables: w.store, Versions: w.versions} },
	}})
	return &testInstance{Instance: i, log: log, ahead: ahead}
}

// awaitReady waits until the instance steers to n upstreams.
func (w *world) awaitReady(x *testInstance, n int) {
	require.Eventually(w.t, func() bool {
		status, _ := w.get(x.settings.ReadyAddress, "/ready")
		return status == http.StatusOK && len(x.catalog.View().Upstreams) == n
	}, 10*time.Second, 5*time.Millisecond)
}

func (w *world) get(address, path string) (int, string) {
	resp, err := http.Get("http://" + address + path)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	require.NoError(w.t, err)
	return resp.StatusCode, string(body)
}

// caller is one connection of a caller.
type caller struct {
	t *testing.T
	c net.Conn
	b *bufio.Reader
}

func (w *world) caller(x *testInstance) *caller {
	c, err := net.Dial("tcp4", x.settings.CallerAddress)
	require.NoError(w.t, err)
	w.t.Cleanup(func() { _ = c.Close() })
	require.NoError(w.t, c.SetDeadline(time.Now().Add(20*time.Second)))
	return &caller{w.t, c, bufio.NewReader(c)}
}

func text(method, path, id, body string) string {
	s := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nX-Id: %s\r\nX-Deadline: 5000\r\n", method, path, id)
	if body != "" {
		s += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return s + "\r\n" + body
}

func (c *caller) send(s string) {
	_, err := c.c.Write([]byte(s))
	require.NoError(c.t, err)
}

func (c *caller) receive() (*http.Response, string) {
	r, err := http.ReadResponse(c.b, nil)
	require.NoError(c.t, err)
	body, err := io.ReadAll(r.Body)
	require.NoError(c.t, err)
	return r, string(body)
}

func (c *caller) do(method, path, id, body string) (*http.Response, string) {
	c.send(text(method, path, id, body))
	return c.receive()
}
