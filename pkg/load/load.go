// Package load is an open-loop caller of the system.
//
// A plan, fixed by its seed, holds the intended send time and the kind of every
// request before the first one is sent. A late answer therefore never delays
// the requests behind it, and latency counts from the intended send time. Each
// request carries a token in its path. The token ties the outcome that the
// caller saw to the executions that the upstreams recorded, which Audit
// compares.
//
// The caller behaves as callers of the platform do: it caches look-up answers
// for their lifetime, goes to another instance after a refusal as "not run",
// repeats idempotent requests after any failure, and gives each submission an
// identifier of its own.
package load

import (
	"context"
	"sync"
	"time"
)

// Config describes one run.
type Config struct {
	// LookupAddresses are the look-up addresses of instances.
	LookupAddresses []string
	// Host is the name under which the routes of the requests are listed.
	Host string
	// Regions are those of the simulated callers; each has its own cached
	// look-up answer. Empty means one caller of no region.
	Regions []string
	// DirectAddresses lists caller addresses that are used without look-ups, one caller
	// for each; Directories and Regions are then not used.
	DirectAddresses []string
	// SingleAttempt sends each request once, without other instances or repeats.
	SingleAttempt bool
	// Rate is the number of requests per second.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	// EvenSpacing spaces the requests evenly; otherwise arrivals are a Poisson process.
	EvenSpacing bool
	// NonIdempotentFraction is the part of the requests that are not idempotent, 0 to 1.
	NonIdempotentFraction float64
	// WorkMS is the execution time that a request asks the upstream for.
	WorkMS float64
	// LongFraction is the part of the requests that ask for LongWorkMS instead.
	LongFraction float64
	LongWorkMS   float64
	// Deadline is the time the caller waits for an answer.
	Deadline time.Duration
	// AttemptTimeout bounds one submission of an idempotent request; the caller
	// then tries the next instance. 0 waits until the deadline.
	AttemptTimeout time.Duration
	// MaxInFlight bounds open requests; a request beyond it is counted as dropped.
	MaxInFlight int
	// BodyBytes is the size of the body of requests that are not idempotent.
	BodyBytes int
	// RunID distinguishes the tokens of runs against the same upstreams.
	RunID string
}

// Defaults for fields of Config that are left at 0.
const (
	DefaultDeadline    = 10 * time.Second
	DefaultMaxInFlight = 4096
)

func (c Config) withDefaults() Config {
	if c.Deadline == 0 {
		c.Deadline = DefaultDeadline
	}
	if c.MaxInFlight == 0 {
		c.MaxInFlight = DefaultMaxInFlight
	}
	if len(c.DirectAddresses) > 0 {
		c.Regions = make([]string, len(c.DirectAddresses))
	}
	if len(c.Regions) == 0 {
		c.Regions = []string{""}
	}
	if c.RunID == "" {
		c.RunID = "run"
	}
	return c
}

// Record is the outcome of one request as its caller saw it.
type Record struct {
	Token      string `json:"token"`
	Class      string `json:"class"`
	Idempotent bool   `json:"idempotent"`
	// IntendedUnixUS is the planned send time; latency counts from it.
	IntendedUnixUS int64  `json:"intended_unix_us"`
	LatencyUS      int64  `json:"latency_us"`
	Outcome        string `json:"outcome"`
	// Status is that of the last answer, or 0 if there was none.
	Status int `json:"status"`
	// Instance is the caller address that was used last; Upstream answered.
	Instance string `json:"instance,omitempty"`
	Upstream string `json:"upstream,omitempty"`
	// Attempts counts the submissions, including repeats.
	Attempts int `json:"sends"`
	// Fault names a broken answer: one of another request or an incomplete one.
	Fault string `json:"fault,omitempty"`
	// Detail explains the last refusal or failure.
	Detail string `json:"detail,omitempty"`
}

// Run carries out the plan of cfg and returns its outcomes in planned order.
// Cancelling ctx stops sending; requests in flight still finish.
func Run(ctx context.Context, cfg Config) *Report {
	cfg = cfg.withDefaults()
	plan := newPlan(cfg)
	callers := newCallers(cfg)
	defer callers.close()
	report := newReport(cfg)
	slots := make(chan struct{}, cfg.MaxInFlight)
	var running sync.WaitGroup
	start := time.Now()
	for _, item := range plan {
		intended := start.Add(item.At)
		if !sleepUntil(ctx, intended) {
			break
		}
		select {
		case slots <- struct{}{}:
		default:
			report.drop()
			continue
		}
		running.Add(1)
		go func() {
			defer running.Done()
			report.add(callers.callerFor(item).send(item, intended))
			<-slots
		}()
	}
	running.Wait()
	report.finish(time.Since(start))
	return report
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
