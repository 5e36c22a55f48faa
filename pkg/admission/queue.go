package admission

import (
	"container/heap"
	"time"
)

// queue holds waiting tasks; the one with the earliest deadline comes first,
// and equal deadlines keep their order of arrival.
type queue struct {
	entries []entry
	serial  uint64
}

type entry struct {
	deadline int64
	serial   uint64
	task     *task
}

func (q *queue) add(t *task) {
	q.serial++
	heap.Push(q, entry{deadline: t.deadline.UnixNano(), serial: q.serial, task: t})
}

func (q *queue) head() *task {
	if len(q.entries) == 0 {
		return nil
	}
	return q.entries[0].task
}

// remove takes a task out; it reports false when the task is not in q.
func (q *queue) remove(t *task) bool {
	i := t.index
	if i < 0 || i >= len(q.entries) || q.entries[i].task != t {
		return false
	}
	heap.Remove(q, i)
	return true
}

// before counts the tasks that a task with this deadline would wait for.
func (q *queue) before(deadline time.Time) int {
	limit := deadline.UnixNano()
	n := 0
	for i := range q.entries {
		if q.entries[i].deadline <= limit {
			n++
		}
	}
	return n
}

// Len implements heap.Interface.
func (q *queue) Len() int { return len(q.entries) }

// Less implements heap.Interface.
func (q *queue) Less(i, j int) bool {
	a, b := &q.entries[i], &q.entries[j]
	if a.deadline != b.deadline {
		return a.deadline < b.deadline
	}
	return a.serial < b.serial
}

// Swap implements heap.Interface.
func (q *queue) Swap(i, j int) {
	q.entries[i], q.entries[j] = q.entries[j], q.entries[i]
	q.entries[i].task.index = i
	q.entries[j].task.index = j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	e := x.(entry)
	e.task.index = len(q.entries)
	q.entries = append(q.entries, e)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(q.entries) - 1
	e := q.entries[last]
	q.entries[last] = entry{}
	q.entries = q.entries[:last]
	e.task.index = -1
	return e
}
