package instance

import (
	"context"
	"net"
	"time"

	"github.com/juju/errors"

	"github.com/sequoiacove/sequoiacove/pkg/catalog"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/mesh"
	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/revision"
)

const (
	// registerRetryDelay is the delay before a failed registration is retried.
	registerRetryDelay = 2 * time.Second
	registerTimeout    = 1500 * time.Millisecond
	// startSpread is the time within which instances that are started together start.
	startSpread = 300 * time.Millisecond
	// registerSpread is the time over which the instances register again after the store has
	// come back from an older copy.
	registerSpread = 2 * time.Second
	// maxIncompleteListings is the maximum number of listings that do not count because a row
	// is missing. With registerRetryDelay after each, they last longer than registerSpread.
	maxIncompleteListings = 2
	// renewInterval is the time between renewals of a registration.
	renewInterval = 10 * time.Minute
	// staleAfter is the time without a renewal after which a registration is
	// removed, because its instance is considered replaced.
	staleAfter = 3 * renewInterval
)

// registration records the current revision of an instance's row and when this
// registrar first saw that revision.
type registration struct {
	revision    revision.Revision
	firstSeenAt time.Time
}

// registrar registers the mesh address of this instance in the store, so that
// instances can discover each other, and removes stale rows.
type registrar struct {
	instance      *Instance
	now           func() time.Time
	registrations map[string]registration
	// listed is set once the addresses of the other instances are known.
	listed             bool
	incompleteListings int
	renewals           int
}

// run renews the registration periodically until ctx ends.
func (r *registrar) run(ctx context.Context) {
	for ctx.Err() == nil {
		delay := renewInterval
		if err := r.renew(ctx); err != nil {
			event.Log(r.instance.logger, event.RegistrationFailed, "error", err.Error())
			delay = registerRetryDelay
		}
		if r.sleep(ctx, delay) {
			r.startNewEra(ctx)
		}
	}
}

// sleep waits for d or until the store has come back from an older copy, which it reports.
func (r *registrar) sleep(ctx context.Context, d time.Duration) (storeReturned bool) {
	select {
	case <-r.instance.registerAgain:
		return true
	case <-time.After(d):
	case <-ctx.Done():
	}
	return false
}

// startNewEra spreads the renewals of the instances over registerSpread. Those that list the
// rows at a renewal come last, so that they find the addresses of all others. Revisions of two
// eras are not comparable, so that all rows count as seen for the first time.
func (r *registrar) startNewEra(ctx context.Context) {
	r.registrations = nil
	delay := time.Duration(r.instance.opt.Random() * float64(registerSpread))
	if !r.listed || r.removesStale() {
		delay = registerSpread + startSpread
	}
	sleep(ctx, delay)
}

// removesStale reports whether this instance lists all rows at its next renewal to remove
// stale ones.
func (r *registrar) removesStale() bool {
	return r.renewals > 0 && r.instance.mesh.Rank(func(m mesh.Member) bool { return m.State != mesh.Leaving }) == 0
}

// renew writes the row of this instance. The first time, it also lists all rows, once the
// instances that are started together have written theirs. From its second renewal on, the
// live instance with the lowest rank in the region lists all rows at each renewal,
// to remove stale ones.
func (r *registrar) renew(ctx context.Context) error {
	i := r.instance
	if err := r.writeOwnRow(ctx); err != nil {
		return err
	}
	if !r.listed {
		sleep(ctx, startSpread)
	}
	removesStale := r.removesStale()
	r.renewals++
	if r.listed && !removesStale {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	l, err := i.store.List(callCtx, catalog.Instances)
	if err != nil {
		return err
	}
	i.mesh.AddAddresses(r.otherAddresses(l))
	i.updateInstances()
	if !r.listed {
		if err := r.checkComplete(l); err != nil {
			return err
		}
	}
	r.listed = true
	i.balancer.SetInstancesListed()
	if !removesStale {
		return nil
	}
	return r.removeStale(callCtx, l)
}

// checkComplete returns an error if a live instance has no row. The store has then lost rows,
// maybe also those of instances that have not been heard yet, and this instance would take too
// large a portion of the limits. After maxIncompleteListings the listing counts as complete,
// because the instance may be unable to write its row.
func (r *registrar) checkComplete(l catalog.Listing) error {
	registered := make(map[string]bool, len(l.Rows))
	for _, row := range l.Rows {
		registered[row.Key] = true
	}
	for _, m := range r.instance.mesh.Live() {
		if m.State != mesh.Leaving && !registered[m.ID] && r.incompleteListings < maxIncompleteListings {
			r.incompleteListings++
			return errors.Errorf("instance %s is live and has no row", m.ID)
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// writeOwnRow writes the row of this instance, which holds its mesh address.
func (r *registrar) writeOwnRow(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	s := r.instance.settings
	return r.instance.store.Put(callCtx, catalog.Instances, s.ID, []byte(s.advertisedMeshAddress()))
}

// otherAddresses returns the mesh addresses of the other instances.
func (r *registrar) otherAddresses(l catalog.Listing) []string {
	var list []string
	for _, row := range l.Rows {
		if _, _, err := net.SplitHostPort(string(row.Value)); err == nil && row.Key != r.instance.settings.ID {
			list = append(list, string(row.Value))
		}
	}
	return list
}

// removeStale removes the rows that have not been renewed for staleAfter. A row
// renewed in the meantime has a newer revision and is kept.
func (r *registrar) removeStale(ctx context.Context, l catalog.Listing) error {
	now := r.now()
	current := make(map[string]registration, len(l.Rows))
	for _, row := range l.Rows {
		known, ok := r.registrations[row.Key]
		if !ok || known.revision != row.Revision {
			known = registration{row.Revision, now}
		}
		current[row.Key] = known
		if row.Key == r.instance.settings.ID || now.Sub(known.firstSeenAt) < staleAfter {
			continue
		}
		err := r.instance.store.Remove(ctx, catalog.Instances, row.Key, row.Revision)
		if result.CodeOf(err) == result.StoreConflict {
			// The row was renewed, or removed by another instance, in the meantime.
			continue
		}
		if err != nil {
			return err
		}
		event.Log(r.instance.logger, event.RegistrationRemoved, "member", row.Key, "revision", row.Revision.String(), "since_ms", now.Sub(known.firstSeenAt).Milliseconds())
	}
	r.registrations = current
	return nil
}
