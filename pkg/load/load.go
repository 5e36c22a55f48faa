// Package load is an open-loop load generator that simulates callers of the
// system.
//
// The intended send time and the class of every request are planned from the
// seed before the first request is sent, and sending does not wait for responses.
// A slow response therefore never delays later requests. Latency is measured from
// the intended send time. Each request carries a token in its path. Auditor uses
// the token to match the outcome that the caller saw with the executions that the
// upstreams recorded. CountRequestsByWindow determines the shares of regions or
// domains over time, and CheckCap and CheckGrowth check how fast the shares change.
//
// The simulated callers behave like callers of the platform: they cache lookup
// responses for their TTL, try another instance after a "not run" refusal, retry
// idempotent requests after any failure, and give each attempt its own request
// ID.
package load

import (
	"context"
	"sync"
	"time"
)

// Config describes one load run.
type Config struct {
	// LookupAddresses are the addresses of instances that answer lookups.
	LookupAddresses []string
	// Host is the host name of the routes that the requests use.
	Host string
	// Regions lists the region of each simulated caller; each caller has its own
	// lookup cache. Empty means one caller without a region.
	Regions []string
	// DirectAddresses lists instance addresses to use without lookups, with one
	// simulated caller for each. If set, LookupAddresses and Regions are ignored.
	DirectAddresses []string
	// SingleAttempt disables retries, both at the same and at other instances. An
	// attempt that failed because no connection could be opened is still retried.
	SingleAttempt bool
	// Rate is the number of requests per second.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	// EvenSpacing sends at constant intervals instead of as a Poisson process.
	EvenSpacing bool
	// NonIdempotentFraction is the fraction of non-idempotent requests, 0 to 1.
	NonIdempotentFraction float64
	// WorkMS is the execution time requested from the upstream.
	WorkMS float64
	// LongFraction is the fraction of idempotent requests that ask for
	// LongWorkMS instead.
	LongFraction float64
	LongWorkMS   float64
	// Timeout is how long the caller waits for a response, from the intended send time.
	Timeout time.Duration
	// AttemptTimeout limits one attempt of an idempotent request; the caller then
	// tries the next instance. 0 means no limit other than Timeout.
	AttemptTimeout time.Duration
	// MaxInFlight limits the requests in flight. Excess requests are not sent and
	// count as dropped.
	MaxInFlight int
	// BodyBytes is the approximate body size of non-idempotent requests.
	BodyBytes int
	// RunID is a prefix of the tokens of this run. Runs against the same upstreams need
	// different RunIDs so that their tokens differ.
	RunID string
}

// Defaults for zero fields of Config.
const (
	DefaultTimeout     = 10 * time.Second
	DefaultMaxInFlight = 4096
)

func (c Config) withDefaults() Config {
	if c.Timeout == 0 {
		c.Timeout = DefaultTimeout
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

// Record is the outcome of one request as seen by the caller.
type Record struct {
	Token string `json:"token"`
	// Class is the request class: ClassRead, ClassWrite or ClassLong.
	Class      string `json:"class"`
	Idempotent bool   `json:"idempotent"`
	// IntendedUnixUS is the planned send time, from which latency is measured.
	IntendedUnixUS int64  `json:"intended_unix_us"`
	LatencyUS      int64  `json:"latency_us"`
	Outcome        string `json:"outcome"`
	// Status is the status of the last response, or 0 if there was none.
	Status int `json:"status"`
	// InstanceAddress is the address of the last instance tried. Upstream is the ID of
	// the upstream that signed the last response, or empty.
	InstanceAddress string `json:"instance,omitempty"`
	Upstream        string `json:"upstream,omitempty"`
	// Attempts counts all attempts, including retries and failed connections.
	Attempts int `json:"sends"`
	// Fault describes an invalid response, as one of the Fault constants.
	Fault string `json:"fault,omitempty"`
	// Detail explains the last refusal or failure.
	Detail string `json:"detail,omitempty"`
}

// Run sends the planned requests of cfg and returns their outcomes in planned
// order. Cancelling ctx stops sending; requests in flight still finish.
func Run(ctx context.Context, cfg Config) *Report {
	cfg = cfg.withDefaults()
	plan := newPlan(cfg)
	callers := newCallers(cfg)
	defer callers.close()
	report := newReport(cfg)
	inFlight := make(chan struct{}, cfg.MaxInFlight)
	var waitGroup sync.WaitGroup
	start := time.Now()
	for _, planned := range plan {
		intended := start.Add(planned.SendOffset)
		if !sleepUntil(ctx, intended) {
			break
		}
		select {
		case inFlight <- struct{}{}:
		default:
			report.countDropped()
			continue
		}
		waitGroup.Add(1)
		go func() {
			defer waitGroup.Done()
			report.add(callers.callerFor(planned).send(planned, intended))
			<-inFlight
		}()
	}
	waitGroup.Wait()
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
