package catalog

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/revision"
)

const (
	// listTimeout is the time within which each page of a List call must make progress.
	listTimeout = 1500 * time.Millisecond
	// watchWait is the time after an answer of the store for which the next watch may wait
	// for a change. It is shorter than maxProofAge, so that the answers of one watcher keep a
	// whole region current. minWatchWait is the long-poll time of a watch whose answer is
	// already due.
	// watchResponseTimeout is the extra time until the response makes progress. A
	// connection that has gone silent is detected only after both have passed. Their
	// sum, a backoff and the time until the other instances of the region have the
	// changes must stay below three seconds, the shortest time within which a
	// deployment expects an instance that lost contact with the store to be up to
	// date again.
	watchWait            = time.Second
	minWatchWait         = time.Millisecond
	watchResponseTimeout = 700 * time.Millisecond
	// promptAnswer is the longest time for which a call is on its way to the store, in a
	// watch that the store answers at once.
	promptAnswer = 250 * time.Millisecond
	// secondaryWatchWait is the long-poll time while another instance of the
	// region is the primary watcher. It may be longer than watchWait, because
	// the primary watcher passes on the changes that this instance misses.
	secondaryWatchWait = 8 * watchWait
	// minBackoff and maxBackoff bound the backoff after a failed call, also after one that
	// found the history gone: a store that answers old listings would be asked without pause.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 1200 * time.Millisecond
	// backoffPerRank is added to maxBackoff for each rank after the first, so
	// that not all instances keep calling a store that is down.
	backoffPerRank = 300 * time.Millisecond
	// roleCheckInterval is how often an instance that does not watch checks
	// whether it has become a watcher.
	roleCheckInterval = 250 * time.Millisecond
)

// storeSource names the store as the source of changes in logs.
const storeSource = "store"

// coalesceDelay is the delay between a change and the next watch, so that a
// burst of changes needs few calls. It is shorter for directives, because there
// is a tighter limit on the time until they take effect.
var coalesceDelay = [...]time.Duration{Directives: 150 * time.Millisecond, Upstreams: 400 * time.Millisecond}

// Run keeps the tables up to date until ctx is done.
func (c *Catalog) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.syncTable(ctx, Upstreams)
	}()
	c.syncTable(ctx, Directives)
	<-done
}

// syncTable keeps a table up to date until ctx is done: it lists the table,
// watches it from then on, and backs off after failed calls. It makes no calls
// while the instance's role is not to watch.
func (c *Catalog) syncTable(ctx context.Context, table Table) {
	listed := false
	backoff := minBackoff
	var lastRole WatchRole
	for ctx.Err() == nil {
		role := c.opt.WatchRole()
		if table == Upstreams {
			c.logRoleChange(lastRole, role)
		}
		lastRole = role
		if !role.Watches {
			listed, backoff = c.isLoaded(table), minBackoff
			sleep(ctx, roleCheckInterval)
			continue
		}
		changed, err := c.fetch(ctx, table, role, &listed)
		c.recordOutcome(table, err)
		switch {
		case err != nil:
			if errors.Is(err, ErrHistoryGone) {
				// The store answers, so that the backoff of an outage before is over.
				listed, backoff = false, minBackoff
			}
			c.backOff(ctx, time.Duration((0.5+c.opt.Random()/2)*float64(backoff)))
			backoff = min(2*backoff, backoffLimit(role))
		default:
			backoff = minBackoff
			if !changed && c.opt.OnStoreAnswer != nil {
				c.opt.OnStoreAnswer()
			}
			if changed {
				sleep(ctx, coalesceDelay[table])
			}
		}
	}
}

// backoffLimit returns the longest backoff of an instance in a role.
func backoffLimit(role WatchRole) time.Duration {
	return maxBackoff + time.Duration(role.Rank)*backoffPerRank
}

// backOff sleeps for the duration of a backoff. It ends early if the role changes so that
// this instance may not wait for so long, for example because it has lost contact with the
// instances of a lower rank.
func (c *Catalog) backOff(ctx context.Context, d time.Duration) {
	for start := c.opt.Now(); ctx.Err() == nil; {
		rest := min(d, backoffLimit(c.opt.WatchRole())) - c.opt.Now().Sub(start)
		if rest <= 0 {
			return
		}
		sleep(ctx, min(rest, roleCheckInterval))
	}
}

// logRoleChange logs when the instance begins or ceases to watch the store, or to be the
// primary watcher, with the ages of the proofs that the role depends on.
func (c *Catalog) logRoleChange(last, role WatchRole) {
	primary := role.Watches && role.Primary
	if last.Watches == role.Watches && (last.Watches && last.Primary) == primary {
		return
	}
	directives, upstreams := c.ProofAges()
	event.Log(c.opt.Logger, event.WatchRoleChanged, "watches", role.Watches, "primary", primary, "rank", role.Rank, "directives_age_ms", directives.Milliseconds(), "upstreams_age_ms", upstreams.Milliseconds())
}

