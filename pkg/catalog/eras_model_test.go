package catalog

import (
	"context"
	"fmt"
	"iter"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/revision"
	"github.com/sequoiacove/sequoiacove/pkg/steering"
)

const (
	modelSteps     = 160
	modelCatalogs  = 4
	modelUpstreams = 6
	// oldPartTime is the longest time for which a part of the store still answers with the
	// state and the era before a return.
	oldPartTime = 2 * time.Second
	// rewriteTime is the longest time until lost rows are written again.
	rewriteTime = 8 * time.Second
)

// storeState is the state of the model store, or of a part of it that has not changed its era.
type storeState struct {
	era, number int64
	rows        [2]map[string]Row
	changes     [2][]modelChange
	// historyFrom is the number from which on the changes are known.
	historyFrom int64
}

type modelChange struct {
	row Row
	at  time.Time
}

func (s *storeState) clone() *storeState {
	copied := *s
	for i := range s.rows {
		copied.rows[i] = maps.Clone(s.rows[i])
		copied.changes[i] = slices.Clone(s.changes[i])
	}
	return &copied
}

// inEra returns r as the store states it in its current era.
func (s *storeState) inEra(r Row) Row {
	r.Revision.Era = s.era
	return r
}

func (s *storeState) list(table Table) Listing {
	l := Listing{Revision: in(s.era, s.number)}
	for _, key := range slices.Sorted(maps.Keys(s.rows[table])) {
		l.Rows = append(l.Rows, s.inEra(s.rows[table][key]))
	}
	return l
}

// changesAfter returns the last change of each key after a number.
func (s *storeState) changesAfter(table Table, number int64) Listing {
	l, seen := Listing{Revision: in(s.era, s.number)}, make(map[string]bool)
	for _, c := range slices.Backward(s.changes[table]) {
		if c.row.Revision.Number > number && !seen[c.row.Key] {
			seen[c.row.Key] = true
			l.Rows = append(l.Rows, s.inEra(c.row))
		}
	}
	slices.Reverse(l.Rows)
	return l
}

// modelUpstream is what an upstream last said, whether or not the store has it.
type modelUpstream struct {
	start, sequence int64
	state           string // "" if it has left
}

// modelMessage is something that is on its way.
type modelMessage struct {
	at      time.Time
	deliver func()
}

// eraModel is a run of several catalogs with a store that comes back from older copies.
type eraModel struct {
	t    *testing.T
	seed uint64
	*rand.Rand
	*clock
	store *storeState
	// copies are the states after the last writes, from which the store may come back.
	copies    []*storeState
	old       *storeState
	oldUntil  time.Time
	clockZero time.Time
	nodes     []*modelNode
	messages  []modelMessage
	// states holds the rows of each state that the store has been in.
	states    map[revision.Revision][2]map[string]Row
	config    int
	evacuated map[string]bool
	upstreams map[string]modelUpstream
	// leftAt holds the revisions in which the rows of upstreams that left were deleted.
	leftAt     map[string]revision.Revision
	restoredAt time.Time
	ending     bool
	trace      []string
}

// modelNode is a catalog of the model and what has been seen of it.
type modelNode struct {
	id     string
	c      *Catalog
	listed [2]bool
	calls  [2]*modelCall
	paused bool
	// config and upstreams are those of the last view.
	config    steering.Version
	upstreams map[string]steering.Upstream
	// left holds the last reports of the upstreams that have been seen leaving.
	left     map[string]steering.Upstream
	released map[string]bool
}

// modelCall is a call of a catalog to the store. It is resumed at wakeAt.
type modelCall struct {
	next   func() (time.Time, bool)
	stop   func()
	wakeAt time.Time
	yield  func(time.Time) bool
}

