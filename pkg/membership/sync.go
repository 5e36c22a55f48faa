package membership

import (
	"context"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/peer"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// Record is a member record as one agent passes it to another.
type Record struct {
	Member cluster.Member `cbor:"m"`
	// AgeMS is the time since the sender saw the record make progress.
	AgeMS int64 `cbor:"a"`
}

// Sync is a message of an exchange. The request holds all live records of the
// sender; the reply holds those that are newer than the request's.
type Sync struct {
	Records []Record `cbor:"r"`
}

// HandleSync answers an exchange that a peer began; it is the handler of
// peer.SyncMembers.
func (t *Table) HandleSync(_ context.Context, body []byte) (any, error) {
	var in Sync
	if err := peer.Decode(body, &in); err != nil {
		return nil, err
	}
	if len(in.Records) > maxMembers {
		return nil, result.New(result.PeerRefused, "%d records exceed %d", len(in.Records), maxMembers)
	}
	t.mu.Lock()
	t.step()
	now := t.lastStep
	heard := t.merge(in.Records, now)
	out := Sync{Records: t.newer(in.Records, now)}
	t.mu.Unlock()
	t.report(heard)
	return &out, nil
}

func (t *Table) report(heard []cluster.Member) {
	for _, m := range heard {
		t.cfg.Heard(m)
	}
}

// records returns the own record and those of live peers.
func (t *Table) records(now time.Time) []Record {
	records := make([]Record, 0, len(t.peers)+1)
	records = append(records, Record{Member: t.self})
	for _, e := range t.peers {
		if e.state != cluster.Dead {
			records = append(records, e.record(now))
		}
	}
	return records
}

func (e *entry) record(now time.Time) Record {
	return Record{Member: e.member, AgeMS: now.Sub(e.progress).Milliseconds()}
}

// newer returns the records that a peer with the given ones lacks. A record
// that differs in the leaving mark alone counts as newer.
func (t *Table) newer(have []Record, now time.Time) []Record {
	known := make(map[string]*cluster.Member, len(have))
	for i := range have {
		known[have[i].Member.ID] = &have[i].Member
	}
	var records []Record
	if ahead(&t.self, known[t.self.ID]) {
		records = append(records, Record{Member: t.self})
	}
	for id, e := range t.peers {
		if e.state != cluster.Dead && ahead(&e.member, known[id]) {
			records = append(records, e.record(now))
		}
	}
	return records
}

func ahead(m, other *cluster.Member) bool {
	if other == nil || m.Incarnation != other.Incarnation {
		return other == nil || m.Incarnation > other.Incarnation
	}
	return m.Sequence > other.Sequence || m.State == cluster.Leaving && other.State != cluster.Leaving
}

// exchange sends the own table to a peer and takes in its answer.
func (t *Table) exchange(ctx context.Context, addr string) error {
	t.mu.Lock()
	t.step()
	began := t.lastStep
	out := Sync{Records: t.records(began)}
	t.mu.Unlock()

	var in Sync
	t.exchanges.Inc(1)
	if err := t.cfg.Caller.Call(ctx, addr, peer.SyncMembers, &out, &in); err != nil {
		t.failures.Inc(1)
		return err
	}
	if len(in.Records) > maxMembers {
		t.failures.Inc(1)
		return result.New(result.PeerProtocol, "%d records exceed %d", len(in.Records), maxMembers)
	}
	t.mu.Lock()
	t.step()
	if began.Before(t.resumed) {
		// The answer is from before a pause and shows nobody's progress since.
		t.mu.Unlock()
		return result.New(result.PeerNoAnswer, "the process was paused during the exchange")
	}
	heard := t.merge(in.Records, t.lastStep)
	t.mu.Unlock()
	t.report(heard)
	return nil
}
