//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond
	// queueLength is how many requests wait at an endpoint besides those that run.
	queueLength = 12
	// idleTimeout is after which time an endpoint closes an idle connection, as it states.
	idleTimeout = 10 * time.Second
	healthPath  = "/healthz"
)

// run is one run of a request at an endpoint.
type run struct {
	id             string
	started, ended time.Time
	// end is "done", "dropped" (the connection was closed) or "deadline".
	end string
}

// endpoint is a stand-in of an endpoint, as PROTOCOL.md tells it. The query parameter work_ms
// states the work of a request.
type endpoint struct {
	lab               *lab
	id, service, zone string
	slots             int
	work              time.Duration
	address           string
	born              int64
	server            *http.Server
	slot              chan struct{}

	mu       sync.Mutex
	waiting  int
	runs     []*run
	state    string
	sequence int
}

// addEndpoint starts an endpoint and writes its entry, once now and then at each heartbeat.
func (l *lab) addEndpoint(ctx context.Context, id, service, zone string, slots int, work time.Duration) (*endpoint, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{lab: l, id: id, service: service, zone: zone, slots: slots, work: work, address: listener.Addr().String(),
		born: time.Now().UnixMilli(), slot: make(chan struct{}, slots)}
	e.server = &http.Server{Handler: e, IdleTimeout: idleTimeout}
	go func() { _ = e.server.Serve(listener) }()
	l.endpoints = append(l.endpoints, e)
	if _, err := e.write("ready"); err != nil {
		return nil, err
	}
	go e.beat(ctx)
	return e, nil
}

// ServeHTTP answers a request.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h["Date"] = nil
	h.Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(idleTimeout.Seconds())))
	if e.currentState() != "ready" {
		h.Set("Connection", "close")
	}
	if r.URL.Path == healthPath {
		h.Set("Sequoiacove-Instance-Id", e.id)
		h.Set("Sequoiacove-Instance-Load", e.load())
		if e.currentState() != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Sequoiacove-Attempt-Id")
	h.Set("Sequoiacove-Attempt-Id", id)
	if target := r.Header.Get("Sequoiacove-Target-Instance"); target != "" && target != e.id {
		h.Set("Sequoiacove-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		refuse(w, http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get("Sequoiacove-Request-Deadline")); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	if !e.takeSlot(ctx) {
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	end := e.execute(ctx, r, id)
	h.Set("Sequoiacove-Instance-Load", e.load())
	switch end {
	case "done":
		h.Set("Sequoiacove-Response-Signature", id+"."+e.id)
		_, _ = io.WriteString(w, answerBody(id, r.RequestURI))
	case "deadline":
		h.Set("Sequoiacove-Response-Signature", id+"."+e.id)
		w.WriteHeader(http.StatusGatewayTimeout)
	default:
		panic(http.ErrAbortHandler)
	}
}

// answerBody is the whole body of the endpoint's answer to a request.
func answerBody(id, uri string) string { return "answer to " + id + " " + uri }

func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Sequoiacove-Not-Executed", "1")
	w.WriteHeader(status)
}

// takeSlot waits for a slot and reports whether there is one before ctx ends.
func (e *endpoint) takeSlot(ctx context.Context) bool {
	e.mu.Lock()
	if e.waiting >= queueLength {
		e.mu.Unlock()
		return false
	}
	e.waiting++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.waiting--
		e.mu.Unlock()
	}()
	select {
	case e.slot <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// execute works on a request and returns how the work ended.
func (e *endpoint) execute(ctx context.Context, r *http.Request, id string) string {
	work := e.work
	if ms, err := strconv.Atoi(r.URL.Query().Get("work_ms")); err == nil {
		work = time.Duration(ms) * time.Millisecond
	}
	x := &run{id: id, started: time.Now()}
	e.mu.Lock()
	e.runs = append(e.runs, x)
	e.mu.Unlock()
	e.lab.say("%s begins to work on %s", e.id, id)
	t := time.NewTimer(work)
	defer t.Stop()
	end := "done"
	select {
	case <-t.C:
	case <-ctx.Done():
		end = "dropped"
		if ctx.Err() == context.DeadlineExceeded {
			end = "deadline"
		}
	}
	<-e.slot
	e.mu.Lock()
	x.ended, x.end = time.Now(), end
	e.mu.Unlock()
	e.lab.say("%s ends its work on %s after %d ms: %s", e.id, id, x.ended.Sub(x.started).Milliseconds(), end)
	return end
}

// allRuns returns a copy of the runs so far.
func (e *endpoint) allRuns() []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]run, 0, len(e.runs))
	for _, x := range e.runs {
		list = append(list, *x)
	}
	return list
}