func newEraModel(t *testing.T, seed uint64) *eraModel {
	m := &eraModel{t: t, seed: seed, Rand: rand.New(rand.NewPCG(seed, 41)), clock: &clock{now: time.Unix(100_000, 0)},
		store: &storeState{era: int64(seed % 3), rows: [2]map[string]Row{{}, {}}}, states: make(map[revision.Revision][2]map[string]Row), evacuated: make(map[string]bool), upstreams: make(map[string]modelUpstream), leftAt: make(map[string]revision.Revision)}
	m.clockZero = m.Now().Add(-time.Hour)
	for n := range modelCatalogs {
		m.nodes = append(m.nodes, &modelNode{id: fmt.Sprint("i", n)})
		m.restart(m.nodes[n])
	}
	m.config = 1
	m.writeTruth(Directives, "config")
	for n := range modelUpstreams {
		id := fmt.Sprint("u", n)
		m.upstreams[id] = modelUpstream{start: 1, sequence: 1, state: "ready"}
		m.writeTruth(Upstreams, id)
	}
	return m
}

// note adds a line to the trace that a failure shows.
func (m *eraModel) note(format string, args ...any) {
	if *erasTrace {
		m.trace = append(m.trace, fmt.Sprintf("%v ", m.Now().Sub(time.Unix(100_000, 0)))+fmt.Sprintf(format, args...))
	}
}

func (m *eraModel) fail(format string, args ...any) {
	m.t.Helper()
	m.t.Fatalf("seed %d: %s\n%s", m.seed, fmt.Sprintf(format, args...), strings.Join(m.trace, "\n"))
}

func (m *eraModel) chance(p float64) bool { return m.Float64() < p }

// within returns a random time of at most d from now.
func (m *eraModel) within(d time.Duration) time.Time {
	return m.Now().Add(time.Duration(m.Float64() * float64(d)))
}

// restart replaces a node's catalog by an empty one.
func (m *eraModel) restart(n *modelNode) {
	for _, call := range n.calls {
		if call != nil {
			call.stop()
		}
	}
	*n = modelNode{id: n.id, left: make(map[string]steering.Upstream), released: make(map[string]bool)}
	n.c = New(Options{Decode: decoder, Now: m.Now, Random: m.Float64, Logger: slog.New(releaseLog{n, m}),
		WatchRole: func() WatchRole { return WatchRole{Watches: true, Primary: true} }})
	n.c.opt.Store = modelAccess{m: m, n: n}
}

// releaseLog records the keys of event 612 of a node.
type releaseLog struct {
	n *modelNode
	m *eraModel
}

// Enabled implements slog.Handler.
func (releaseLog) Enabled(_ context.Context, l slog.Level) bool {
	return l >= slog.LevelWarn || *erasTrace
}

// WithAttrs implements slog.Handler.
func (h releaseLog) WithAttrs([]slog.Attr) slog.Handler { return h }

// WithGroup implements slog.Handler.
func (h releaseLog) WithGroup(string) slog.Handler { return h }

// Handle implements slog.Handler.
func (h releaseLog) Handle(_ context.Context, r slog.Record) error {
	var id, key string
	text := ""
	r.Attrs(func(a slog.Attr) bool {
		switch a.Key {
		case "event":
			id = a.Value.String()
		case "key":
			key = a.Value.String()
		}
		if *erasTrace {
			text += " " + a.String()
		}
		return true
	})
	if id == fmt.Sprint(int(event.RowReleased)) {
		h.n.released[key] = true
	}
	h.m.note("  %s logs%s", h.n.id, text)
	return nil
}

// truth returns the value that the writer of a key wants to have in the store.
func (m *eraModel) truth(table Table, key string) (value string, present bool) {
	if table == Upstreams {
		u := m.upstreams[key]
		return fmt.Sprintf("a,%s,%d,%d", u.state, u.start, u.sequence), u.state != ""
	}
	if domain, ok := strings.CutPrefix(key, "evacuate/"); ok {
		return "{}", m.evacuated[domain]
	}
	return m.configValue(m.config), true
}

// configValue returns a configuration, which in half of the runs is large enough to be passed
// on as a difference.
func (m *eraModel) configValue(version int) string {
	if m.seed%2 == 0 {
		return fmt.Sprintf("%d,", version)
	}
	return fmt.Sprintf("%d,", version) + strings.Repeat("0123456789abcdef", minDifferenceBytes/16) + fmt.Sprint(version)
}

