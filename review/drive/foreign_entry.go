package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const drain = 2500 * time.Millisecond

const smallConfig = `{"version":"r1","services":[{"name":"shop","healthPath":"/health","maxConnections":390,"coldStart":"3s","coldPerS":11.0}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeout":"3s","idleTimeout":"15s"},
"virtualHosts":[{"hostname":"shop.example","paths":[
{"name":"look","prefix":"/look/","routeType":"safe","timeout":"1500ms","targetLatency":"400ms","priority":1,"service":"shop","maxAttempts":2},
{"name":"order","prefix":"/order/","routeType":"unsafe","timeout":"1500ms","targetLatency":"400ms","priority":0,"service":"shop","maxAttempts":2}]}]}`

// foreignEntry lets an endpoint leave. While it still serves, another writer writes an entry
// under its id in which fields are missing. Such an entry names no endpoint to use, so that no
// request may reach the endpoint later than drain after its leaving was acknowledged.
func foreignEntry(d *deployment, trouble bool) (broken bool, err error) {
	d.zones = map[string]string{"north-a": "north"}
	if err := d.addMachines("north-a", "edge-north-a-1", "edge-north-a-2"); err != nil {
		return false, err
	}
	d.store.put("op", "config", []byte(smallConfig))
	var endpoints []*endpoint
	for _, id := range []string{"i-leaving", "i-stays-1", "i-stays-2"} {
		e, err := startEndpoint(d.store, d.rec, id, "shop", "north-a")
		if err != nil {
			return false, err
		}
		endpoints = append(endpoints, e)
	}
	leaving := endpoints[0]
	var mu sync.Mutex
	var acknowledged time.Time
	var late []string
	for _, e := range endpoints {
		e.onRun = func(id string, at time.Time) {
			d.rec.printf("%s runs %s", e.id, id)
			mu.Lock()
			defer mu.Unlock()
			if e == leaving && !acknowledged.IsZero() && at.Sub(acknowledged) > drain {
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
	mu.Lock()
	acknowledged = leaving.leave()
	mu.Unlock()
	d.rec.printf("the store has acknowledged that %s is draining", leaving.id)
	time.Sleep(drain + 700*time.Millisecond)
	if trouble {
		entry, _ := json.Marshal(map[string]any{"address": leaving.address,
			"info":   map[string]any{"service": "shop", "zone": "north-a", "slots": 4},
			"status": map[string]any{"state": "ready"}})
		d.store.put("servers", leaving.id, entry)
		d.rec.printf("another writer writes servers/%s with fields missing: %s", leaving.id, entry)
	}
	time.Sleep(3 * time.Second)
	leaving.exit()
	d.rec.printf("%s has left", leaving.id)
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
