package entry

import (
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// wireSnapshot is a cluster.Snapshot whose members' shares are not decoded yet.
// They are most of a snapshot and are needed only while a service moves.
type wireSnapshot struct {
	cluster.Snapshot
	Members []wireMember `cbor:"mem"`
}

type wireMember struct {
	cluster.Member
	Shares cbor.RawMessage `cbor:"sh,omitempty"`
}

// lateShares decodes the shares of members on first use.
type lateShares struct {
	mu      sync.Mutex
	raw     map[string]cbor.RawMessage
	decoded map[string]cluster.Shares
}

// of returns the shares of a member; shares that cannot be decoded count as not
// reported.
func (l *lateShares) of(m *cluster.Member) cluster.Shares {
	if m.Shares != nil {
		return m.Shares
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if shares, ok := l.decoded[m.ID]; ok {
		return shares
	}
	var shares cluster.Shares
	if raw := l.raw[m.ID]; len(raw) > 0 && snapshotDecoder.Unmarshal(raw, &shares) != nil {
		shares = nil
	}
	l.decoded[m.ID] = shares
	return shares
}

// decodeSnapshot decodes a snapshot without the shares of its members.
func decodeSnapshot(body []byte) (*cluster.Snapshot, *lateShares, error) {
	var w wireSnapshot
	if err := snapshotDecoder.Unmarshal(body, &w); err != nil {
		return nil, nil, result.New(result.PeerProtocol, "snapshot: %v", err)
	}
	late := &lateShares{raw: make(map[string]cbor.RawMessage, len(w.Members)), decoded: make(map[string]cluster.Shares)}
	s := &w.Snapshot
	s.Members = make([]cluster.Member, 0, len(w.Members))
	for _, m := range w.Members {
		late.raw[m.ID] = m.Shares
		s.Members = append(s.Members, m.Member)
	}
	return s, late, nil
}