// writeTruth writes a row as its writer wants it.
func (m *eraModel) writeTruth(table Table, key string) {
	value, present := m.truth(table, key)
	if m.write(table, key, value, !present) && !present {
		m.leftAt[key] = in(m.store.era, m.store.number)
	}
}

// write writes or deletes a row of the store. It reports whether there was anything to do.
func (m *eraModel) write(table Table, key, value string, deleted bool) bool {
	s := m.store
	if _, present := s.rows[table][key]; deleted && !present {
		return false
	}
	s.number++
	r := Row{Key: key, Value: []byte(value), Revision: in(0, s.number), Deleted: deleted}
	if deleted {
		r.Value = nil
		delete(s.rows[table], key)
	} else {
		s.rows[table][key] = r
	}
	s.changes[table] = append(s.changes[table], modelChange{r, m.Now()})
	m.note("store %d.%d: %s %.20q deleted %v", s.era, s.number, key, value, deleted)
	m.recordState()
	m.copies = append(m.copies, s.clone())
	m.copies = m.copies[max(0, len(m.copies)-12):]
	return true
}

func (m *eraModel) recordState() {
	m.states[in(m.store.era, m.store.number)] = [2]map[string]Row{maps.Clone(m.store.rows[0]), maps.Clone(m.store.rows[1])}
}

// restore lets the store come back from an older copy.
func (m *eraModel) restore() {
	if m.chance(0.5) {
		m.old, m.oldUntil = m.store, m.within(oldPartTime)
	}
	n := m.IntN(len(m.copies))
	s := m.copies[n].clone()
	m.copies = m.copies[:n+1]
	s.era = m.store.era + 1
	for _, c := range m.copies {
		c.era = s.era
	}
	m.store = s
	m.restoredAt = m.Now()
	if m.chance(0.3) {
		s.historyFrom = s.number
	}
	if m.chance(0.3) {
		// The copy runs on a machine with another clock.
		m.clockZero = m.clockZero.Add(time.Duration((m.Float64() - 0.5) * float64(10*time.Second)))
	}
	m.note("restored to %d.%d, old part until %v", s.era, s.number, m.oldUntil)
	m.recordState()
}

// lostKeys returns the keys whose rows are not those that their writers want.
func (m *eraModel) lostKeys() (lost []RowRevision, tables []Table) {
	for table := range m.store.rows {
		keys := maps.Clone(m.store.rows[table])
		if Table(table) == Upstreams {
			for id := range m.upstreams {
				keys[id] = Row{}
			}
		} else {
			keys["config"] = Row{}
			for d := range m.evacuated {
				keys["evacuate/"+d] = Row{}
			}
		}
		for _, key := range slices.Sorted(maps.Keys(keys)) {
			value, present := m.truth(Table(table), key)
			row, stored := m.store.rows[table][key]
			if present != stored || present && string(row.Value) != value {
				lost, tables = append(lost, RowRevision{Key: key}), append(tables, Table(table))
			}
		}
	}
	return lost, tables
}

// rewrite writes a row again that the store has lost.
func (m *eraModel) rewrite() bool {
	lost, tables := m.lostKeys()
	if len(lost) == 0 {
		return false
	}
	n := m.IntN(len(lost))
	if row, stored := m.store.rows[Directives]["config"]; lost[n].Key == "config" && stored && m.chance(0.3) && !m.ending {
		var stale int
		_, _ = fmt.Sscanf(string(row.Value), "%d,", &stale)
		if stale+1 < m.config {
			m.write(Directives, "config", m.configValue(stale+1), false)
			return true
		}
	}
	m.writeTruth(tables[n], lost[n].Key)
	return true
}

