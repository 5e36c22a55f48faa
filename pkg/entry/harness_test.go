package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/description"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/peer"
	"github.com/sequoiacove/sequoiacove/pkg/request"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

const testDescription = `{"regions": {"north": {"domains": ["north-a", "north-b"]}, "south": {"domains": ["south-a"]}},
 "links": [{"between": ["north", "south"], "mbit_per_second": 280}],
 "lookup": {"ttl_ms": 100, "blocks": {"10.0.0.0/8": "south", "127.0.0.0/8": "north"}},
 "services": {"calls": {"regions": {
    "north": {"share": 0.5, "domains": {"north-a": 0.5, "north-b": 0.5}},
    "south": {"share": 0.5, "domains": {"south-a": 1}}},
   "caps": {"region_share_per_second": 0.02},
   "max_request_ms": 2000, "idempotent_methods": ["GET", "HEAD"]}}}`

// fakeAdmission runs requests by a function and records them.
type fakeAdmission struct {
	domain string
	mu     sync.Mutex
	owned  map[string]bool
	run    func(ctx context.Context, req *request.Request) (*request.Response, error)
	ran    []request.Request
	pools  []Pool
}

func (f *fakeAdmission) Update(pools []Pool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pools = pools
	f.owned = make(map[string]bool)
	for _, p := range pools {
		f.owned[p.Service] = true
	}
}

func (f *fakeAdmission) Do(ctx context.Context, req *request.Request) (*request.Response, error) {
	f.mu.Lock()
	owned, run := f.owned[req.Service], f.run
	if owned {
		f.ran = append(f.ran, *req)
	}
	f.mu.Unlock()
	if !owned {
		return nil, result.New(result.NotOwner, "no pool")
	}
	if run != nil {
		return run(ctx, req)
	}
	return &request.Response{Status: 200, Body: []byte("echo " + req.Path), Upstream: "u-" + f.domain, Domain: f.domain}, nil
}

func (f *fakeAdmission) set(run func(ctx context.Context, req *request.Request) (*request.Response, error)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.run = run
}

// queueFull refuses a request as an upstream pool with a full queue does.
func queueFull(context.Context, *request.Request) (*request.Response, error) {
	return nil, result.New(result.QueueFull, "full")
}

func (f *fakeAdmission) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.ran)
}

func (f *fakeAdmission) Reports() []cluster.PoolReport { return nil }
func (f *fakeAdmission) InFlight(string) int           { return 0 }
func (f *fakeAdmission) State() any                    { return nil }

// fakeNet carries messages between the entries of a test in CBOR.
type fakeNet struct {
	mu      sync.Mutex
	entries map[string]*Entry
	// fail returns the error of a call, or nil to deliver it.
	fail func(addr string, typ peer.MessageType) error
	// lose delivers a call and drops its answer.
	lose  func(addr string) bool
	calls int
}

func (n *fakeNet) Call(ctx context.Context, addr string, typ peer.MessageType, msg, reply any) error {
	n.mu.Lock()
	n.calls++
	e, fail, lose := n.entries[addr], n.fail, n.lose
	n.mu.Unlock()
	if fail != nil {
		if err := fail(addr, typ); err != nil {
			return err
		}
	}
	if e == nil {
		return result.New(result.PeerUnreachable, "%s", addr)
	}
	body, err := cbor.Marshal(msg)
	if err != nil {
		return err
	}
	handle := e.HandleForward
	if typ == peer.Submit {
		handle = e.HandleSubmit
	}
	r, err := handle(ctx, body)
	if err != nil {
		return err
	}
	if ctx.Err() != nil || (lose != nil && lose(addr)) {
		return result.New(result.PeerNoAnswer, "%s", addr)
	}
	raw, err := cbor.Marshal(r)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(raw, reply)
}

func (n *fakeNet) setFail(fail func(addr string, typ peer.MessageType) error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fail = fail
}

