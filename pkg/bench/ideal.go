package bench

import (
	"container/heap"
	"time"
)

// ideal returns the latency of each request in a single queue in order of
// arrival per domain, where every slot takes the next request as soon as it is
// idle and nothing costs time but the work. slots gives the slots of a domain
// at a time, which may only grow.
func ideal(requests []planned, domains int, slots func(at time.Duration) int) []time.Duration {
	free := make([]durations, domains)
	latencies := make([]time.Duration, len(requests))
	for i, r := range requests {
		slotsFree := &free[r.domain]
		for slotsFree.Len() < slots(r.at) {
			heap.Push(slotsFree, r.at)
		}
		start := max(r.at, heap.Pop(slotsFree).(time.Duration))
		heap.Push(slotsFree, start+r.work)
		latencies[i] = start + r.work - r.at
	}
	return latencies
}

// durations is a heap of the times at which slots become idle.
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
