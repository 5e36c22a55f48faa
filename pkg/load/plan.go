package load

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// Request classes. The class is the first path segment and identifies a route.
const (
	ClassRead  = "read"
	ClassWrite = "write"
	ClassLong  = "long"
)

// PlannedRequest is a request with its intended send time, as planned before the
// run starts.
type PlannedRequest struct {
	// SendOffset is the intended send time, relative to the start of the run.
	SendOffset time.Duration
	Serial     int
	Token      string
	Class      string
	// CallerIndex is the index of the simulated caller.
	CallerIndex int
	Idempotent  bool
	WorkMS      float64
}

// Path returns the path and query that the upstream receives.
func (p PlannedRequest) Path() string {
	return "/" + p.Class + "/" + p.Token + "?work_ms=" + strconv.FormatFloat(p.WorkMS, 'f', -1, 64)
}

// Method returns the HTTP method of the request.
func (p PlannedRequest) Method() string {
	if p.Idempotent {
		return "GET"
	}
	return "POST"
}

// TokenOf returns the token in a request path recorded by an upstream, or "" if
// there is none.
func TokenOf(path string) string {
	path, _, _ = strings.Cut(path, "?")
	parts := strings.Split(path, "/")
	if len(parts) != 3 {
		return ""
	}
	return parts[2]
}

// newPlan returns the requests of a run. Equal configurations give equal plans.
func newPlan(cfg Config) []PlannedRequest {
	random := rand.New(rand.NewPCG(cfg.Seed, 1))
	var plan []PlannedRequest
	at := time.Duration(0)
	for cfg.Rate > 0 {
		step := 1.0
		if !cfg.EvenSpacing {
			step = random.ExpFloat64()
		}
		at += time.Duration(step / cfg.Rate * float64(time.Second))
		if at >= cfg.Duration {
			break
		}
		plan = append(plan, newPlannedRequest(cfg, random, at, len(plan)))
	}
	return plan
}

func newPlannedRequest(cfg Config, random *rand.Rand, at time.Duration, serial int) PlannedRequest {
	planned := PlannedRequest{
		SendOffset: at, Serial: serial, Class: ClassRead, Idempotent: true, WorkMS: cfg.WorkMS,
		Token:       fmt.Sprintf("%s-%d-%06d", cfg.RunID, cfg.Seed, serial),
		CallerIndex: random.IntN(len(cfg.Regions)),
	}
	classDraw, longDraw := random.Float64(), random.Float64()
	if classDraw < cfg.NonIdempotentFraction {
		planned.Class, planned.Idempotent = ClassWrite, false
	} else if longDraw < cfg.LongFraction {
		planned.Class, planned.WorkMS = ClassLong, cfg.LongWorkMS
	}
	return planned
}