// act lets a writer or a node do something.
func (m *eraModel) act() {
	n, id := m.nodes[m.IntN(len(m.nodes))], fmt.Sprint("u", m.IntN(modelUpstreams))
	u := m.upstreams[id]
	switch m.IntN(24) {
	case 0:
		m.config += 1 + m.IntN(2)
		m.writeTruth(Directives, "config")
	case 1, 2:
		domain := string(rune('a' + m.IntN(3)))
		m.evacuated[domain] = !m.evacuated[domain]
		m.writeTruth(Directives, "evacuate/"+domain)
	case 3, 4, 5, 6:
		m.upstreams[id] = m.nextReport(u)
		m.writeTruth(Upstreams, id)
	case 7:
		// A registration lapses although the upstream runs.
		m.write(Upstreams, id, "", true)
	case 8:
		m.store.number++
		m.recordState()
		if m.chance(0.3) {
			m.store.historyFrom = m.store.number - int64(m.IntN(5))
		}
	case 9:
		if m.chance(0.5) && len(m.copies) > 0 {
			m.restore()
		}
	case 10:
		if m.chance(0.3) {
			m.note("%s restarts", n.id)
			m.restart(n)
		}
	case 11:
		if m.chance(0.3) {
			n.c.Invalidate()
		}
		n.paused = !n.paused && m.chance(0.3)
	case 12, 13, 14, 15:
		m.heartbeat(n)
	case 16, 17, 18:
		m.fetchSnapshot(n, m.nodes[m.IntN(len(m.nodes))], true)
	default:
		for table := range n.calls {
			if n.calls[table] == nil && m.chance(0.7) {
				m.call(n, Table(table))
			}
		}
	}
}

// nextReport returns what an upstream says after u.
func (m *eraModel) nextReport(u modelUpstream) modelUpstream {
	switch n := m.IntN(4); {
	case u.state == "" || n == 0 && u.state == "draining":
		return modelUpstream{start: u.start + 1, sequence: 1, state: "ready"}
	case n == 1 && u.state == "ready":
		return modelUpstream{u.start, u.sequence + 1, "draining"}
	case n == 2 || u.state == "draining":
		return modelUpstream{u.start, u.sequence, ""}
	}
	return modelUpstream{u.start, u.sequence + 1, "ready"}
}

// send delivers something after at most d.
func (m *eraModel) send(d time.Duration, deliver func()) {
	m.messages = append(m.messages, modelMessage{m.within(d), deliver})
}

// delay returns the longest time that something is on its way.
func (m *eraModel) delay() time.Duration {
	if m.chance(0.1) && !m.ending {
		return 4 * time.Second
	}
	return 300 * time.Millisecond
}

func (m *eraModel) heartbeat(n *modelNode) {
	directives, upstreams := n.c.Revisions()
	p := n.c.Proofs()
	for _, to := range m.nodes {
		if to != n && m.chance(0.7) {
			m.send(m.delay(), func() {
				m.note("%s confirms to %s: %s %s", n.id, to.id, directives, upstreams)
				outdated := max(directives.Era, upstreams.Era) < to.c.Era()
				m.unchanged(to, outdated, func() { to.c.Confirm(directives, upstreams, p, n.id) })
				m.check(to)
			})
		}
	}
}

// fetchSnapshot lets a node fetch what it lacks from a peer.
func (m *eraModel) fetchSnapshot(n, peer *modelNode, difference bool) {
	if n == peer {
		return
	}
	c, requestedAt, large := n.c, m.Now(), RowRevision{}
	directives, upstreams := c.Revisions()
	if difference {
		large = c.LargeRow()
	}
	m.send(m.delay(), func() {
		data, err := cbor.Marshal(peer.c.Snapshot(directives, upstreams, large))
		require.NoError(m.t, err)
		m.send(m.delay(), func() {
			var s Snapshot
			require.NoError(m.t, cbor.Unmarshal(data, &s))
			if n.c != c {
				return
			}
			m.note("%s merges from %s: %s since %s, %s since %s", n.id, peer.id, s.Directives.Revision, s.Directives.Since, s.Upstreams.Revision, s.Upstreams.Since)
			outdated := max(s.Directives.Revision.Era, s.Upstreams.Revision.Era) < c.Era()
			m.unchanged(n, outdated, func() { err = c.Merge(s, peer.id, requestedAt) })
			m.check(n)
			if errors.Is(err, ErrDifference) {
				if !difference {
					m.fail("a snapshot without a difference does not fit: %v", err)
				}
				m.fetchSnapshot(n, peer, false)
			}
		})
	})
}

