// Package tabletest provides an in-memory table and object store with fault
// injection for tests.
package tabletest

import (
	"context"
	"maps"
	"sort"
	"strings"
	"sync"

	"github.com/sequoiacove/sequoiacove/pkg/description"
	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/table"
)

// Faults selects the faults that a Store injects.
type Faults struct {
	// Down makes all calls fail without any effect: reads with StoreUnavailable,
	// writes with StoreNoAnswer.
	Down bool
	// LoseResponses makes writes fail with StoreNoAnswer after they were processed.
	LoseResponses bool
	// DownAfterWrites takes the store down after this many further writes have
	// taken effect; 0 disables the fault.
	DownAfterWrites int
}

// Store is an in-memory table and object store. It implements table.Table;
// Objects returns its object store.
type Store struct {
	mu       sync.Mutex
	faults   Faults
	rows     map[string]table.Row
	revision uint64
	objects  map[string][]byte
	writes   int
}

// New returns an empty store.
func New() *Store {
	return &Store{rows: make(map[string]table.Row), objects: make(map[string][]byte)}
}

// SetFaults replaces the set of injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Objects returns the object store, which shares the faults and the write count.
func (s *Store) Objects() table.ObjectStore { return objectStore{s} }

// checkAvailable returns an error while the store is down. s.mu must be held.
func (s *Store) checkAvailable() error {
	if s.faults.Down {
		return result.New(result.StoreUnavailable, "store is down")
	}
	return nil
}

// recordWrite counts a write and returns an error if its response is to be lost.
// s.mu must be held.
func (s *Store) recordWrite() error {
	lost := s.faults.LoseResponses
	if s.faults.DownAfterWrites > 0 {
		s.faults.DownAfterWrites--
		s.faults.Down = s.faults.DownAfterWrites == 0
	}
	s.writes++
	if lost {
		return result.New(result.StoreNoAnswer, "response lost")
	}
	return nil
}

// Writes returns the number of transactions and object writes that took effect.
func (s *Store) Writes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

// get returns a row, with revision 0 if it does not exist. s.mu must be held.
func (s *Store) get(key string) table.Row {
	if row, ok := s.rows[key]; ok {
		return row
	}
	return table.Row{Key: key}
}

// Get implements table.Table.
func (s *Store) Get(_ context.Context, key string) (table.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkAvailable(); err != nil {
		return table.Row{}, err
	}
	return s.get(key), nil
}

// List implements table.Table.
func (s *Store) List(_ context.Context, prefix, after string, limit int) ([]table.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkAvailable(); err != nil {
		return nil, err
	}
	var rows []table.Row
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows[:min(limit, len(rows))], nil
}

// Transact implements table.Table.
func (s *Store) Transact(_ context.Context, tx table.Transaction) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return 0, result.New(result.StoreNoAnswer, "store is down")
	}
	for _, c := range tx.Conditions {
		if row := s.get(c.Key); row.Revision != c.Revision {
			if s.faults.LoseResponses {
				return 0, result.New(result.StoreNoAnswer, "response lost")
			}
			return 0, result.New(result.StoreConflict, "row %q has revision %d", row.Key, row.Revision)
		}
	}
	s.revision++
	for _, w := range tx.Writes {
		s.rows[w.Key] = table.Row{Key: w.Key, Value: w.Value, Revision: s.revision}
	}
	return s.revision, s.recordWrite()
}

// Copy is an older copy of a Store.
type Copy struct {
	rows     map[string]table.Row
	revision uint64
	objects  map[string][]byte
}

// Copy returns a copy of the rows, the count of transactions and the objects.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{maps.Clone(s.rows), s.revision, maps.Clone(s.objects)}
}

// Restore replaces the content of the store by that of the copy.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.revision, s.objects = maps.Clone(c.rows), c.revision, maps.Clone(c.objects)
}

type objectStore struct{ store *Store }

// Put implements table.ObjectStore.
func (o objectStore) Put(_ context.Context, hash string, body []byte) error {
	s := o.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return result.New(result.StoreNoAnswer, "store is down")
	}
	if description.Hash(body) != hash {
		return result.New(result.BadRequest, "the hash does not match the content")
	}
	s.objects[hash] = append([]byte{}, body...)
	return s.recordWrite()
}

// Get implements table.ObjectStore.
func (o objectStore) Get(_ context.Context, hash string) ([]byte, error) {
	s := o.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkAvailable(); err != nil {
		return nil, err
	}
	body, ok := s.objects[hash]
	if !ok {
		return nil, result.New(result.ObjectNotFound, "no object %s", hash)
	}
	return append([]byte{}, body...), nil
}
