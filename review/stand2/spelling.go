//go:build review

package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// drainBound is the bound `drain` of the site.
	drainBound = 2500 * time.Millisecond
	// foreignAfter is the time from the leaving to the entry of another writer, and servesFor
	// that until the endpoint ends.
	foreignAfter = 3200 * time.Millisecond
	servesFor    = 10 * time.Second
)

// spelling lets another writer write an entry with other field names under the id of an endpoint
// that leaves.
func spelling(folder string, trouble bool) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l, err := start(ctx, folder, 4, 40*time.Millisecond, []string{zones[0].name, zones[1].name}, route{"/lookup/", lookupTimeout, 400 * time.Millisecond, 2})
	if l != nil {
		defer l.end()
	}
	if err != nil {
		return couldNotRun(err)
	}
	clientCtx, stopClients := context.WithCancel(ctx)
	defer stopClients()
	var clients sync.WaitGroup
	for n := range 16 {
		clients.Go(func() { l.lookups(clientCtx, fmt.Sprintf("lookup%d", n+1), zones[n%2].name) })
	}
	time.Sleep(8 * time.Second)
	leaving := l.endpoints[0]
	before := len(leaving.allRuns())
	acknowledged, err := leaving.write("draining")
	if err != nil {
		return couldNotRun(err)
	}
	l.say("the store acknowledged that %s is draining", leaving.id)
	time.Sleep(foreignAfter)
	foreignAt := time.Now()
	if trouble {
		entry := fmt.Sprintf(`{"Address":%q,"Born":%d,"Info":{"Service":%q,"Version":"v1","Zone":%q,"Slots":%d},"Status":{"State":"ready","Sequence":1,"ColdRemaining":"0ms"}}`,
			leaving.address, time.Now().UnixMilli(), leaving.service, leaving.zone, leaving.slots)
		if foreignAt, err = l.put(leaving.id, entry); err != nil {
			return couldNotRun(err)
		}
		l.say("another writer wrote under %s: %s", leaving.id, entry)
	}
	time.Sleep(servesFor - foreignAfter)
	ended := time.Now()
	l.say("%s ends", leaving.id)
	stopClients()
	clients.Wait()
	// The endpoint's first own entry after the foreign one says once more that it leaves.
	l.mu.Lock()
	repeated := time.Time{}
	for _, at := range l.reports[leaving] {
		if at.After(foreignAt) && repeated.IsZero() {
			repeated = at
		}
	}
	l.mu.Unlock()
	late, latest, afterRepeat := 0, time.Duration(0), 0
	for _, x := range leaving.allRuns() {
		if !strings.HasPrefix(x.id, "lookup") || !x.started.After(acknowledged.Add(drainBound)) || x.started.After(ended) {
			continue
		}
		late++
		latest = max(latest, x.started.Sub(acknowledged))
		if !repeated.IsZero() && x.started.After(repeated.Add(drainBound)) {
			afterRepeat++
		}
		l.say("DRAIN: %s reached %s %d ms after the acknowledgement", x.id, leaving.id, x.started.Sub(acknowledged).Milliseconds())
	}
	if before == 0 {
		return couldNotRun(fmt.Errorf("the endpoint got no request before it left"))
	}
	if late > 0 {
		fmt.Printf("DRAIN broken: %d requests, the last %d ms after the acknowledgement; %d of them later than drain after the endpoint's next own entry\n", late, latest.Milliseconds(), afterRepeat)
		return broken
	}
	fmt.Println("DRAIN held")
	return held
}
