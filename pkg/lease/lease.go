// Package lease gives one process at a time the right to do a duty, through a
// row of the platform's table.
//
// The revision of the row is the fencing token: a fenced write carries it as a
// condition of its transaction, so that a holder that was paused past the end
// of its lease writes nothing even though it still believes that it holds the
// lease. Clocks of different processes are never compared: a challenger takes
// the lease after it has seen the row unchanged for the whole lease time on its
// own clock.
package lease

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/platform"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

const (
	keyPrefix = "lease/"
	// renewalsPerTerm leaves two further attempts after a failed renewal.
	renewalsPerTerm = 3
	// challengeMargin covers clocks that run at different rates and a renewal
	// that is delayed on its way.
	challengeMargin = 1.5
	// maxHolderBytes and maxTerm bound what is accepted from the row, so that a
	// damaged row cannot keep the lease from being taken.
	maxHolderBytes = 128
	maxTerm        = time.Hour
)

// Config configures a Lease. Zero values of the optional fields select
// defaults.
type Config struct {
	Table platform.Table
	// Name names the duty.
	Name string
	// Holder names this process; it must differ between processes and restarts.
	Holder string
	// Term is how long the holder may go without renewal.
	Term  time.Duration
	Now   func() time.Time
	Sleep func(ctx context.Context, d time.Duration) error
	// Random returns numbers from 0 to below 1; calls may be concurrent.
	Random func() float64
	Logger *slog.Logger
}

func (c *Config) setDefaults() {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Sleep == nil {
		c.Sleep = platform.Sleep
	}
	if c.Random == nil {
		c.Random = rand.Float64
	}
	if c.Logger == nil {
		c.Logger = event.Discard()
	}
}

// record is the value of the lease row. Count makes every renewal a different
// value, so that a renewal whose answer was lost can be recognized.
type record struct {
	Holder string `json:"holder"`
	Count  uint64 `json:"count"`
	TermMS int64  `json:"term_ms"`
	// Released tells that the holder gave the lease back.
	Released bool `json:"released,omitempty"`
}

// Lease is one process's view of a lease.
type Lease struct {
	config Config
	key    string

	// table serializes renewals and fenced writes, because a renewal changes
	// the token.
	table sync.Mutex

	mu    sync.Mutex
	held  bool
	token uint64
	count uint64
	until time.Time
	// seen is the revision of another holder's row, unchanged since seenAt.
	seen   uint64
	seenAt time.Time
}

// New returns a lease that is not held.
func New(config Config) *Lease {
	config.setDefaults()
	return &Lease{config: config, key: keyPrefix + config.Name}
}

// Held tells whether the lease is held as far as this process can know. A
// paused process may be wrong about it; only Write is safe.
func (l *Lease) Held() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held && l.config.Now().Before(l.until)
}

// Run takes and renews the lease until ctx ends, then releases it.
func (l *Lease) Run(ctx context.Context) {
	for {
		_, _ = l.Try(ctx)
		if l.config.Sleep(ctx, l.delay()) != nil {
			break
		}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.config.Term)
	defer cancel()
	_ = l.Release(ctx)
}

// delay spreads attempts by up to a quarter, so that challengers do not stay
// in step.
func (l *Lease) delay() time.Duration {
	interval := float64(l.config.Term) / renewalsPerTerm
	return time.Duration(interval * (0.75 + 0.25*l.config.Random()))
}

// Try renews the lease if it is held, takes it if it is free, and tells
// whether it is held afterwards.
func (l *Lease) Try(ctx context.Context) (bool, error) {
	l.table.Lock()
	defer l.table.Unlock()
	start := l.config.Now()
	if token, ok := l.currentToken(); ok {
		return l.write(ctx, start, token, false)
	}
	row, err := l.config.Table.Get(ctx, l.key)
	if err != nil {
		return false, err
	}
	if !l.free(row, l.config.Now()) {
		return false, nil
	}
	return l.write(ctx, start, row.Revision, false)
}

// currentToken returns the token of the last renewal and whether the lease was
// held then; its term may have ended since.
func (l *Lease) currentToken() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.token, l.held
}

// free tells whether a row read at now may be taken over.
func (l *Lease) free(row platform.Row, now time.Time) bool {
	if row.Revision == 0 {
		return true
	}
	old, valid := decodeRecord(row.Value)
	if valid && (old.Released || old.Holder == l.config.Holder) {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if row.Revision != l.seen {
		l.seen, l.seenAt = row.Revision, now
		return false
	}
	term := l.config.Term
	if valid {
		term = max(term, time.Duration(old.TermMS)*time.Millisecond)
	}
	return now.Sub(l.seenAt) >= time.Duration(challengeMargin*float64(term))
}

// write sets the lease row if it still has the given revision. start is the
// clock before the attempt began, so that the own view of the term ends first.
func (l *Lease) write(ctx context.Context, start time.Time, revision uint64, release bool) (bool, error) {
	value := l.nextValue(release)
	token, err := l.config.Table.Transact(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Key: l.key, Revision: revision}},
		Writes:     []platform.Write{{Key: l.key, Value: value}},
	})
	if result.OutcomeOf(err) == result.Unknown {
		token, err = l.settle(ctx, value, err)
	}
	switch {
	case err == nil && release:
		l.lose("released")
		return false, nil
	case err == nil:
		l.hold(token, start)
		return true, nil
	case result.CodeOf(err) == result.StoreConflict:
		_, err := l.reconcile(ctx)
		return l.Held(), err
	default:
		// The row is unchanged or its state unknown: the term runs on.
		return l.Held(), err
	}
}

// settle reads the row after a lost answer and keeps the error unless the row
// shows that the write took effect.
func (l *Lease) settle(ctx context.Context, value []byte, lost error) (uint64, error) {
	row, err := l.config.Table.Get(ctx, l.key)
	if err != nil || string(row.Value) != string(value) {
		return 0, lost
	}
	return row.Revision, nil
}

// reconcile reads the row after a refusal. The row is still this holder's when
// an earlier renewal took effect although its answer was lost; its revision is
// the token then. Otherwise the lease is lost.
func (l *Lease) reconcile(ctx context.Context) (owned bool, err error) {
	row, err := l.config.Table.Get(ctx, l.key)
	if err != nil {
		return false, err
	}
	now, valid := decodeRecord(row.Value)
	if !valid || now.Holder != l.config.Holder || now.Released {
		l.lose("another holder")
		return false, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.token = row.Revision
	return l.held, nil
}

// nextValue returns a value of the row that differs from all values before.
func (l *Lease) nextValue(release bool) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count++
	value, _ := json.Marshal(record{
		Holder:   l.config.Holder,
		Count:    l.count,
		TermMS:   l.config.Term.Milliseconds(),
		Released: release,
	})
	return value
}

func (l *Lease) hold(token uint64, start time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held {
		event.Log(l.config.Logger, event.LeaseHeld, "lease", l.config.Name, "token", token)
	}
	l.held, l.token, l.until = true, token, start.Add(l.config.Term)
}

func (l *Lease) lose(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held {
		event.Log(l.config.Logger, event.LeaseLost, "lease", l.config.Name, "reason", reason)
	}
	l.held, l.seen = false, 0
}

func decodeRecord(value []byte) (record, bool) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return record{}, false
	}
	valid := r.Holder != "" && len(r.Holder) <= maxHolderBytes && r.TermMS > 0 && r.TermMS <= maxTerm.Milliseconds()
	return r, valid
}
