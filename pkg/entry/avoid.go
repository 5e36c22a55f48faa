package entry

import (
	"sync"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
)

// avoidTime is how long an instance that did not answer is tried last. It
// covers the time until membership marks a dead instance.
const avoidTime = 2 * time.Second

// avoidList holds the instances that recently did not answer.
type avoidList struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func newAvoidList() *avoidList { return &avoidList{until: make(map[string]time.Time)} }

// add avoids an instance for avoidTime; added is false if it already was.
func (l *avoidList) add(id string, now time.Time) (added bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, known := l.until[id]
	l.until[id] = now.Add(avoidTime)
	return !known
}

// expire removes the instances whose time has passed.
func (l *avoidList) expire(now time.Time) (removed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, t := range l.until {
		if !now.Before(t) {
			delete(l.until, id)
			removed = true
		}
	}
	return removed
}

// current returns the avoided instances.
func (l *avoidList) current(now time.Time) map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	ids := make(map[string]bool, len(l.until))
	for id, t := range l.until {
		if now.Before(t) {
			ids[id] = true
		}
	}
	return ids
}

// order moves the avoided instances behind the others. The order of the rest
// stays, so that senders agree on the next owner.
func (l *avoidList) order(ranked []cluster.Member, now time.Time) []cluster.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.until) == 0 {
		return ranked
	}
	first := make([]cluster.Member, 0, len(ranked))
	var last []cluster.Member
	for _, m := range ranked {
		if t, ok := l.until[m.ID]; ok && now.Before(t) {
			last = append(last, m)
		} else {
			first = append(first, m)
		}
	}
	return append(first, last...)
}
