package bench

import (
	"container/heap"
	"time"
)

// idealQueueLatencies returns the latency of each request in an ideal single FIFO
// queue: every slot takes the next request as soon as it is idle, and nothing but
// the work takes time.
func idealQueueLatencies(requests []benchRequest, slots int) []time.Duration {
	idleAt := make(idleTimes, slots)
	latencies := make([]time.Duration, len(requests))
	for i, r := range requests {
		start := max(r.SendOffset, idleAt[0])
		idleAt[0] = start + r.work
		heap.Fix(&idleAt, 0)
		latencies[i] = start + r.work - r.SendOffset
	}
	return latencies
}

// idleTimes is a min-heap of the times at which slots become idle.
type idleTimes []time.Duration

// Len implements heap.Interface.
func (d idleTimes) Len() int { return len(d) }

// Less implements heap.Interface.
func (d idleTimes) Less(i, j int) bool { return d[i] < d[j] }

// Swap implements heap.Interface.
func (d idleTimes) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *idleTimes) Push(x any) { *d = append(*d, x.(time.Duration)) }

// Pop implements heap.Interface.
func (d *idleTimes) Pop() any {
	last := len(*d) - 1
	v := (*d)[last]
	*d = (*d)[:last]
	return v
}
