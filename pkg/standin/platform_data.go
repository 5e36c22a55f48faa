package standin

import (
	"sort"
	"strings"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/platform"
)

// platformTable is a table with one revision counter over all rows.
type platformTable struct {
	rows     map[string]platform.Row
	revision uint64
}

func newPlatformTable() platformTable {
	return platformTable{rows: make(map[string]platform.Row)}
}

func (t *platformTable) get(key string) platform.Row {
	if row, ok := t.rows[key]; ok {
		return row
	}
	return platform.Row{Key: key}
}

func (t *platformTable) scan(prefix, after string, limit int) []platform.Row {
	rows := []platform.Row{}
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows[:min(limit, len(rows))]
}

// transact applies all writes, or returns the row whose condition failed.
func (t *platformTable) transact(tx platform.Transaction) (uint64, *platform.Row) {
	for _, condition := range tx.Conditions {
		if row := t.get(condition.Key); row.Revision != condition.Revision {
			return 0, &row
		}
	}
	t.revision++
	for _, write := range tx.Writes {
		t.rows[write.Key] = platform.Row{Key: write.Key, Value: write.Value, Revision: t.revision}
	}
	return t.revision, nil
}

// platformList keeps the past of the instance list for as long as it lags.
type platformList struct {
	lag     time.Duration
	current map[string]platform.Instance
	past    []platformListState
}

type platformListState struct {
	since     time.Time
	instances []platform.Instance
}

// platformListPast bounds the kept states; older ones are forgotten.
const platformListPast = 4096

func (l *platformList) put(now time.Time, instance platform.Instance) {
	if l.current == nil {
		l.current = make(map[string]platform.Instance)
	}
	l.current[instance.ID] = instance
	l.record(now)
}

func (l *platformList) delete(now time.Time, id string) {
	delete(l.current, id)
	l.record(now)
}

func (l *platformList) record(now time.Time) {
	instances := make([]platform.Instance, 0, len(l.current))
	for _, instance := range l.current {
		instances = append(instances, instance)
	}
	sort.Slice(instances, func(i, j int) bool { return instances[i].ID < instances[j].ID })
	l.past = append(l.past, platformListState{now, instances})
	if len(l.past) > platformListPast {
		l.past = append([]platformListState(nil), l.past[len(l.past)-platformListPast:]...)
	}
}

// read returns the list as it was one lag ago.
func (l *platformList) read(now time.Time) []platform.Instance {
	shown := []platform.Instance{}
	for _, state := range l.past {
		if state.since.After(now.Add(-l.lag)) {
			break
		}
		shown = state.instances
	}
	return shown
}
