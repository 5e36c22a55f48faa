package catalog

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/sequoiacove/sequoiacove/pkg/event"
)

const (
	// callTimeout bounds a call that does not wait for changes.
	callTimeout = 1500 * time.Millisecond
	// watchWait is the longest wait of a watch, answerTimeout the time for its
	// answer after that. A watch on a connection that went silent is noticed
	// only after both, which must be less than the four seconds in which an
	// instance has to be in touch again.
	watchWait     = 2900 * time.Millisecond
	answerTimeout = time.Second
	// backupWait is the longest wait where another instance of the region
	// watches first and tells what this one misses.
	backupWait = 3 * watchWait
	// minBackoff and maxBackoff bound the pause after a failed call.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 1200 * time.Millisecond
	// rankBackoff is added to maxBackoff per place behind the first, so that a
	// store that is away does not get calls from all instances.
	rankBackoff = 300 * time.Millisecond
	// idleCheck is how often an instance that does not watch looks whether it
	// has to.
	idleCheck = 250 * time.Millisecond
)

// coalesce is the pause after a change, so that a series of changes costs few
// calls. Directives have the shorter bound until they are in force.
var coalesce = [...]time.Duration{Directives: 150 * time.Millisecond, Upstreams: 400 * time.Millisecond}

// Run keeps the tables up to date until ctx ends.
func (c *Catalog) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.follow(ctx, Upstreams)
	}()
	c.follow(ctx, Directives)
	<-done
}

func (c *Catalog) follow(ctx context.Context, table Table) {
	listed := false
	backoff := minBackoff
	for ctx.Err() == nil {
		duty := c.opt.Duty()
		if !duty.Watches {
			listed, backoff = c.knows(table), minBackoff
			pause(ctx, idleCheck)
			continue
		}
		changed, err := c.step(ctx, table, duty, &listed)
		c.record(table, err)
		switch {
		case errors.Is(err, ErrHistoryGone):
			listed = false
		case err != nil:
			pause(ctx, time.Duration((0.5+c.opt.Random()/2)*float64(backoff)))
			backoff = min(2*backoff, maxBackoff+time.Duration(duty.Rank)*rankBackoff)
		default:
			backoff = minBackoff
			if changed {
				pause(ctx, coalesce[table])
			}
		}
	}
}

// knows tells whether the table is known, so that a watch can follow.
func (c *Catalog) knows(table Table) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tables[table].revision > 0
}

// step makes one call and applies its answer.
func (c *Catalog) step(ctx context.Context, table Table, duty Duty, listed *bool) (changed bool, err error) {
	c.calls.Add(1)
	if !*listed {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		l, err := c.opt.Store.List(call, table)
		if err != nil {
			return false, err
		}
		*listed = true
		c.replace(table, l, "store")
		return false, nil
	}
	wait := watchWait
	if !duty.First {
		wait = backupWait
	}
	call, cancel := context.WithTimeout(ctx, wait+answerTimeout)
	defer cancel()
	c.mu.Lock()
	after := c.tables[table].revision
	c.mu.Unlock()
	l, err := c.opt.Store.Watch(call, table, after, wait)
	if err != nil {
		return false, err
	}
	c.update(table, l, "store")
	return len(l.Rows) > 0, nil
}

// record notes the outcome of a call and logs when the store goes or returns.
func (c *Catalog) record(table Table, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if errors.Is(err, ErrHistoryGone) {
		event.Log(c.opt.Logger, event.StoreHistoryExpired, "table", table.String(), "revision", c.tables[table].revision)
		return
	}
	if err != nil {
		c.failedAt = c.opt.Now()
		if !c.down {
			c.down = true
			event.Log(c.opt.Logger, event.StoreDown, "table", table.String(), "error", err.Error())
		}
		return
	}
	if c.down {
		c.down = false
		event.Log(c.opt.Logger, event.StoreUp, "table", table.String())
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
