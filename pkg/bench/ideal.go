package bench

import (
	"container/heap"
	"time"
)

// ideal returns the latency of each request in an ideal single FIFO queue: every
// slot takes the next request as soon as it is idle, and there is no overhead.
func ideal(requests []benchRequest, slots int) []time.Duration {
	free := make(durations, slots)
	latencies := make([]time.Duration, len(requests))
	for i, r := range requests {
		start := max(r.At, free[0])
		free[0] = start + r.work
		heap.Fix(&free, 0)
		latencies[i] = start + r.work - r.At
	}
	return latencies
}

// durations is a min-heap of the times at which slots become idle.
type durations []time.Duration

// Len implements heap.Interface.
func (d durations) Len() int { return len(d) }

// Less implements heap.Interface.
func (d durations) Less(i, j int) bool { return d[i] < d[j] }

// Swap implements heap.Interface.
func (d durations) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *durations) Push(x any) { *d = append(*d, x.(time.Duration)) }

// Pop implements heap.Interface.
func (d *durations) Pop() any {
	last := len(*d) - 1
	v := (*d)[last]
	*d = (*d)[:last]
	return v
}
