package agent

import (
	"crypto/sha256"
	"crypto/subtle"
	"strings"
	"sync"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// operators checks the tokens and the rates of operators.
type operators struct {
	names   []string
	hashes  [][sha256.Size]byte
	buckets []*bucket
	// refused bounds the log of requests without a valid token.
	refused *bucket
}

const refusedLogsPerSecond = 1

func newOperators(tokens map[string]string, rate float64, now func() time.Time) *operators {
	o := &operators{refused: newBucket(refusedLogsPerSecond, now)}
	for name, token := range tokens {
		o.names = append(o.names, name)
		o.hashes = append(o.hashes, sha256.Sum256([]byte(token)))
		o.buckets = append(o.buckets, newBucket(rate, now))
	}
	return o
}

// authorize returns the name of the operator that the header belongs to. Every
// token is compared, in constant time, so that the time of the answer tells
// nothing about the tokens.
func (o *operators) authorize(header string) (name string, err error) {
	token, ok := strings.CutPrefix(header, "Bearer ")
	if !ok {
		return "", result.New(result.Unauthorized, "a bearer token is required")
	}
	sum := sha256.Sum256([]byte(token))
	found := -1
	for i := range o.hashes {
		if subtle.ConstantTimeCompare(o.hashes[i][:], sum[:]) == 1 {
			found = i
		}
	}
	if found < 0 {
		return "", result.New(result.Unauthorized, "unknown token")
	}
	if !o.buckets[found].take() {
		return o.names[found], result.New(result.RateLimited, "operator %s is at the limit of requests per second", o.names[found])
	}
	return o.names[found], nil
}

// bucket is a token bucket that holds one second's requests, at least one.
type bucket struct {
	rate float64
	now  func() time.Time

	mu     sync.Mutex
	tokens float64
	filled time.Time
}

func newBucket(rate float64, now func() time.Time) *bucket {
	return &bucket{rate: rate, now: now, tokens: max(1, rate), filled: now()}
}

func (b *bucket) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.tokens = min(max(1, b.rate), b.tokens+b.rate*now.Sub(b.filled).Seconds())
	b.filled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
