package instance

import (
	"bytes"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sequoiacove/sequoiacove/pkg/event"
)

// histogramReservoirSize is the reservoir size of a histogram.
const histogramReservoirSize = 512

// instanceMetrics holds the counters and histograms of an instance. Times are
// in microseconds.
type instanceMetrics struct {
	registry       metrics.Registry
	changesFetched metrics.Counter
	retries        metrics.Counter
	// configBytes is the size of the encoded configuration in force.
	configBytes atomic.Int64

	mu sync.Mutex
	// series caches the labelled metrics, because building their names is costly.
	series map[seriesKey]any
}

// seriesKey identifies a metric by its name and label values.
type seriesKey struct {
	name   string
	values [3]string
}

func newMetrics() *instanceMetrics {
	r := metrics.NewRegistry()
	return &instanceMetrics{registry: r, series: make(map[seriesKey]any), changesFetched: metrics.NewRegisteredCounter("changes_fetched_from_peers", r),
		retries: metrics.NewRegisteredCounter("repeats", r)}
}

// outcomeNames maps the event that ends a request to the outcome that metrics and
// operators see.
var outcomeNames = map[event.ID]string{event.RequestAnswered: "answered", event.RequestRejected: "refused", event.RequestFailed: "failed", event.RequestCancelled: "abandoned"}

// recordRequest records the outcome and the latencies of a finished request.
func (m *instanceMetrics) recordRequest(c *dispatch, id event.ID, status int, reason string, took time.Duration) {
	kind := "not_idempotent"
	if c.route.Idempotent {
		kind = "idempotent"
	}
	m.count("requests", "outcome", outcomeNames[id], "status", strconv.Itoa(status), "reason", reason)
	m.observe("request_time_us", took, "service", c.service, "kind", kind)
	m.observe("request_wait_us", c.queueTime, "service", c.service, "kind", kind)
}

// count increments a counter. labels holds up to three alternating names and
// values.
func (m *instanceMetrics) count(name string, labels ...string) { m.add(name, 1, labels...) }

// add adds n to a counter. labels is as for count.
func (m *instanceMetrics) add(name string, n int64, labels ...string) {
	if c, ok := m.getOrRegister(name, labels, func() any { return metrics.NewCounter() }).(metrics.Counter); ok {
		c.Inc(n)
	}
}

// observe adds a duration to a histogram. labels is as for count.
func (m *instanceMetrics) observe(name string, d time.Duration, labels ...string) {
	h := m.getOrRegister(name, labels, func() any { return metrics.NewHistogram(metrics.NewUniformSample(histogramReservoirSize)) })
	if h, ok := h.(metrics.Histogram); ok {
		h.Update(d.Microseconds())
	}
}

// getOrRegister returns the metric of a series, registering it if needed.
func (m *instanceMetrics) getOrRegister(name string, labels []string, newMetric func() any) any {
	key := seriesKey{name: name}
	for n := range key.values {
		if 2*n+1 < len(labels) {
			key.values[n] = labels[2*n+1]
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	metric, ok := m.series[key]
	if !ok {
		metric = m.registry.GetOrRegister(labelledName(name, labels), newMetric())
		m.series[key] = metric
	}
	return metric
}

// labelledName renders a name with labels as in the text format of metrics, for
// example requests{outcome="answered"}.
func labelledName(name string, labels []string) string {
	var b strings.Builder
	b.WriteString(name)
	separator := byte('{')
	for i := 0; i+1 < len(labels); i += 2 {
		b.WriteByte(separator)
		separator = ','
		b.WriteString(labels[i])
		b.WriteByte('=')
		b.WriteString(strconv.Quote(labels[i+1]))
	}
	if len(labels) > 0 {
		b.WriteByte('}')
	}
	return b.String()
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// metricsText renders all metrics, one per line.
func (i *Instance) metricsText() []byte {
	var lines []string
	add := func(name string, value any) {
		lines = append(lines, fmt.Sprintf("sequoiacove_%s %v", sanitizedName(name), value))
	}
	i.metrics.registry.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			add(name, m.Count())
		case metrics.Histogram:
			s := m.Snapshot()
			for _, q := range []float64{0.5, 0.9, 0.99} {
				add(withSuffixAndLabel(name, "", fmt.Sprintf("quantile=%q", strconv.FormatFloat(q, 'g', -1, 64))), s.Percentile(q))
			}
			add(withSuffixAndLabel(name, "_count", ""), s.Count())
			add(withSuffixAndLabel(name, "_sum", ""), s.Sum())
		}
	})
	directives, upstreams := i.catalog.ProofAges()
	view := i.catalog.View()
	if view.Config != nil {
		add("configuration_version", int64(view.Config.Version))
		add("configuration_bytes", i.metrics.configBytes.Load())
		add("configuration_routes", view.Config.RouteCount())
	}
	add("configuration_age_ms", directives.Milliseconds())
	add("upstream_list_age_ms", upstreams.Milliseconds())
	add("upstreams", len(view.Upstreams))
	add("description_version", i.policy.Current().Number)
	for service, b := range i.balancer.RetryBudgets() {
		labels := []string{"service", service}
		add(labelledName("repeats_in_window", labels), b.Used)
		add(labelledName("repeats_allowed_in_window", labels), b.Limit)
		add(labelledName("repeats_denied", labels), b.Denied)
	}
	add("callers_turned_away", i.ingress.RejectedConnections())
	add("store_era", i.catalog.Era())
	add("store_answer_age_ms", i.catalog.StoreAnswerAge().Milliseconds())
	add("store_calls", i.catalog.StoreCallCount())
	add("store_down", btoi(i.catalog.StoreDown()))
	add("members", len(i.mesh.Live()))
	add("connections", i.ingress.Connections())
	add("requests_in_flight", i.ingress.InFlight())
	add("upstream_connections_opened", i.client.Dials())
	sent, received := i.mesh.DatagramCounts()
	add("datagrams_sent", sent)
	add("datagrams_received", received)
	sort.Strings(lines)
	return append(bytes.TrimSpace([]byte(strings.Join(lines, "\n"))), '\n')
}

// sanitizedName replaces dots, which collectors reject in metric names, with
// underscores.
func sanitizedName(name string) string {
	base, labels, labelled := strings.Cut(name, "{")
	base = strings.ReplaceAll(base, ".", "_")
	if !labelled {
		return base
	}
	return base + "{" + labels
}

// withSuffixAndLabel inserts suffix between the name and its labels and appends
// extra, a rendered label. Both may be empty.
func withSuffixAndLabel(name, suffix, extra string) string {
	base, labels, labelled := strings.Cut(name, "{")
	labels = strings.TrimSuffix(labels, "}")
	if extra != "" && labels != "" {
		labels += ","
	}
	labels += extra
	if !labelled && extra == "" {
		return base + suffix
	}
	return base + suffix + "{" + labels + "}"
}
