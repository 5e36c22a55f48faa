package admission

import "time"

// maxRoutes bounds the learned routes of a pool; further ones share an entry,
// because callers choose the paths.
const maxRoutes = 256

// Figures for routes that are known to be long.
const (
	// longFactor is how far the median of a route must be above the pool's for
	// the route to count as long.
	longFactor = 4.0
	// refreshEvery is the number of samples between two calculations of the
	// figures that decisions use.
	refreshEvery = 32
)

// estimate holds the figures of a route that decisions use.
type estimate struct {
	known  bool
	long   bool
	median time.Duration
	mean   time.Duration
	// high is what nearly all executions stay below; overdue ones exceed it.
	high time.Duration
	// full is what an execution needs to have time for in a saturated pool.
	full  time.Duration
	hedge time.Duration
}

// route is what a pool learned about one route.
type route struct {
	costs   costs
	figures estimate
	pending int
}

// routes holds the learned costs of a pool.
type routes struct {
	byKey         map[string]*route
	all           route
	hedgeQuantile float64
}

func newRoutes(hedgeQuantile float64) *routes {
	return &routes{byKey: make(map[string]*route), hedgeQuantile: hedgeQuantile}
}

const otherRoutes = "*"

func (r *routes) get(key string) *route {
	if found := r.byKey[key]; found != nil {
		return found
	}
	if len(r.byKey) >= maxRoutes {
		key = otherRoutes
		if found := r.byKey[key]; found != nil {
			return found
		}
	}
	created := &route{}
	r.byKey[key] = created
	return created
}

func (r *routes) add(key string, d time.Duration) {
	r.addTo(&r.all, d)
	r.addTo(r.get(key), d)
}

func (r *routes) addTo(route *route, d time.Duration) {
	route.costs.add(d)
	route.pending++
	if route.pending < refreshEvery && route.costs.total > enoughSamples {
		return
	}
	route.pending = 0
	c := &route.costs
	route.figures = estimate{
		known:  c.known(),
		median: c.quantile(0.5),
		mean:   c.mean(),
		high:   c.high(highQuantile),
		full:   c.high(fullQuantile),
		hedge:  c.high(r.hedgeQuantile),
	}
	route.figures.long = route != &r.all && float64(route.figures.median) > longFactor*float64(r.all.figures.median)
}

// Quantiles of the figures of a route.
const (
	highQuantile = 0.95
	// fullQuantile is high because executions that miss their deadline are the
	// longest ones: at 0.95 they took 13% of the capacity of an overloaded pool.
	fullQuantile = 0.999
)

// estimate returns the figures of a route, or the pool's when the route has too
// few samples.
func (r *routes) estimate(key string) estimate {
	if found := r.byKey[key]; found != nil && found.figures.known {
		return found.figures
	}
	return r.all.figures
}
