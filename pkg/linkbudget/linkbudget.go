// Package linkbudget limits the bytes that an instance exchanges with other
// regions to its portion of the inter-region link rates.
//
// A Budgets value covers one kind of traffic. Package policy keeps two: one for
// the request bytes that this instance sends to other regions, and one for the
// response bytes that it receives from them. The rate of an instance is the link
// rate divided by the number of live instances in its region. All instances of
// the region together then stay within the link rate.
package linkbudget

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/description"
)

const (
	bytesPerMegabit = 125_000
	// burstWindow is the period over which unused rate accumulates as tokens.
	// With a longer window, simultaneous bursts of all instances of a region
	// would fill the queues of the link.
	burstWindow = 100 * time.Millisecond
)

// Budgets holds one token bucket for each region that the local region has a
// link to.
type Budgets struct {
	mu      sync.Mutex
	region  string
	buckets map[string]*bucket
}

// bucket is a token bucket. Its balance may be negative, because a message may
// be larger than the bucket and because the size of a response is known only
// after the request ran.
type bucket struct {
	bytesPerSecond float64
	tokens         float64
	lastRefill     time.Time
	sentBytes      uint64
	deniedRequests uint64
}

// New returns Budgets without links for an instance in region. Update adds the
// links.
func New(region string) *Budgets {
	return &Budgets{region: region, buckets: make(map[string]*bucket)}
}

// Update applies the link rates and the number of live instances in the local
// region. An existing bucket keeps its balance, which may be negative, up to its
// new depth.
func (b *Budgets) Update(links []description.Link, instances int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	seen := make(map[string]bool)
	for _, link := range links {
		other, ok := otherEnd(link, b.region)
		if !ok {
			continue
		}
		seen[other] = true
		b.setRate(other, link.MbitPerSecond*bytesPerMegabit/float64(max(instances, 1)), now)
	}
	for other := range b.buckets {
		if !seen[other] {
			delete(b.buckets, other)
		}
	}
}

func otherEnd(link description.Link, region string) (string, bool) {
	switch region {
	case link.Between[0]:
		return link.Between[1], true
	case link.Between[1]:
		return link.Between[0], true
	}
	return "", false
}

func (b *Budgets) setRate(other string, rate float64, now time.Time) {
	k, ok := b.buckets[other]
	if !ok {
		k = &bucket{bytesPerSecond: rate, lastRefill: now}
		k.tokens = k.depth()
		b.buckets[other] = k
	}
	k.refill(now)
	k.bytesPerSecond = rate
	k.tokens = min(k.tokens, k.depth())
}

func (k *bucket) depth() float64 { return k.bytesPerSecond * burstWindow.Seconds() }

func (k *bucket) refill(now time.Time) {
	if dt := now.Sub(k.lastRefill); dt > 0 {
		k.tokens = min(k.tokens+dt.Seconds()*k.bytesPerSecond, k.depth())
		k.lastRefill = now
	}
}

// Take charges bytes to the link with the given region and reports whether they
// may be sent. It refuses them if the balance of the bucket is not positive.
// Traffic to the local region and to regions without a link is not limited.
func (b *Budgets) Take(to string, bytes int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	k, ok := b.buckets[to]
	if !ok {
		return true
	}
	k.refill(now)
	if k.tokens <= 0 {
		k.deniedRequests++
		return false
	}
	k.charge(bytes)
	return true
}

// Charge charges bytes that cannot be refused, such as those of a response. The balance may become negative; Take then refuses requests until
// the balance is positive again.
func (b *Budgets) Charge(to string, bytes int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if k, ok := b.buckets[to]; ok {
		k.refill(now)
		k.charge(bytes)
	}
}

func (k *bucket) charge(bytes int) {
	k.tokens -= float64(bytes)
	k.sentBytes += uint64(bytes)
}

// State describes the bucket of the link to another region.
type State struct {
	To             string  `json:"to"`
	BytesPerSecond float64 `json:"bytes_per_second"`
	Tokens         float64 `json:"tokens"`
	SentBytes      uint64  `json:"sent_bytes"`
	DeniedRequests uint64  `json:"denied"`
}

// State returns the state of all buckets, sorted by region.
func (b *Budgets) State(now time.Time) []State {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]State, 0, len(b.buckets))
	for to, k := range b.buckets {
		k.refill(now)
		list = append(list, State{to, k.bytesPerSecond, k.tokens, k.sentBytes, k.deniedRequests})
	}
	slices.SortFunc(list, func(x, y State) int { return strings.Compare(x.To, y.To) })
	return list
}
