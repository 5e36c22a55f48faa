// Package membership keeps the table of the system's instances by heartbeats
// between agents.
//
// Each instance owns one record, which it alone changes: every change and every
// heartbeat raises the record's sequence, every change its revision, and a
// restart its incarnation. Agents exchange digests of their tables with a few
// random peers per interval: a higher sequence is progress, and only records
// with a higher incarnation or revision travel whole. An instance
// whose record makes no progress is suspect, then dead, and is forgotten later.
// These states are each agent's own view and are not passed on: a cut-off part
// sees the rest as dead and the rest sees the part as dead. Leaving is part of
// the record and stays for the rest of the incarnation.
//
// A pause of the own process is no evidence about others. After one, nobody is
// declared dead until records were exchanged with a peer or a bound has passed.
package membership

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/peer"
)

// Clock gives the time; tests replace it.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// SystemClock is the clock of the operating system.
type SystemClock struct{}

// Now returns the current time with its monotonic reading.
func (SystemClock) Now() time.Time { return time.Now() }

// After returns a channel that receives the time after d.
func (SystemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

const (
	defaultInterval     = 500 * time.Millisecond
	defaultSuspectAfter = 2 * time.Second
	defaultDeadAfter    = 3 * time.Second
	defaultForgetAfter  = 60 * time.Second
	defaultFanout       = 3
	// pauseThreshold is the gap between two steps of the own process that
	// counts as a pause, or two intervals if that is longer.
	pauseThreshold = time.Second
	// resyncBound ends the wait for peers after a pause, so that a cut-off
	// instance serves again.
	resyncBound = 2 * time.Second
	// maxMembers bounds the table; the target is 3,300 instances.
	maxMembers = 8192
)

// Config configures a Table.
type Config struct {
	// Self is the own record: identity, addresses and incarnation.
	Self cluster.Member
	// Seeds are agent addresses that are tried besides the known members.
	Seeds        []string
	Interval     time.Duration
	SuspectAfter time.Duration
	DeadAfter    time.Duration
	ForgetAfter  time.Duration
	// Fanout is the number of peers per interval.
	Fanout int
	Caller peer.Caller
	Clock  Clock
	Random *rand.Rand
	Logger *slog.Logger
	// Heard is called outside of locks with each peer record that made progress
	// and has another version than the own one, unless that is lower; it must
	// not block.
	Heard func(cluster.Member)
	// Registry receives the counters; nil keeps them private.
	Registry metrics.Registry
}

func (c *Config) setDefaults() {
	setDefault(&c.Interval, defaultInterval)
	setDefault(&c.SuspectAfter, defaultSuspectAfter)
	setDefault(&c.DeadAfter, defaultDeadAfter)
	setDefault(&c.ForgetAfter, defaultForgetAfter)
	setDefault(&c.Fanout, defaultFanout)
	if c.Clock == nil {
		c.Clock = SystemClock{}
	}
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if c.Logger == nil {
		c.Logger = event.Discard()
	}
	if c.Registry == nil {
		c.Registry = metrics.NewRegistry()
	}
	if c.Heard == nil {
		c.Heard = func(cluster.Member) {}
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