// call begins a call of a node to the store, which ends in one of the next steps.
func (m *eraModel) call(n *modelNode, table Table) {
	call := &modelCall{}
	n.calls[table] = call
	c := n.c
	call.next, call.stop = iter.Pull(func(yield func(time.Time) bool) {
		call.yield = yield
		role := WatchRole{Watches: true, Primary: m.ending || m.chance(0.7)}
		_, err := c.fetch(context.Background(), table, role, &n.listed[table])
		c.recordOutcome(table, err)
		if err != nil {
			n.listed[table] = n.listed[table] && !errors.Is(err, ErrHistoryGone)
		}
	})
	m.resume(n, table)
}

// resume lets a call go on until it waits again or ends.
func (m *eraModel) resume(n *modelNode, table Table) {
	call := n.calls[table]
	wakeAt, waits := call.next()
	call.wakeAt = wakeAt
	if !waits && n.calls[table] == call {
		n.calls[table] = nil
	}
}

// modelAccess is a node's access to the model store.
type modelAccess struct {
	Store
	m *eraModel
	n *modelNode
}

var errModelStore = errors.New("no answer")

// wait lets the run go on for at most d. It reports whether the call goes on.
func (a modelAccess) wait(table Table, d time.Duration) bool {
	return a.n.calls[table].yield(a.m.within(d))
}

// part returns the part of the store that answers now.
func (a modelAccess) part() *storeState {
	if a.m.old != nil && a.m.Now().Before(a.m.oldUntil) && a.m.chance(0.5) {
		return a.m.old
	}
	return a.m.store
}

// lost reports whether a call is lost. At the end, none is.
func (a modelAccess) lost() bool { return a.m.chance(0.1) && !a.m.ending }

// List implements Store.
func (a modelAccess) List(_ context.Context, table Table) (Listing, error) {
	if !a.wait(table, a.m.delay()) || a.lost() {
		return Listing{}, errModelStore
	}
	return a.answer(table, a.part().list(table))
}

// Watch implements Store.
func (a modelAccess) Watch(ctx context.Context, table Table, after revision.Revision, wait time.Duration) (Listing, error) {
	if !a.wait(table, a.m.delay()) || a.lost() {
		return Listing{}, errModelStore
	}
	for end := a.m.Now().Add(wait); ; {
		if ctx.Err() != nil {
			return Listing{}, ctx.Err()
		}
		part := a.part()
		if after.Number > part.number || after.Number < part.historyFrom {
			return Listing{}, ErrHistoryGone
		}
		l := part.changesAfter(table, after.Number)
		// A part that has changed its era ends the watches of the earlier one, or lets them wait.
		if len(l.Rows) > 0 || !a.m.Now().Before(end) || part.era != after.Era && a.m.chance(0.3) {
			return a.answer(table, l)
		}
		if !a.wait(table, 200*time.Millisecond) {
			return Listing{}, errModelStore
		}
	}
}

// answer is on its way to the node with what the store has answered.
func (a modelAccess) answer(table Table, l Listing) (Listing, error) {
	if a.m.seed%4 != 0 {
		l.StoreTime = a.m.Now().Sub(a.m.clockZero)
	}
	if !a.wait(table, a.m.delay()) {
		return l, errModelStore
	}
	a.m.note("%s is answered: %s with %d rows", a.n.id, l.Revision, len(l.Rows))
	if a.m.seed%5 == 0 && l.Revision.Era == a.n.c.Era() && a.m.chance(0.2) {
		// An answer that states no era counts as one of the newest known era.
		l.EraUnknown, l.Revision.Era = true, 0
		for i := range l.Rows {
			l.Rows[i].Revision.Era = 0
		}
	}
	return l, nil
}