func (n *fakeNet) setLose(lose func(addr string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lose = lose
}

// clock is a settable time source.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) Add(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// world is a set of entries with a common fake network.
type world struct {
	t       testing.TB
	net     *fakeNet
	clock   *clock
	entries map[string]*Entry
	adm     map[string]*fakeAdmission
	seq     uint64
	version cluster.Version
}

// newWorld starts one entry for each instance id in the domain that ids gives.
func newWorld(t testing.TB, ids map[string]string) *world {
	w := &world{t: t, clock: &clock{now: time.Now()}, entries: make(map[string]*Entry), adm: make(map[string]*fakeAdmission)}
	w.net = &fakeNet{entries: make(map[string]*Entry)}
	for id, domain := range ids {
		w.start(id, domain)
	}
	w.setVersion(1, testDescription)
	w.push()
	return w
}

func (w *world) start(id, domain string) *Entry {
	adm := &fakeAdmission{domain: domain}
	e, err := New(Options{
		Instance: id, Region: domain[:5], Domain: domain, CallerAddress: "caller-" + id, PeerAddress: "peer-" + id,
		MaxConcurrent: 100, DrainGrace: time.Minute, Admission: adm, Peers: w.net, Logger: event.Discard(), Registry: gometrics.NewRegistry(), Now: w.clock.Now,
	})
	require.NoError(w.t, err)
	w.entries[id], w.adm[id] = e, adm
	w.net.mu.Lock()
	w.net.entries["peer-"+id] = e
	w.net.mu.Unlock()
	return e
}

func (w *world) setVersion(n uint64, text string) {
	body := []byte(text)
	w.version = cluster.Version{Number: n, Hash: description.Hash(body), Body: body, AcceptedUnixMS: w.clock.Now().UnixMilli()}
}

func (w *world) members() []cluster.Member {
	var members []cluster.Member
	for _, e := range w.entries {
		members = append(members, e.self())
	}
	return members
}

// push gives every entry a snapshot of all entries.
func (w *world) push() {
	for id := range w.entries {
		w.pushTo(id, w.members())
	}
}

func (w *world) pushTo(id string, members []cluster.Member) {
	w.pushSnapshot(id, cluster.Snapshot{Members: members})
}

// pushSnapshot gives an entry a snapshot of the present version, as the next one
// of its agent.
func (w *world) pushSnapshot(id string, s cluster.Snapshot) {
	w.seq++
	s.AgentIncarnation, s.Sequence, s.Version = 1, w.seq, w.version
	_, err := w.entries[id].Apply(&s)
	require.NoError(w.t, err)
}

// advance moves the clock in ticks.
func (w *world) advance(d time.Duration) {
	for ; d > 0; d -= tickInterval {
		w.clock.Add(min(d, tickInterval))
		for _, e := range w.entries {
			e.Tick(w.clock.Now())
		}
	}
}

// do sends a routed request to an entry.
func (w *world) do(id string, change func(*request.Request)) (*request.Response, error) {
	e := w.entries[id]
	req := &request.Request{Service: "calls", Method: "GET", Path: "/x", Idempotent: true}
	req.Deadline, req.Trace = w.clock.Now().Add(time.Second), e.newTrace()
	if change != nil {
		change(req)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	v, err := e.admit()
	if err != nil {
		return nil, err
	}
	if req.ID != "" {
		return e.submit(ctx, req)
	}
	return e.route(ctx, v, req)
}

// serve runs the caller API of an entry and returns its base address.
func serve(t testing.TB, e *Entry) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := e.NewServer()
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Shutdown(); <-done })
	return "http://" + ln.Addr().String()
}

// call sends an HTTP request and returns its answer; header lists names and
// values in turn.
func call(t *testing.T, method, url, body string, header ...string) *fasthttp.Response {
	req, resp := fasthttp.AcquireRequest(), &fasthttp.Response{}
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(method)
	req.SetRequestURI(url)
	req.SetBodyString(body)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	require.NoError(t, fasthttp.DoTimeout(req, resp, 5*time.Second))
	return resp
}

func decode[T any](t *testing.T, body []byte) T {
	var v T
	require.NoError(t, json.Unmarshal(body, &v), fmt.Sprintf("%q", body))
	return v
}