// isLoaded reports whether the table has been loaded in the newest known era, so that a watch
// can continue from its revision.
func (c *Catalog) isLoaded(table Table) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.tables[table].revision.IsZero() && c.tables[table].revision.Era == c.era
}

// fetch lists the table or, if it has been listed, watches it once, and applies
// the result. It reports whether a watch returned changes.
func (c *Catalog) fetch(ctx context.Context, table Table, role WatchRole, listed *bool) (changed bool, err error) {
	c.storeCallCount.Add(1)
	sentIn := c.Era()
	if !*listed {
		callCtx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		sentAt := c.opt.Now()
		l, err := c.opt.Store.List(callCtx, table)
		if err != nil {
			return false, err
		}
		if err := c.recordStoreAnswer(table, &l, sentAt, sentIn); err != nil {
			return false, err
		}
		*listed = true
		c.replace(table, l, storeSource)
		return false, nil
	}
	wait := c.nextWatchWait(table, role)
	callCtx, cancel := context.WithTimeout(ctx, wait+watchResponseTimeout)
	defer cancel()
	after, ok := c.beginWatch(table, cancel)
	if !ok {
		*listed = false
		return false, nil
	}
	sentAt := c.opt.Now()
	l, err := c.opt.Store.Watch(callCtx, table, after, wait)
	newEra := c.endWatch(table, after)
	if err != nil && newEra {
		*listed = false
		return false, nil
	}
	if err != nil {
		return false, err
	}
	earliest := sentAt
	if waited := sentAt.Add(wait); len(l.Rows) == 0 && l.Revision.Era == after.Era && !waited.After(c.opt.Now()) {
		// The store answers without changes only once it has waited for them. An answer of
		// another era may come at once.
		earliest = waited
	}
	if err := c.recordStoreAnswer(table, &l, earliest, sentIn); err != nil {
		return false, err
	}
	if l.Revision.Era != after.Era {
		// The store has come back from an older copy, so that the table must be listed, unless
		// a peer has brought it into the new era meanwhile.
		*listed = c.isLoaded(table)
		return false, nil
	}
	age := c.opt.Now().Sub(l.ProvenAt)
	if l.ProvenAt.Sub(sentAt) < promptAnswer {
		// The change may have been made before the store received the call.
		c.mu.Lock()
		age = max(age, c.maxChangeAge(&c.tables[table]))
		c.mu.Unlock()
	}
	for i := range l.Rows {
		if l.Rows[i].Deleted {
			l.Rows[i].Age = age
		}
	}
	c.update(table, l, storeSource)
	return len(l.Rows) > 0, nil
}

// beginWatch returns the revision after which the table is watched, and records the function
// that ends the watch once a newer era is known. It reports false if the table is of an
// earlier era, so that it must be listed.
func (c *Catalog) beginWatch(table Table, cancel context.CancelFunc) (after revision.Revision, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	after = c.tables[table].revision
	c.cancelWatches[table] = cancel
	return after, after.Era == c.era
}

// endWatch records that the watch after a revision has ended, and reports whether a newer era
// has become known meanwhile.
func (c *Catalog) endWatch(table Table, after revision.Revision) (newEra bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelWatches[table] = nil
	return c.era > after.Era
}

// nextWatchWait returns the long-poll time of the next watch.
func (c *Catalog) nextWatchWait(table Table, role WatchRole) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, t := c.opt.Now(), &c.tables[table]
	if !role.Primary && proofAge(t.provenAt, now) <= c.capByDrainTimeout(maxProofAge, maxProofAgeFraction) {
		return secondaryWatchWait
	}
	return max(minWatchWait, watchWait-proofAge(t.storeAnsweredAt, now))
}

// recordStoreAnswer records that the store answered a call for the table, not before
// earliest, and sets what the answer proves. sentIn is the era that was known when the call was
// sent. It returns an error if the answer is of an
// earlier era, or may be.
func (c *Catalog) recordStoreAnswer(table Table, l *Listing, earliest time.Time, sentIn int64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.checkEra(table, l, sentIn); err != nil {
		return err
	}
	l.ProvenAt = c.storeClock.answeredAt(earliest, c.opt.Now(), l.StoreTime)
	t := &c.tables[table]
	if l.ProvenAt.After(t.storeAnsweredAt) {
		t.storeAnsweredAt = l.ProvenAt
	}
	for i := range l.Rows {
		l.Rows[i].SeenAt = c.opt.Now()
	}
	return nil
}

// recordOutcome records the outcome of a store call and logs when the store
// becomes unavailable or available again.
func (c *Catalog) recordOutcome(table Table, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if errors.Is(err, ErrHistoryGone) {
		event.Log(c.opt.Logger, event.StoreHistoryExpired, "table", table.String(), "revision", c.tables[table].revision.String())
		return
	}
	if err != nil {
		if !c.storeDown {
			c.storeDown = true
			event.Log(c.opt.Logger, event.StoreDown, "table", table.String(), "error", err.Error())
		}
		return
	}
	if c.storeDown {
		c.storeDown = false
		event.Log(c.opt.Logger, event.StoreUp, "table", table.String())
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
