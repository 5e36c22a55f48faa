// Package bench measures how instances distribute requests over stand-in
// upstreams, using loopback HTTP. A scenario sends the same requests with several
// variants of choosing the upstream: through several instances, and with baselines
// (through a single instance, or directly by a policy of the callers). It collects
// the measurements of all variants in a Report.
//
// Arrivals are open-loop and determined by a seed: the plan of a run lists the
// send time and the amount of work of each request. Latency is measured from the
// planned send time. The latencies in an ideal single queue are calculated exactly
// from the same plan. Percentiles are reported as ratios to the ideal percentiles, so
// that results from hosts of different speed can be compared.
package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/load"
)

// Size is the number of upstreams of a service and of slots per upstream.
type Size struct {
	Name      string
	Upstreams int
	Slots     int
}

// Sizes of the services specified in the design.
var (
	Large = Size{Name: "30x4", Upstreams: 30, Slots: 4}
	Small = Size{Name: "12x3", Upstreams: 12, Slots: 3}
)

func (s Size) totalSlots() int { return s.Upstreams * s.Slots }

// Parameters of the planned load.
const (
	// meanWork is at the lower end of the execution times of the users' requests.
	meanWork = 60 * time.Millisecond
	// workSigma is the sigma of the log-normal distribution of the work.
	workSigma = 0.6
	// longFactor is the factor by which the work of a long request is multiplied, and
	// longFraction the fraction of long requests, both as specified in the design.
	longFactor   = 20
	longFraction = 0.01
	// idempotentFraction is the fraction of requests that may be retried.
	idempotentFraction = 0.8
)

// workload describes the requests of a run.
type workload struct {
	// utilization is the offered work as a fraction of the capacity of all slots.
	utilization float64
	// includeLong makes longFraction of the requests long, with longFactor times the
	// work. They have a separate route if separateLongRoute is set.
	includeLong       bool
	separateLongRoute bool
	// timeout is how long a caller waits for the response to a request.
	timeout time.Duration
}

// benchRequest is a request of a plan with its amount of work.
type benchRequest struct {
	load.PlannedRequest
	work time.Duration
	long bool
}

// newPlan returns the requests of a run. Equal arguments give equal plans.
func newPlan(size Size, w workload, duration time.Duration, seed uint64) []benchRequest {
	random := rand.New(rand.NewPCG(seed, 7))
	mean := float64(meanWork)
	if w.includeLong {
		mean *= 1 - longFraction + longFraction*longFactor
	}
	rate := w.utilization * float64(size.totalSlots()) / mean
	var requests []benchRequest
	for at := random.ExpFloat64() / rate; time.Duration(at) < duration; at += random.ExpFloat64() / rate {
		requests = append(requests, drawRequest(random, w, len(requests), time.Duration(at)))
	}
	return requests
}

func drawRequest(random *rand.Rand, w workload, n int, at time.Duration) benchRequest {
	request := benchRequest{work: logNormal(random, meanWork), long: random.Float64() < longFraction && w.includeLong}
	request.PlannedRequest = load.PlannedRequest{SendOffset: at, Serial: n, Token: fmt.Sprintf("b%d", n), Class: load.ClassWrite, Idempotent: random.Float64() < idempotentFraction}
	if request.Idempotent {
		request.Class = load.ClassRead
	}
	if request.long {
		request.work *= longFactor
		if w.separateLongRoute {
			request.Class, request.Idempotent = load.ClassLong, true
		}
	}
	request.WorkMS = float64(request.work) / float64(time.Millisecond)
	return request
}

// logNormal returns a log-normally distributed duration with the given mean.
func logNormal(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * math.Exp(workSigma*random.NormFloat64()-workSigma*workSigma/2))
}
