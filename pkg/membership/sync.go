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

// Sync is a message of an exchange. The first one holds the digest of all live
// records of the sender, and its own record if that changed lately. The reply
// holds what is newer than the digest and the keys of records that the replying
// side lacks; a second message without a digest brings those.
type Sync struct {
	// Digest is packed, see liveness.
	Digest  []byte   `cbor:"d,omitempty"`
	Records []Record `cbor:"r,omitempty"`
	Want    []uint64 `cbor:"w,omitempty"`
}

// check bounds a message and unpacks its digest.
func (s *Sync) check() ([]liveness, error) {
	if len(s.Records) > maxDigest || len(s.Want) > maxDigest {
		return nil, result.New(result.PeerRefused, "%d records and %d wanted exceed %d", len(s.Records), len(s.Want), maxDigest)
	}
	return unpackDigest(s.Digest)
}

// HandleSync answers an exchange that a peer began; it is the handler of
// peer.SyncMembers.
func (t *Table) HandleSync(_ context.Context, body []byte) (any, error) {
	var in Sync
	if err := peer.Decode(body, &in); err != nil {
		return nil, err
	}
	digest, err := in.check()
	if err != nil {
		return nil, err
	}
	var out Sync
	t.mu.Lock()
	t.step()
	now := t.lastStep
	heard := t.merge(in.Records, now)
	if len(digest) > 0 {
		progressed, want := t.mergeDigest(digest, now)
		heard = append(heard, progressed...)
		out.Want = want
		t.addNewer(&out, now)
	}
	t.mu.Unlock()
	t.report(heard)
	return &out, nil
}

func (t *Table) report(heard []cluster.Member) {
	for _, m := range heard {
		t.cfg.Heard(m)
	}
}

// firstMessage returns the first message of an exchange.
func (t *Table) firstMessage(now time.Time) *Sync {
	out := &Sync{Digest: make([]byte, 0, (len(t.peers)+1)*2*keyBytes)}
	out.Digest = livenessOf(keyOf(&t.self), &t.self).appendTo(out.Digest)
	for _, e := range t.peers {
		if e.state != cluster.Dead {
			out.Digest = livenessOf(e.key, &e.member).appendTo(out.Digest)
		}
	}
	// Hardly any peer has a body that is younger than one round, and without it
	// each would have to ask.
	if now.Sub(t.changedAt) < t.cfg.Interval {
		out.Records = []Record{{Member: t.self}}
	}
	return out
}

func (e *entry) record(now time.Time) Record {
	return Record{Member: e.member, AgeMS: now.Sub(e.progress).Milliseconds()}
}

// addNewer adds what the sender of the digest that was merged last lacks.
func (t *Table) addNewer(out *Sync, now time.Time) {
	switch {
	case t.selfReported.key != keyOf(&t.self), t.selfReported.revision < t.self.Revision:
		out.Records = append(out.Records, Record{Member: t.self})
	case t.selfReported.sequence < t.self.Sequence:
		out.Digest = livenessOf(t.selfReported.key, &t.self).appendTo(out.Digest)
	}
	for _, e := range t.peers {
		switch {
		case e.state == cluster.Dead:
		case e.pass != t.pass || e.bodyAhead():
			out.Records = append(out.Records, e.record(now))
		case e.reported.sequence < e.member.Sequence:
			out.Digest = livenessOf(e.key, &e.member).appendTo(out.Digest)
		}
	}
}

// bodyAhead reports whether the body is newer than the last digest said. One
// that differs in the leaving mark alone counts as newer.
func (e *entry) bodyAhead() bool {
	return e.reported.revision < e.member.Revision || e.member.State == cluster.Leaving && !e.reported.leaving
}

// wanted returns the records that a peer asked for, each once.
func (t *Table) wanted(keys []uint64, now time.Time) (records []Record) {
	t.pass++
	self, sent := keyOf(&t.self), false
	for _, key := range keys {
		if key == self && !sent {
			sent = true
			records = append(records, Record{Member: t.self})
		}
		if e := t.byKey[key]; e != nil && e.pass != t.pass && e.state != cluster.Dead {
			e.pass = t.pass
			records = append(records, e.record(now))
		}
	}
	return records
}

// exchange sends the own digest to a peer, takes in its answer and sends the
// records that the peer asked for.
func (t *Table) exchange(ctx context.Context, addr string) error {
	t.mu.Lock()
	t.step()
	began := t.lastStep
	out := t.firstMessage(began)
	t.mu.Unlock()

	var in Sync
	t.exchanges.Inc(1)
	if err := t.cfg.Caller.Call(ctx, addr, peer.SyncMembers, out, &in); err != nil {
		t.failures.Inc(1)
		return err
	}
	records, err := t.takeReply(&in, began)
	if err != nil || len(records) == 0 {
		return err
	}
	if err := t.cfg.Caller.Call(ctx, addr, peer.SyncMembers, &Sync{Records: records}, &Sync{}); err != nil {
		// The peer asks again with its next exchange, and its answer was merged.
		t.failures.Inc(1)
	}
	return nil
}

// takeReply merges the answer to a digest and returns the records that the peer
// asked for.
func (t *Table) takeReply(in *Sync, began time.Time) ([]Record, error) {
	digest, err := in.check()
	if err != nil {
		t.failures.Inc(1)
		return nil, err
	}
	t.mu.Lock()
	t.step()
	if began.Before(t.resumed) {
		// The answer is from before a pause and shows nobody's progress since.
		t.mu.Unlock()
		return nil, result.New(result.PeerNoAnswer, "the process was paused during the exchange")
	}
	heard := t.merge(in.Records, t.lastStep)
	progressed, _ := t.mergeDigest(digest, t.lastStep)
	records := t.wanted(in.Want, t.lastStep)
	t.mu.Unlock()
	t.report(append(heard, progressed...))
	return records, nil
}