// load states the requests that run and that wait, and the slots.
func (e *endpoint) load() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	running := len(e.slot)
	return fmt.Sprintf("%d,%d,%d", running, max(0, e.waiting), e.slots)
}

func (e *endpoint) currentState() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state
}

// write writes the endpoint's entry, in a new state unless that is empty, and returns the time of
// the store's acknowledgement.
func (e *endpoint) write(state string) (time.Time, error) {
	e.mu.Lock()
	if state != "" {
		e.state = state
	}
	e.sequence++
	entry := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":%q,"sequence":%d,"coldRemaining":"0ms"}}`,
		e.address, e.born, e.service, e.zone, e.slots, e.state, e.sequence)
	e.mu.Unlock()
	return e.lab.put(e.id, entry)
}

func (e *endpoint) beat(ctx context.Context) {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			at, err := e.write("")
			switch {
			case err != nil:
				e.lab.say("entry of %s not written: %v", e.id, err)
			case e.currentState() != "ready":
				e.lab.say("the store acknowledged once more that %s is %s", e.id, e.currentState())
				e.lab.reported(e, at)
			}
		case <-ctx.Done():
			return
		}
	}
}

// put writes a row of the table servers and returns the time of the answer.
func (l *lab) put(key, value string) (time.Time, error) {
	body, err := json.Marshal(map[string]any{"expectedRevision": []any{}, "remove": []any{},
		"puts": []any{map[string]any{"table": "servers", "part": "", "key": key, "value": []byte(value)}}})
	if err != nil {
		return time.Time{}, err
	}
	r, err := http.Post("http://"+l.store.Address()+"/sequoiacove/rows-tx", "application/json", bytes.NewReader(body))
	if err != nil {
		return time.Time{}, err
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_ = r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return time.Time{}, fmt.Errorf("the store answered %d", r.StatusCode)
	}
	return time.Now(), nil
}

// route is a safe route of the host voice.example to the service records.
type route struct {
	prefix      string
	timeout     time.Duration
	objective   time.Duration
	maxAttempts int
}

// putConfig writes a configuration with the fields of the pages' example.
func (l *lab) putConfig(routes ...route) error {
	ms := func(d time.Duration) string { return fmt.Sprintf("%dms", d.Milliseconds()) }
	var paths []any
	for n, r := range routes {
		paths = append(paths, map[string]any{"name": fmt.Sprintf("r-%d", n+1), "prefix": r.prefix, "routeType": "safe", "timeout": ms(r.timeout), "targetLatency": ms(r.objective),
			"priority": 1, "service": "records", "maxAttempts": r.maxAttempts, "sessionAffinity": false, "allowedRegions": []string{}})
	}
	config, err := json.Marshal(map[string]any{"version": "r7", "baseVersion": "r5",
		"services":     []any{map[string]any{"name": "records", "healthPath": healthPath, "maxConnections": 390, "protocol": "h1", "tls": false, "coldStart": "3s", "coldPerS": 11.0}},
		"limits":       map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
		"virtualHosts": []any{map[string]any{"hostname": "voice.example", "paths": paths}}})
	if err != nil {
		return err
	}
	l.store.PutConfig(config)
	return nil
}
