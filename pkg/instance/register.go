package instance

import (
	"context"
	"net"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/catalog"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/mesh"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

const (
	// registerRetry is the pause between tries to register.
	registerRetry   = 2 * time.Second
	registerTimeout = 1500 * time.Millisecond
	// seedTime is the time for the instances that the settings name to answer.
	seedTimeout = 1500 * time.Millisecond
	// registerInterval is the time between renewals of a registration.
	renewInterval = 10 * time.Minute
	// staleAfter is the time without a renewal after which a registration is
	// removed: the instance was replaced.
	staleAfter = 3 * renewInterval
)

// registration is the row of another instance as it was seen first with its
// current revision.
type registration struct {
	revision int64
	since    time.Time
}

// registrar keeps the own mesh address in the store, so that instances find
// each other, and removes the rows of instances that are gone.
type registrar struct {
	instance      *Instance
	now           func() time.Time
	registrations map[string]registration
	// listed tells that the other instances need not be looked for in the store.
	othersKnown bool
	renewals    int
}

// run registers until ctx ends.
func (r *registrar) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := renewInterval
		if err := r.renew(ctx); err != nil {
			event.Log(r.instance.logger, event.RegistrationFailed, "error", err.Error())
			pause = registerRetry
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// renew writes the own row. The first time, and on one instance of a region
// every time, it also reads those of the others.
func (r *registrar) renew(ctx context.Context) error {
	i := r.instance
	if err := r.writeOwn(ctx); err != nil {
		return err
	}
	if !r.othersKnown {
		// Members of the own region pass on the addresses of the others in it;
		// those of other regions do not.
		r.othersKnown = r.findsRegionMember(ctx)
	}
	removesStale := r.renewals > 0 && i.mesh.Rank(func(m mesh.Member) bool { return m.State != mesh.Leaving }) == 0
	r.renewals++
	if r.othersKnown && !removesStale {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	l, err := i.store.List(callCtx, catalog.Instances)
	if err != nil {
		return err
	}
	r.othersKnown = true
	i.mesh.AddAddresses(r.otherAddresses(l))
	if !removesStale {
		return nil
	}
	return r.removeStale(callCtx, l)
}

func (r *registrar) writeOwn(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	s := r.instance.settings
	return r.instance.store.Put(callCtx, catalog.Instances, s.ID, []byte(s.advertisedMeshAddress()))
}

// acquainted waits a moment for the instances that the settings name and tells
// whether one of the own region has been heard.
func (r *registrar) findsRegionMember(ctx context.Context) bool {
	select {
	case <-time.After(seedTimeout):
	case <-ctx.Done():
	}
	for _, m := range r.instance.mesh.Live() {
		if m.Region == r.instance.settings.Region {
			return true
		}
	}
	return false
}

// others returns the mesh addresses of the other instances.
func (r *registrar) otherAddresses(l catalog.Listing) []string {
	var list []string
	for _, row := range l.Rows {
		if _, _, err := net.SplitHostPort(string(row.Value)); err == nil && row.Key != r.instance.settings.ID {
			list = append(list, string(row.Value))
		}
	}
	return list
}

// sweep removes the rows that were not renewed for long. A row that is renewed
// meanwhile has another revision and stays.
func (r *registrar) removeStale(ctx context.Context, l catalog.Listing) error {
	now := r.now()
	known := make(map[string]registration, len(l.Rows))
	for _, row := range l.Rows {
		seen, ok := r.registrations[row.Key]
		if !ok || seen.revision != row.Revision {
			seen = registration{row.Revision, now}
		}
		known[row.Key] = seen
		if row.Key == r.instance.settings.ID || now.Sub(seen.since) < staleAfter {
			continue
		}
		err := r.instance.store.Remove(ctx, catalog.Instances, row.Key, row.Revision)
		if result.CodeOf(err) == result.StoreConflict {
			// Renewed or removed by another instance meanwhile.
			continue
		}
		if err != nil {
			return err
		}
		event.Log(r.instance.logger, event.RegistrationRemoved, "member", row.Key, "revision", row.Revision, "since_ms", now.Sub(seen.since).Milliseconds())
	}
	r.registrations = known
	return nil
}
