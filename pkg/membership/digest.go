package membership

import (
	"encoding/binary"
	"hash/fnv"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

const (
	keyBytes = 8
	// maxDigest is the size of a full table with the own record.
	maxDigest = maxMembers + 1
	// maxLivenessBytes is the largest size of one packed liveness.
	maxLivenessBytes = keyBytes + 2*binary.MaxVarintLen64
)

// liveness is what a digest says about a member. In packed form it takes about
// 13 bytes, where a whole record takes 800.
type liveness struct {
	// key stands for id and incarnation.
	key      uint64
	sequence uint64
	revision uint64
	leaving  bool
}

// keyOf hashes id and incarnation. At 3,300 members and 1,100 restarts a day, the
// chance that a new 64-bit key meets a known one is below 1e-12 per day.
func keyOf(m *cluster.Member) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(m.ID))
	// The leading zero byte separates the id from the incarnation.
	var incarnation [9]byte
	binary.BigEndian.PutUint64(incarnation[1:], m.Incarnation)
	_, _ = h.Write(incarnation[:])
	return h.Sum64()
}

func livenessOf(key uint64, m *cluster.Member) liveness {
	return liveness{key, m.Sequence, m.Revision, m.State == cluster.Leaving}
}

// appendTo packs l: the key, the sequence, and the revision with the leaving
// mark in its lowest bit.
func (l liveness) appendTo(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, l.key)
	b = binary.AppendUvarint(b, l.sequence)
	revision := l.revision << 1
	if l.leaving {
		revision |= 1
	}
	return binary.AppendUvarint(b, revision)
}

// unpackDigest reads a packed digest. Numbers that no valid record has are
// refused, so that they cannot block later ones.
func unpackDigest(b []byte) ([]liveness, error) {
	if len(b) > maxDigest*maxLivenessBytes {
		return nil, result.New(result.PeerRefused, "digest of %d bytes", len(b))
	}
	digest := make([]liveness, 0, len(b)/(keyBytes+2))
	for len(b) > 0 {
		if len(digest) == maxDigest {
			return nil, result.New(result.PeerRefused, "digest of more than %d members", maxDigest)
		}
		if len(b) < keyBytes {
			return nil, result.New(result.PeerProtocol, "digest ends within a key")
		}
		l := liveness{key: binary.BigEndian.Uint64(b)}
		var revision uint64
		var ok bool
		if l.sequence, b, ok = uvarint(b[keyBytes:]); !ok {
			return nil, result.New(result.PeerProtocol, "digest with an invalid sequence")
		}
		if revision, b, ok = uvarint(b); !ok {
			return nil, result.New(result.PeerProtocol, "digest with an invalid revision")
		}
		l.revision, l.leaving = revision>>1, revision&1 == 1
		if l.sequence >= maxOrder || l.revision >= maxOrder {
			return nil, result.New(result.PeerProtocol, "digest with a number above the bound")
		}
		digest = append(digest, l)
	}
	return digest, nil
}

func uvarint(b []byte) (value uint64, rest []byte, ok bool) {
	value, n := binary.Uvarint(b)
	if n <= 0 {
		return 0, nil, false
	}
	return value, b[n:], true
}
