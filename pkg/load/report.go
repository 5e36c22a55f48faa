package load

import (
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sequoiacove/sequoiacove/pkg/result"
)

const (
	maxLatencyUS      = int64(10 * 60 * 1e6)
	significantDigits = 3
)

// Report holds the outcomes of a run.
type Report struct {
	Config  Config
	Elapsed time.Duration
	Records []Record
	// DroppedCount is the number of requests not sent because of MaxInFlight.
	DroppedCount int

	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

func newReport(cfg Config) *Report {
	return &Report{Config: cfg, histograms: make(map[string]*hdrhistogram.Histogram)}
}

func (r *Report) countDropped() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.DroppedCount++
}

func (r *Report) add(record Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Records = append(r.Records, record)
	group := record.Class
	if record.Outcome != result.Complete.String() {
		group = record.Outcome
	}
	h := r.histograms[group]
	if h == nil {
		h = hdrhistogram.New(1, maxLatencyUS, significantDigits)
		r.histograms[group] = h
	}
	_ = h.RecordValue(min(max(record.LatencyUS, 1), maxLatencyUS))
}

func (r *Report) finish(elapsed time.Duration) {
	r.Elapsed = elapsed
	sort.Slice(r.Records, func(i, j int) bool { return r.Records[i].Token < r.Records[j].Token })
}

// Quantiles holds the number of values, the quantiles and the maximum of a latency
// histogram. Latencies are in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// Summary holds the totals and latency quantiles of a report.
type Summary struct {
	Host         string         `json:"host"`
	Rate         float64        `json:"rate"`
	Seed         uint64         `json:"seed"`
	ElapsedMS    int64          `json:"elapsed_ms"`
	SentCount    int            `json:"sent"`
	DroppedCount int            `json:"dropped"`
	Outcomes     map[string]int `json:"outcomes"`
	Statuses     map[int]int    `json:"statuses"`
	Faults       map[string]int `json:"faults,omitempty"`
	Attempts     int            `json:"submitted"`
	RunID        string         `json:"run_id"`
	// Latency is keyed by class for complete responses and by outcome otherwise.
	Latency map[string]Quantiles `json:"latency"`
}

// Summary returns the totals and latency quantiles of the run.
func (r *Report) Summary() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Summary{
		Host: r.Config.Host, Rate: r.Config.Rate, Seed: r.Config.Seed, RunID: r.Config.RunID,
		ElapsedMS: r.Elapsed.Milliseconds(), SentCount: len(r.Records), DroppedCount: r.DroppedCount,
		Outcomes: make(map[string]int), Statuses: make(map[int]int), Faults: make(map[string]int),
		Latency: make(map[string]Quantiles),
	}
	for _, record := range r.Records {
		s.count(record)
	}
	for name, h := range r.histograms {
		s.Latency[name] = quantiles(h)
	}
	return s
}

func (s *Summary) count(record Record) {
	s.Outcomes[record.Outcome]++
	s.Statuses[record.Status]++
	s.Attempts += record.Attempts
	if record.Fault != "" {
		s.Faults[record.Fault]++
	}
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{
		Count: h.TotalCount(), P50: at(50), P90: at(90), P99: at(99), P999: at(99.9),
		Max: float64(h.Max()) / 1000,
	}
}
