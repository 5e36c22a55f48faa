// Package policy puts the operators' description into force on an instance.
//
// It keeps the newest accepted version, which comes from the configuration
// store, from a peer or from the own operator API, and never goes back. For
// each service that the description names it chooses the failure domain of
// every request by the shares in effect, which move to the described ones under
// the caps (package routing), and holds the instance's part of the limits on
// requests in a region and on bytes between regions. Services that the
// description does not name are not its business.
package policy

import (
	"context"
	"log/slog"
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
	// pollInterval is the time between looks at the store. Versions that the
	// own or another instance accepts arrive without it.
	pollInterval = time.Minute
	// firstPollInterval applies until it is known whether there is a version.
	firstPollInterval = time.Second
	pollTimeout       = 8 * time.Second
	// pauseThreshold is the gap between steps that shows that the process stood
	// still.
	pauseThreshold = 2 * time.Second
	// linkPart is the part of a link that requests to other regions and answers
	// from them each may use: the other region's instances use the rest.
	linkPart = 0.5
)

// Peer is a live instance as its reports show it, or the mean of a region.
type Peer struct {
	ID      string
	Region  string
	Domain  string
	Version uint64
	Shares  cluster.Shares
	// Rates holds the requests per second by service.
	Rates cluster.Demand
}

// Config holds the inputs of a Policy.
type Config struct {
	Instance string
	Region   string
	Store    *configstore.Store
	// ShouldPoll tells whether this instance looks at the store for new versions.
	ShouldPoll func() bool
	// Rank returns the rank of the own instance among those that share the
	// limits, and their number.
	Rank func() (rank, instances int)
	// OnChange is called after a version came into force.
	OnChange func()
	Now      func() time.Time
	// Random returns a number in [0, 1).
	Random func() float64
	Logger *slog.Logger
}

// Policy holds the description in force and what follows from it.
type Policy struct {
	config Config
	table  *routing.Table
	// requests and answers hold the bytes sent to other regions and received
	// from them.
	requests *linkbudget.Budgets
	answers  *linkbudget.Budgets
	// stepped is the time of the last step.
	stepped time.Time

	mu          sync.Mutex
	version     cluster.Version
	known       bool
	description *description.Description
	previous    *description.Description
	used        map[regionKey]*usage
}

// New returns a Policy without a version.
func New(c Config) *Policy {
	return &Policy{config: c, table: routing.NewTable(uint64(c.Random() * (1 << 62))), requests: linkbudget.New(c.Region),
		answers: linkbudget.New(c.Region), description: &description.Description{}, used: make(map[regionKey]*usage)}
}

// Current returns the version in force; its number is 0 if there is none.
func (p *Policy) Current() cluster.Version {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.version
}

// Description returns the description in force; it is never nil.
func (p *Policy) Description() *description.Description {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.description
}

// VersionKnown tells whether the instance has learned which version is in force, also
// if there is none.
func (p *Policy) VersionKnown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known
}

// SetVersionKnown notes that a peer or the store knows of no newer version.
func (p *Policy) SetVersionKnown() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.known = true
}

// ApplyIfNewer puts a version into force if it is newer than the one in force. An
// invalid one is logged and changes nothing.
func (p *Policy) ApplyIfNewer(v cluster.Version, source string) {
	if v.Number <= p.Current().Number {
		p.SetVersionKnown()
		return
	}
	d, err := description.Parse(v.Body)
	if err != nil || description.Hash(v.Body) != v.Hash {
		event.Log(p.config.Logger, event.VersionRefused, "description", v.Number, "source", source, "error", errorText(err))
		return
	}
	// Without the version before, moves start at the new shares.
	previous, err := description.Parse(v.PreviousBody)
	if err != nil {
		previous = nil
	}
	if !p.install(v, d, previous) {
		return
	}
	event.Log(p.config.Logger, event.DescriptionInForce, "description", v.Number, "hash", v.Hash, "operator", v.Operator, "patch_id", v.PatchID, "source", source)
	p.config.OnChange()
}

func (p *Policy) install(v cluster.Version, d, previous *description.Description) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v.Number <= p.version.Number {
		return false
	}
	p.version, p.description, p.previous, p.known = v, d, previous, true
	return true
}

func errorText(err error) string {
	if err == nil {
		return "the hash does not fit the description"
	}
	return err.Error()
}

// Run looks for new versions in the store until ctx ends.
func (p *Policy) Run(ctx context.Context) {
	for first := true; ctx.Err() == nil; first = false {
		// At the start, instances that do not look at the store are told by those
		// that do.
		if p.config.ShouldPoll() || !first && !p.VersionKnown() {
			p.poll(ctx)
		}
		interval := firstPollInterval
		if p.VersionKnown() {
			interval = pollInterval
		}
		t := time.NewTimer(time.Duration((0.75 + p.config.Random()/2) * float64(interval)))
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// poll reads the newest version. A failure is repaired by the next poll; that
// the store is away is logged where its tables are watched.
func (p *Policy) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	head, err := p.config.Store.Head(ctx)
	if err != nil {
		event.Log(p.config.Logger, event.DescriptionReadFailed, "description", p.Current().Number, "error", err.Error())
		return
	}
	if head.Number <= p.Current().Number {
		p.SetVersionKnown()
		return
	}
	v, err := p.config.Store.Current(ctx)
	if err != nil {
		event.Log(p.config.Logger, event.DescriptionReadFailed, "description", head.Number, "error", err.Error())
		return
	}
	p.ApplyIfNewer(v, "store")
}
