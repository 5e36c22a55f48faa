// Package policy applies the operators' description of the desired traffic on
// one instance.
//
// It holds the newest accepted version of the description, received from the
// configuration store, a peer or the local operator API, and never installs an
// older one. For each service that the description defines, it chooses the
// failure domain of every request by the effective shares, which move to the
// configured shares under the caps (package routing). It also enforces this
// instance's portion of the concurrency limit per region (limit.go) and of the
// byte rate between regions (package linkbudget). Requests to services that the
// description does not define are not handled here.
package policy

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/configstore"
	"github.com/sequoiacove/sequoiacove/pkg/description"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/linkbudget"
	"github.com/sequoiacove/sequoiacove/pkg/routing"
)

const (
	// pollInterval is the interval between polls of the store. Versions
	// accepted by this or another instance arrive without polling.
	pollInterval = time.Minute
	// initialPollInterval applies until the version in force is confirmed.
	initialPollInterval = time.Second
	pollTimeout         = 8 * time.Second
	// pauseThreshold is the gap between steps above which the process is
	// considered to have been paused.
	pauseThreshold = 2 * time.Second
	// localLinkRateFraction is the fraction of a link's rate, in each direction,
	// that the instances of the local region may use: outbound for their requests
	// and inbound for the responses. The rest is left to the instances of the
	// region at the other end.
	localLinkRateFraction = 0.5
)

// Peer is another live instance, as reported by gossip, or another region as a
// whole. For a region, Shares is the mean and Demand the sum over its instances.
type Peer struct {
	ID      string
	Region  string
	Domain  string
	Version uint64
	Shares  cluster.Shares
	// Demand holds requests per second by service.
	Demand cluster.RequestRates
}

// Config holds the parameters and dependencies of a Policy.
type Config struct {
	InstanceID string
	Region     string
	Store      *configstore.Store
	// ShouldPoll reports whether this instance polls the store for new
	// versions.
	ShouldPoll func() bool
	// Rank returns the rank of this instance among the instances that share the
	// concurrency limits, starting at 0, and their number.
	Rank func() (rank, instances int)
	// OnChange is called after a new version was installed and before it counts as in force.
	// It passes the description on to whatever else depends on it, and must not call
	// ApplyIfNewer or MarkVersionKnown.
	OnChange func()
	// OnInForce is called after a new version has come into force. It may be nil.
	OnInForce func()
	Now       func() time.Time
	// Random returns a number in [0, 1).
	Random func() float64
	Logger *slog.Logger
}

// Policy holds the description in force and the routing state derived from it.
type Policy struct {
	config Config
	table  *routing.Table
	// requestBudgets limits the request bytes sent to other regions,
	// responseBudgets the response bytes received from them.
	requestBudgets  *linkbudget.Budgets
	responseBudgets *linkbudget.Budgets
	// stepMu is held during Step, so that the step with the newest description is applied
	// last. It is locked before mu.
	stepMu sync.Mutex
	// lastStep is the time of the last call of Step. It is guarded by stepMu.
	lastStep time.Time

	// applyMu is held from the installation of a version until OnChange has returned. It is
	// also locked before a version is reported as in force that another call may be applying.
	// It is locked before mu.
	applyMu sync.Mutex

	mu sync.Mutex
	// installed is the version of description. inForce is the last version for which OnChange
	// has returned.
	installed, inForce  cluster.Version
	versionKnown        bool
	description         *description.Description
	previousDescription *description.Description
	usages              map[serviceRegion]*usage
}

// New returns a Policy without a description.
func New(c Config) *Policy {
	c.Store.OnRestore(func(written []uint64, err error) { logRestore(c.Logger, written, err) })
	return &Policy{config: c, table: routing.NewTable(uint64(c.Random() * (1 << 62))), requestBudgets: linkbudget.New(c.Region),
		responseBudgets: linkbudget.New(c.Region), description: &description.Description{}, usages: make(map[serviceRegion]*usage)}
}

// Current returns the version in force; its number is 0 if there is none. A version is in force
// once OnChange has returned for it.
func (p *Policy) Current() cluster.Version {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inForce
}

// Description returns the installed description; it is never nil. It may be newer than Current
// while OnChange runs.
func (p *Policy) Description() *description.Description {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.description
}

