package entry

import (
	"sync"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
)

const (
	// avoidTime is how long an instance that could not be reached is tried last
	// and loses its pools in the view of this one. It covers the 3 s until
	// membership marks a dead instance, so that pools do not change twice.
	avoidTime = 4 * time.Second
	// skipTime is how long it is not tried at all. A connection attempt through
	// a path that drops packets takes 1 s, which requests must not wait for one
	// after another.
	skipTime = 500 * time.Millisecond
)

// avoidList holds the instances that recently could not be reached.
type avoidList struct {
	mu     sync.Mutex
	failed map[string]time.Time
}

func newAvoidList() *avoidList { return &avoidList{failed: make(map[string]time.Time)} }

// add avoids an instance; added is false if it already was avoided.
func (l *avoidList) add(id string, now time.Time) (added bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, known := l.failed[id]
	l.failed[id] = now
	return !known
}

// expire removes the instances whose time has passed.
func (l *avoidList) expire(now time.Time) (removed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, at := range l.failed {
		if now.Sub(at) >= avoidTime {
			delete(l.failed, id)
			removed = true
		}
	}
	return removed
}

// current returns the avoided instances.
func (l *avoidList) current() map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	ids := make(map[string]bool, len(l.failed))
	for id := range l.failed {
		ids[id] = true
	}
	return ids
}

// order leaves out the instances to skip and moves the avoided ones behind the
// others. The order of the rest stays, so that senders agree on the next owner.
func (l *avoidList) order(ranked []cluster.Member, now time.Time) []cluster.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.failed) == 0 {
		return ranked
	}
	first := make([]cluster.Member, 0, len(ranked))
	var last []cluster.Member
	for _, m := range ranked {
		at, failed := l.failed[m.ID]
		switch {
		case !failed:
			first = append(first, m)
		case now.Sub(at) >= skipTime:
			last = append(last, m)
		}
	}
	return append(first, last...)
}
