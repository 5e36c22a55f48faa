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
	high   time.Duration
	hedge  time.Duration
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
	if route.pending < refreshEvery && route.figures.known {
		return
	}
	route.pending = 0
	c := &route.costs
	route.figures = estimate{
		known:  c.known(),
		median: c.quantile(0.5),
		mean:   c.mean(),
		high:   c.quantile(highQuantile),
		hedge:  c.quantile(r.hedgeQuantile),
	}
	route.figures.long = route != &r.all && float64(route.figures.median) > longFactor*float64(r.all.figures.median)
}

// highQuantile is the cost that a request must have time for when the pool is
// saturated; a lower one wastes slots on answers that come too late.
const highQuantile = 0.95

// estimate returns the figures of a route, or the pool's when the route has too
// few samples.
func (r *routes) estimate(key string) estimate {
	if found := r.byKey[key]; found != nil && found.figures.known {
		return found.figures
	}
	return r.all.figures
}