// VersionKnown reports whether this instance knows which version of the description
// is in force: the store or a peer has supplied the version, or has no newer one. A
// version number of 0 then means that no description exists.
func (p *Policy) VersionKnown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.versionKnown
}

// MarkVersionKnown records that the store or a peer has no newer version. If another call is
// applying a version, it returns after that version has come into force.
func (p *Policy) MarkVersionKnown() {
	p.applyMu.Lock()
	defer p.applyMu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.versionKnown = true
}

// ApplyIfNewer puts a version into force if it is newer than the one in force. If another call
// is applying the same or a newer version, it returns after that version has come into force.
// An invalid version is logged and ignored.
func (p *Policy) ApplyIfNewer(v cluster.Version, source string) {
	if v.Number <= p.Current().Number {
		p.MarkVersionKnown()
		return
	}
	d, err := description.Parse(v.Body)
	if err != nil || description.Hash(v.Body) != v.Hash {
		event.Log(p.config.Logger, event.VersionRejected, "description", v.Number, "source", source, "error", errorText(err))
		return
	}
	p.config.Store.Remember(v)
	v.Earlier = nil
	// Without the previous version, services that are not in the routing table
	// yet start at the shares of the peers or else at their target shares.
	previous, err := description.Parse(v.PreviousBody)
	if err != nil {
		previous = nil
	}
	if !p.putInForce(v, d, previous) {
		return
	}
	event.Log(p.config.Logger, event.DescriptionInForce, "description", v.Number, "hash", v.Hash, "operator", v.Operator, "patch_id", v.PatchID, "source", source)
	if p.config.OnInForce != nil {
		p.config.OnInForce()
	}
}

// putInForce installs a version, calls OnChange and records that the version is in force. It
// returns false if the version is not newer than the installed one.
func (p *Policy) putInForce(v cluster.Version, d, previous *description.Description) bool {
	p.applyMu.Lock()
	defer p.applyMu.Unlock()
	if !p.install(v, d, previous) {
		return false
	}
	p.config.OnChange()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inForce, p.versionKnown = v, true
	return true
}

func (p *Policy) install(v cluster.Version, d, previous *description.Description) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v.Number <= p.installed.Number {
		return false
	}
	p.installed, p.description, p.previousDescription = v, d, previous
	return true
}

func errorText(err error) string {
	if err == nil {
		return "hash does not match the description body"
	}
	return err.Error()
}

// Run polls the store for new versions until ctx ends.
func (p *Policy) Run(ctx context.Context) {
	for first := true; ctx.Err() == nil; first = false {
		// An instance for which ShouldPoll is false skips the first poll, because
		// peers that poll usually send it the version. It polls later only while
		// VersionKnown is false.
		if p.config.ShouldPoll() || !first && !p.VersionKnown() {
			p.poll(ctx)
		}
		interval := initialPollInterval
		if p.VersionKnown() {
			interval = pollInterval
		}
		timer := time.NewTimer(time.Duration((0.75 + p.config.Random()/2) * float64(interval)))
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// poll reads the newest version from the store. If it fails, the next poll tries
// again. Loss of the store is logged by the code that watches its tables.
func (p *Policy) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	head, err := p.config.Store.Head(ctx)
	if err != nil {
		event.Log(p.config.Logger, event.DescriptionReadFailed, "description", p.Current().Number, "error", err.Error())
		return
	}
	if current := p.Current().Number; head.Number <= current {
		p.MarkVersionKnown()
		if head.Number < current {
			_ = p.RestoreStore(ctx)
		}
		return
	}
	v, err := p.config.Store.Current(ctx)
	if err != nil {
		event.Log(p.config.Logger, event.DescriptionReadFailed, "description", head.Number, "error", err.Error())
		return
	}
	p.ApplyIfNewer(v, "store")
}

// RestoreStore writes back the versions that the store has lost, if any.
func (p *Policy) RestoreStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	_, err := p.config.Store.Restore(ctx)
	return err
}

// logRestore logs an attempt to write back versions to the store.
func logRestore(logger *slog.Logger, written []uint64, err error) {
	if err != nil {
		event.Log(logger, event.DescriptionRestoreFailed, "error", err.Error())
		return
	}
	event.Log(logger, event.DescriptionRestored, "description", slices.Max(written), "from", slices.Min(written), "versions", len(written))
}
