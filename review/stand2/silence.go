//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// Work within the largest of presence-lookup at the site, and its timeout and deadline.
	reportWork     = 1300 * time.Millisecond
	reportTimeout  = 1500 * time.Millisecond
	reportDeadline = 2 * time.Second
	lookupTimeout  = 1200 * time.Millisecond
	// Requests in flight and maxAttempts of their route.
	defaultReports  = 6
	defaultAttempts = 1
	endpointCount   = 12
	lookupClients   = 24
)

// number returns the whole number in an environment variable, or the default.
func number(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

// start makes a lab with endpoints and machines that are ready, and in touch.
func start(ctx context.Context, folder string, endpoints int, work time.Duration, machines []string, routes ...route) (*lab, error) {
	l, err := newLab(folder)
	if err != nil {
		return nil, err
	}
	if err = l.putConfig(routes...); err != nil {
		return l, err
	}
	for n := range endpoints {
		if _, err = l.addEndpoint(ctx, fmt.Sprintf("i-%d", n+1), "records", zones[n%2].name, 4, work); err != nil {
			return l, err
		}
	}
	for _, zone := range machines {
		if _, err = l.addMachine(zone); err != nil {
			return l, err
		}
	}
	if err = l.waitReady(15 * time.Second); err == nil {
		time.Sleep(6 * time.Second)
	}
	return l, err
}

// sentReport is a report with its answer.
type sentReport struct {
	answer
	path string
}

// silence stops one of three instances while it answers long requests of a safe route.
func silence(folder string, trouble bool) int {
	reports, attempts := number("REPORTS", defaultReports), number("ATTEMPTS", defaultAttempts)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l, err := start(ctx, folder, endpointCount, 120*time.Millisecond, []string{zones[0].name, zones[1].name, zones[1].name},
		route{"/lookup/", lookupTimeout, 400 * time.Millisecond, 2}, route{"/report/", reportTimeout, 400 * time.Millisecond, attempts})
	if l != nil {
		defer l.end()
	}
	if err != nil {
		return couldNotRun(err)
	}
	var clients sync.WaitGroup
	for n := range lookupClients {
		clients.Go(func() { l.lookups(ctx, fmt.Sprintf("lookup%d", n+1), zones[n%2].name) })
	}
	stopped := l.machines[0]
	first := fmt.Sprintf("%s:%d", stopped.ip, callerPort)
	answers := make(chan sentReport, reports)
	begin := make(chan struct{})
	for n := range reports {
		go func() { l.report(ctx, fmt.Sprintf("report%d", n+1), first, begin, answers) }()
	}
	time.Sleep(8 * time.Second)
	close(begin)
	time.Sleep(200 * time.Millisecond)
	stoppedAt := time.Now()
	if trouble {
		l.send(stopped, syscall.SIGTERM)
	}
	var all []sentReport
	for range reports {
		all = append(all, <-answers)
	}
	// The endpoints notice a moment after the caller that a connection has been closed.
	time.Sleep(time.Second)
	whole, lost := 0, 0
	for _, r := range all {
		switch {
		case r.whole(r.path):
			whole++
		case trouble && l.brokenOff(r, stoppedAt):
			lost++
			l.say("LOST: %s was read before the SIGTERM and passed on; its endpoint was at work when it was broken off", r.id)
		default:
			l.say("not counted: %v", r.answer)
		}
	}
	cancel()
	clients.Wait()
	switch {
	case lost > 0:
		fmt.Printf("LOST broken: %d of %d reports\n", lost, reports)
		return broken
	case !trouble && whole < reports:
		return couldNotRun(fmt.Errorf("only %d of %d reports were answered whole without the SIGTERM", whole, reports))
	}
	fmt.Printf("LOST held: %d of %d reports answered whole\n", whole, reports)
	return held
}

// brokenOff reports whether a report that was sent before the SIGTERM has an answer of the system,
// or none, in place of that of an endpoint which was at work on it until the system closed the
// connection; before the client's deadline, the route's timeout and the last sixth of grace.
func (l *lab) brokenOff(r sentReport, stoppedAt time.Time) bool {
	const lastSixth = 5 * time.Second
	if !r.sent.Before(stoppedAt) || r.done.Sub(r.sent) >= reportTimeout || r.done.Sub(stoppedAt) >= lastSixth {
		return false
	}
	dropped, finished := false, false
	for _, e := range l.endpoints {
		for _, x := range e.allRuns() {
			if x.id == r.id {
				dropped = dropped || x.end == "dropped" && x.started.Before(stoppedAt)
				finished = finished || x.end == "done"
			}
		}
	}
	return dropped && !finished
}

// lookups sends a short request twice a second or more.
func (l *lab) lookups(ctx context.Context, name, zone string) {
	c := l.client(name, zone)
	defer c.drop()
	for ctx.Err() == nil {
		if err := c.connect(ctx, ""); err == nil {
			c.send(http.MethodGet, "/lookup/", 2*time.Second)
		}
		time.Sleep(time.Duration(50+rand.IntN(400)) * time.Millisecond)
	}
}

// report sends short requests to a machine until begin, and then a long one.
func (l *lab) report(ctx context.Context, name, address string, begin <-chan struct{}, answers chan<- sentReport) {
	c := l.client(name, zones[0].name)
	defer c.drop()
	for {
		select {
		case <-begin:
			path := fmt.Sprintf("/report/?work_ms=%d", reportWork.Milliseconds())
			if err := c.connect(ctx, address); err != nil {
				answers <- sentReport{answer{id: name, sent: time.Now(), done: time.Now(), err: err}, path}
				return
			}
			answers <- sentReport{c.send(http.MethodGet, path, reportDeadline), path}
			return
		case <-time.After(time.Duration(200+rand.IntN(400)) * time.Millisecond):
			if c.connect(ctx, address) == nil {
				c.send(http.MethodGet, "/lookup/", 2*time.Second)
			}
		}
	}
}
