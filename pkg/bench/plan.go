// Package bench measures admission policies against stand-in upstreams over
// loopback HTTP.
//
// Arrivals are open-loop and fixed by a seed: the plan of a run lists when each
// request is sent and how much work it is. Latency counts from the planned
// time. The same plan yields the latency of an ideal single queue by an exact
// calculation, and the bench reports percentiles as ratios to it, so that runs
// on machines of different speed can be compared.
package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/standin"
)

// Size describes a service's upstreams.
type Size struct {
	Name      string
	Domains   int
	Upstreams int
	Slots     int
}

// Sizes of the services in the design.
var (
	Large = Size{Name: "30x4", Domains: 6, Upstreams: 30, Slots: 4}
	Small = Size{Name: "12x3", Domains: 6, Upstreams: 12, Slots: 3}
)

func (s Size) totalSlots() int { return s.Upstreams * s.Slots }

func (s Size) domainSlots() int { return s.totalSlots() / s.Domains }

// Figures of the planned load.
const (
	// meanWork is large against the timer resolution of the stand-ins.
	meanWork = 20 * time.Millisecond
	// longFactor and longPart describe the long requests of the design.
	longFactor = 50
	longPart   = 0.01
	// idempotentPart is the part of requests that may be repeated and hedged.
	idempotentPart = 0.8
)

// load describes the arrivals of a run.
type load struct {
	// utilisation is the offered work as a part of all slots.
	utilisation float64
	// long adds requests that run longFactor times longer; their path tells
	// them apart when known is set.
	long  bool
	known bool
	// deadline of each request.
	deadline time.Duration
	// before scales the arrival rate until stepAt.
	stepAt time.Duration
	before float64
}

// planned is one request of a plan.
type planned struct {
	at         time.Duration
	work       time.Duration
	domain     int
	long       bool
	idempotent bool
	path       string
}

// plan draws the requests of a run.
func plan(size Size, l load, duration time.Duration, seed uint64) []planned {
	random := rand.New(rand.NewPCG(seed, 7))
	mean := float64(meanWork)
	if l.long {
		mean *= 1 - longPart + longPart*longFactor
	}
	rate := l.utilisation * float64(size.totalSlots()) / mean
	var requests []planned
	at := 0.0
	for n := 0; ; n++ {
		gap := random.ExpFloat64() / rate
		if time.Duration(at) < l.stepAt {
			gap /= l.before
		}
		at += gap
		if time.Duration(at) >= duration {
			return requests
		}
		requests = append(requests, draw(random, size, l, n, time.Duration(at)))
	}
}

func draw(random *rand.Rand, size Size, l load, n int, at time.Duration) planned {
	p := planned{at: at, domain: n % size.Domains, idempotent: random.Float64() < idempotentPart}
	p.work = standin.LogNormal(random, meanWork)
	p.long = random.Float64() < longPart && l.long
	route := "short"
	if p.long {
		p.work *= longFactor
		if l.known {
			route = "long"
		}
	}
	p.path = fmt.Sprintf("/%s?work_ms=%.3f", route, float64(p.work)/float64(time.Millisecond))
	return p
}
