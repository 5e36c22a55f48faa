package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"reflect"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table    string `json:"table"`
	Part     string `json:"part"`
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"resourceVersion,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's store: one part, no loss, no limits.
type store struct {
	mu       sync.Mutex
	rows     map[string]row
	history  []row
	revision int64
	changed  chan struct{}
	address  string
	started  time.Time
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{rows: make(map[string]row), revision: 1, changed: make(chan struct{}), started: time.Now(), address: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /sequoiacove/rows-get", s.get)
	mux.HandleFunc("GET /sequoiacove/rows-feed", s.feed)
	mux.HandleFunc("POST /sequoiacove/rows-tx", s.transact)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// now returns the store's steady clock.
func (s *store) now() string { return fmt.Sprintf("%dms", time.Since(s.started).Milliseconds()) }

// apply makes one change; s.mu must be held.
func (s *store) apply(r row) {
	s.revision++
	r.Revision = s.revision
	id := r.Table + "\x00" + r.Key
	if r.Deleted {
		r.Value = nil
		delete(s.rows, id)
	} else {
		s.rows[id] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row and returns when the write is acknowledged.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(row{Table: table, Key: key, Value: value})
}

// heartbeat writes an endpoint's entry unless only its sequence differs from what is there.
func (s *store) heartbeat(key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.rows["servers\x00"+key]; ok && sameButSequence(old.Value, value) {
		return false
	}
	s.apply(row{Table: "servers", Key: key, Value: value})
	return true
}

func sameButSequence(a, b []byte) bool {
	var x, y map[string]any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	for _, m := range []map[string]any{x, y} {
		if status, ok := m["status"].(map[string]any); ok {
			delete(status, "sequence")
		}
	}
	return reflect.DeepEqual(x, y)
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(row{Table: table, Key: key, Deleted: true})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	rows := []row{}
	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") && (q.Get("to") == "" || x.Key < q.Get("to")) {
			rows = append(rows, x)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	reply(w, http.StatusOK, map[string]any{"rows": rows, "hasMore": false, "resourceVersion": revision, "now": s.now()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		last := make(map[string]row)
		for _, x := range s.history {
			if x.Table == q.Get("table") && x.Revision > after {
				last[x.Key] = x
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(last) > 0 || !waiting {
			rows := make([]row, 0, len(last))
			for _, x := range last {
				rows = append(rows, x)
			}
			sort.Slice(rows, func(i, j int) bool { return rows[i].Revision < rows[j].Revision })
			reply(w, http.StatusOK, map[string]any{"rows": rows, "resourceVersion": revision, "now": s.now()})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Conditions []row `json:"expectedRevision"`
		Puts       []row `json:"puts"`
		Removals   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.Conditions {
		if s.rows[c.Table+"\x00"+c.Key].Revision != c.Revision {
			reply(w, http.StatusPreconditionFailed, map[string]any{"rows": []row{}, "resourceVersion": s.revision})
			return
		}
	}
	for _, x := range append(t.Puts, t.Removals...) {
		if x.Table == "servers" || x.Table == "op" {
			reply(w, http.StatusForbidden, map[string]any{})
			return
		}
	}
	for _, x := range t.Puts {
		s.apply(x)
	}
	for _, x := range t.Removals {
		x.Deleted = true
		s.apply(x)
	}
	reply(w, http.StatusOK, map[string]any{"resourceVersion": s.revision, "now": s.now()})
}
