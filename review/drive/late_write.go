package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// lateWrite restarts an endpoint under its id. The last heartbeat of the process before the
// restart gets no answer from the store, which performs it seconds later. Meanwhile the endpoint
// has reported that it leaves. The entry of the ended process must not make it ready again.
func lateWrite(d *deployment, trouble bool) (broken bool, err error) {
	d.zones = map[string]string{"north-a": "north"}
	if err := d.addMachines("north-a", "edge-north-a-1", "edge-north-a-2"); err != nil {
		return false, err
	}
	d.store.put("op", "config", []byte(smallConfig))
	var endpoints []*endpoint
	for _, id := range []string{"i-restarts", "i-stays-1", "i-stays-2"} {
		e, err := startEndpoint(d.store, d.rec, id, "shop", "north-a")
		if err != nil {
			return false, err
		}
		endpoints = append(endpoints, e)
	}
	var mu sync.Mutex
	var acknowledged time.Time
	var late []string
	for _, e := range endpoints {
		e.onRun = func(id string, at time.Time) {
			d.rec.printf("%s runs %s", e.id, id)
			mu.Lock()
			defer mu.Unlock()
			if e.id == "i-restarts" && !acknowledged.IsZero() && at.Sub(acknowledged) > drain {
				late = append(late, fmt.Sprintf("%s reached %s %d ms after its leaving was acknowledged", id, e.id, at.Sub(acknowledged).Milliseconds()))
			}
		}
	}
	for _, m := range d.machines {
		if err := d.start(m); err != nil {
			return false, err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := &load{d: d, host: "shop.example", paths: []string{"/look/", "/order/"}, methods: []string{http.MethodGet, http.MethodPut}}
	done := make(chan struct{})
	go func() { defer close(done); l.run(ctx, 60) }()
	time.Sleep(6 * time.Second)

	old := endpoints[0]
	old.mu.Lock()
	old.sequence++
	unanswered := old.entry()
	old.mu.Unlock()
	if trouble {
		d.rec.printf("%s (born %d) writes a heartbeat; the store does not answer: %s", old.id, old.born, unanswered)
	}
	fresh, err := old.restart()
	if err != nil {
		return false, err
	}
	d.rec.printf("%s has crashed and starts again under its id, born %d", fresh.id, fresh.born)
	time.Sleep(450 * time.Millisecond)
	mu.Lock()
	acknowledged = fresh.leave()
	mu.Unlock()
	d.rec.printf("the store has acknowledged that %s is draining", fresh.id)
	time.Sleep(drain + 700*time.Millisecond)
	if trouble {
		d.store.put("servers", old.id, unanswered)
		d.rec.printf("the store performs the unanswered write of the process born %d", old.born)
	}
	time.Sleep(3 * time.Second)
	fresh.exit()
	d.rec.printf("%s has left", fresh.id)
	time.Sleep(500 * time.Millisecond)
	cancel()
	<-done
	mu.Lock()
	defer mu.Unlock()
	for _, x := range late {
		d.rec.printf("DRAIN: %s", x)
	}
	d.rec.printf("%d requests sent, %d served, %d too late at the endpoint that leaves", l.sent.Load(), l.served.Load(), len(late))
	if l.served.Load() < l.sent.Load()/2 {
		return false, fmt.Errorf("only %d of %d requests were served", l.served.Load(), l.sent.Load())
	}
	return len(late) > 0, nil
}
