// Package bench measures the steering of instances against stand-in upstreams
// over loopback HTTP.
//
// Arrivals are open-loop and fixed by a seed: the plan of a run lists when each
// request is sent and how much work it is. Latency counts from the planned
// time. The same plan yields the latency of an ideal single queue by an exact
// calculation, and the bench reports percentiles as ratios to it, so that runs
// on machines of different speed can be compared.
package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/load"
)

// Size describes a service's upstreams.
type Size struct {
	Name      string
	Upstreams int
	Slots     int
}

// Sizes of the services in the design.
var (
	Large = Size{Name: "30x4", Upstreams: 30, Slots: 4}
	Small = Size{Name: "12x3", Upstreams: 12, Slots: 3}
)

func (s Size) totalSlots() int { return s.Upstreams * s.Slots }

// Figures of the planned load.
const (
	// meanWork is at the lower end of the users' requests.
	meanWork = 60 * time.Millisecond
	// workSigma is the spread of the log-normal work.
	workSigma = 0.6
	// longFactor and longPart describe the long requests of the design.
	longFactor   = 20
	longFraction = 0.01
	// idempotentFraction is the part of requests that may be repeated.
	idempotentFraction = 0.8
)

// workload describes the requests of a run.
type workload struct {
	// utilization is the offered work as a part of all slots.
	utilization float64
	// long adds requests that run longFactor times longer; they have a route of
	// their own when known is set.
	long      bool
	longRoute bool
	// deadline of each request.
	deadline time.Duration
}

// plannedRequest is one request of a plan.
type plannedRequest struct {
	load.PlannedRequest
	work time.Duration
	long bool
}

// newPlan draws the requests of a run.
func newPlan(size Size, a workload, duration time.Duration, seed uint64) []plannedRequest {
	random := rand.New(rand.NewPCG(seed, 7))
	mean := float64(meanWork)
	if a.long {
		mean *= 1 - longFraction + longFraction*longFactor
	}
	rate := a.utilization * float64(size.totalSlots()) / mean
	var requests []plannedRequest
	for at := random.ExpFloat64() / rate; time.Duration(at) < duration; at += random.ExpFloat64() / rate {
		requests = append(requests, drawRequest(random, a, len(requests), time.Duration(at)))
	}
	return requests
}

func drawRequest(random *rand.Rand, a workload, n int, at time.Duration) plannedRequest {
	p := plannedRequest{work: logNormal(random, meanWork), long: random.Float64() < longFraction && a.long}
	p.PlannedRequest = load.PlannedRequest{At: at, Serial: n, Token: fmt.Sprintf("b%d", n), Class: load.ClassWrite, Idempotent: random.Float64() < idempotentFraction}
	if p.Idempotent {
		p.Class = load.ClassRead
	}
	if p.long {
		p.work *= longFactor
		if a.longRoute {
			p.Class, p.Idempotent = load.ClassLong, true
		}
	}
	p.WorkMS = float64(p.work) / float64(time.Millisecond)
	return p
}

// logNormal draws a log-normal duration with a mean.
func logNormal(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * math.Exp(workSigma*random.NormFloat64()-workSigma*workSigma/2))
}
