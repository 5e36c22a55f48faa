package entry

import (
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// latencySamples is the size of the reservoir of the latency histogram.
const latencySamples = 1028

// counters are the counters of the request path.
type counters struct {
	registry  gometrics.Registry
	lookups   gometrics.Counter
	forwards  gometrics.Counter
	transfers gometrics.Counter
	limited   gometrics.Counter
	pauses    gometrics.Counter
	gone      gometrics.Counter
	latency   gometrics.Histogram
	// codes maps each result code to its counter.
	codes sync.Map
}

func newCounters(r gometrics.Registry) *counters {
	m := &counters{registry: r}
	m.lookups = gometrics.NewRegisteredCounter("entry.lookups", r)
	m.forwards = gometrics.NewRegisteredCounter("entry.forwards", r)
	m.transfers = gometrics.NewRegisteredCounter("entry.transfers", r)
	m.limited = gometrics.NewRegisteredCounter("entry.limited", r)
	m.pauses = gometrics.NewRegisteredCounter("entry.pauses", r)
	m.gone = gometrics.NewRegisteredCounter("entry.callers_gone", r)
	m.latency = gometrics.NewRegisteredHistogram("entry.latency_us", r, gometrics.NewUniformSample(latencySamples))
	return m
}

// record counts the end of a request.
func (m *counters) record(code result.Code, took time.Duration) {
	m.latency.Update(took.Microseconds())
	counter, ok := m.codes.Load(code)
	if !ok {
		name := "entry.result." + result.Lookup(code).Name
		counter, _ = m.codes.LoadOrStore(code, gometrics.GetOrRegisterCounter(name, m.registry))
	}
	counter.(gometrics.Counter).Inc(1)
}
