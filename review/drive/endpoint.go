package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// endpoint is a stand-in for an endpoint of a service. It registers itself in the store and
// writes its entry each heartbeat.
type endpoint struct {
	id, service, zone string
	slots             int
	work              time.Duration
	address           string
	born              int64
	store             *store
	rec               *recorder

	// cold is how long the endpoint is cold after its start.
	cold time.Duration

	mu       sync.Mutex
	state    string
	sequence int
	server   *http.Server
	slotsCh  chan struct{}
	gone     chan struct{}
	left     chan struct{}
	// onRun is called when the endpoint begins to work on a request, with the time at which the
	// request arrived.
	onRun func(id string, at time.Time)
}

func startEndpoint(s *store, rec *recorder, id, service, zone string) (*endpoint, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{id: id, service: service, zone: zone, slots: 4, work: 20 * time.Millisecond, address: l.Addr().String(), born: time.Now().UnixMilli(),
		store: s, rec: rec, state: "ready", slotsCh: make(chan struct{}, 4), gone: make(chan struct{}), left: make(chan struct{}, 1), onRun: func(string, time.Time) {}}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go func() { _ = e.server.Serve(l) }()
	e.beat()
	go e.beats()
	return e, nil
}

// entry returns the endpoint's entry in the store.
func (e *endpoint) entry() []byte {
	remaining := max(0, e.cold-time.Duration(time.Now().UnixMilli()-e.born)*time.Millisecond).Milliseconds()
	b, _ := json.Marshal(map[string]any{"address": e.address, "born": e.born,
		"info":   map[string]any{"service": e.service, "version": "v1", "zone": e.zone, "slots": e.slots},
		"status": map[string]any{"state": e.state, "sequence": e.sequence, "coldRemaining": fmt.Sprintf("%dms", remaining)}})
	return b
}

// beat writes the entry and returns the time of the acknowledgement.
func (e *endpoint) beat() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	if e.store.heartbeat(e.id, e.entry()) {
		e.rec.printf("store acknowledges the entry of %s by itself: %s", e.id, e.entry())
	}
	return time.Now()
}

func (e *endpoint) beats() {
	t := time.NewTicker(1500 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			e.beat()
		case <-e.left:
			t.Reset(1500 * time.Millisecond)
		case <-e.gone:
			return
		}
	}
}

// leave reports `draining` and returns the time of the acknowledgement.
func (e *endpoint) leave() time.Time {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	e.left <- struct{}{}
	return e.beat()
}

// restart ends the process as a crash does, which says nothing, and starts another one under the
// same id and at the same address.
func (e *endpoint) restart() (*endpoint, error) {
	close(e.gone)
	_ = e.server.Close()
	l, err := net.Listen("tcp4", e.address)
	if err != nil {
		return nil, err
	}
	n := &endpoint{id: e.id, service: e.service, zone: e.zone, slots: e.slots, work: e.work, address: e.address, born: time.Now().UnixMilli(),
		store: e.store, rec: e.rec, state: "ready", cold: 3 * time.Second, slotsCh: make(chan struct{}, e.slots), gone: make(chan struct{}), left: make(chan struct{}, 1), onRun: e.onRun}
	n.server = &http.Server{Handler: http.HandlerFunc(n.serve)}
	go func() { _ = n.server.Serve(l) }()
	n.beat()
	go n.beats()
	return n, nil
}

// exit ends the endpoint and removes its entry.
func (e *endpoint) exit() {
	close(e.gone)
	e.store.remove("servers", e.id)
	_ = e.server.Close()
}

// healthPath is the health path of the service in smallConfig.
const healthPath = "/health"

// health answers 200 while the endpoint isn't leaving.
func (e *endpoint) health(w http.ResponseWriter) {
	w.Header().Set("Sequoiacove-Instance-Id", e.id)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state != "ready" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get("Sequoiacove-Attempt-Id")
	w.Header().Set("Sequoiacove-Attempt-Id", id)
	if r.URL.Path == healthPath {
		e.health(w)
		return
	}
	if target := r.Header.Get("Sequoiacove-Target-Instance"); target != "" && target != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("Sequoiacove-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case e.slotsCh <- struct{}{}:
	case <-time.After(100 * time.Millisecond):
		w.Header().Set("Sequoiacove-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-e.slotsCh }()
	e.onRun(id, arrived)
	time.Sleep(e.work)
	w.Header().Set("Sequoiacove-Response-Signature", id+"."+e.id)
	e.mu.Lock()
	if e.state != "ready" {
		w.Header().Set("Connection", "close")
	}
	e.mu.Unlock()
	_, _ = fmt.Fprintf(w, "%s|%s|%s", id, r.URL.RequestURI(), body)
}
