// Package cluster holds the records that agents and entries share about the
// instances of the system and the upstreams they serve.
//
// Agents exchange Member records by heartbeats. An agent pushes what it knows to
// the entry of its instance as a Snapshot, and the entry answers with an
// EntryReport, from which the agent updates its own record.
//
// The owner of a pool follows from the live members alone by rendezvous hashing:
// instances that know the same members choose the same owner without
// agreement, and a lost member changes the owner of its own pools only.
package cluster

import (
	"hash/fnv"
	"sort"
)

// State is the state of a member or an upstream.
type State string

// States of members and upstreams.
const (
	Serving State = "serving"
	Leaving State = "leaving"
	Suspect State = "suspect"
	Dead    State = "dead"
)

// Shares maps a service to the effective share of each failure domain; the
// shares of one service sum to 1.
type Shares map[string]map[string]float64

// Demand maps a service to the requests per second that callers send to one
// instance.
type Demand map[string]float64

// Member is the record of one instance of the system. Only the instance itself
// raises Sequence and Revision, and a restart raises Incarnation.
type Member struct {
	ID          string `cbor:"id" json:"id"`
	Incarnation uint64 `cbor:"inc" json:"incarnation"`
	Sequence    uint64 `cbor:"seq" json:"sequence"`
	// Revision rises with each change of the body, which is everything but the
	// identity and Sequence.
	Revision uint64 `cbor:"rev" json:"revision"`
	Region   string `cbor:"reg" json:"region"`
	Domain   string `cbor:"dom" json:"domain"`
	State    State  `cbor:"st" json:"state"`
	// CallerAddress serves callers over HTTP.
	CallerAddress string `cbor:"ca" json:"caller_address"`
	// EntryAddress serves forwarded requests over QUIC.
	EntryAddress string `cbor:"ea" json:"entry_address"`
	// AgentAddress serves agent messages over QUIC.
	AgentAddress string `cbor:"aa" json:"agent_address"`
	// EntryIncarnation changes when the entry process restarts; 0 means that
	// the entry does not answer its agent.
	EntryIncarnation uint64       `cbor:"ei" json:"entry_incarnation"`
	Version          uint64       `cbor:"v" json:"version"`
	Hash             string       `cbor:"vh" json:"hash"`
	Shares           Shares       `cbor:"sh,omitempty" json:"shares,omitempty"`
	Pools            []PoolReport `cbor:"po,omitempty" json:"pools,omitempty"`
	Demand           Demand       `cbor:"de,omitempty" json:"demand,omitempty"`
}

// Live returns the members that are not dead and whose request path is known to
// run.
func Live(members []Member) []Member {
	var live []Member
	for _, m := range members {
		if m.State != Dead && m.EntryIncarnation != 0 {
			live = append(live, m)
		}
	}
	return live
}

// PoolReport is the load of one pool as its owner sees it.
type PoolReport struct {
	Service string `cbor:"s" json:"service"`
	Slots   int    `cbor:"sl" json:"slots"`
	InUse   int    `cbor:"iu" json:"in_use"`
	Queued  int    `cbor:"q" json:"queued"`
}

// UpstreamRecord is one upstream as the platform's instance list shows it.
type UpstreamRecord struct {
	ID      string `cbor:"id" json:"id"`
	Service string `cbor:"s" json:"service"`
	Region  string `cbor:"r" json:"region"`
	Domain  string `cbor:"d" json:"domain"`
	Address string `cbor:"a" json:"address"`
	State   State  `cbor:"st" json:"state"`
	Slots   int    `cbor:"sl" json:"slots"`
}

// Snapshot is what an agent pushes to the entry of its instance; each snapshot
// replaces the one before, except that its members may be a delta.
type Snapshot struct {
	// AgentIncarnation and Sequence order snapshots.
	AgentIncarnation uint64 `cbor:"ai" json:"agent_incarnation"`
	Sequence         uint64 `cbor:"seq" json:"sequence"`
	// Base is the sequence of the snapshot of the same incarnation that Members
	// and Removed change; 0 means that Members is complete.
	Base    uint64  `cbor:"bs,omitempty" json:"base,omitempty"`
	Version Version `cbor:"ver" json:"version"`
	// Members holds all known members including the own one, or those that
	// changed since Base. A changed Sequence alone is no change.
	Members []Member `cbor:"mem" json:"members"`
	// Removed holds the ids of members that were forgotten since Base.
	Removed []string `cbor:"rm,omitempty" json:"removed,omitempty"`
	// Upstreams holds the upstreams of the own failure domain.
	Upstreams []UpstreamRecord `cbor:"ups" json:"upstreams"`
	// PeerShares is the mean of the effective shares of the live peers.
	PeerShares Shares `cbor:"ps,omitempty" json:"peer_shares,omitempty"`
	// CheckpointShares are the shares of the last checkpoint in the table.
	CheckpointShares Shares `cbor:"cs,omitempty" json:"checkpoint_shares,omitempty"`
}

// Version is an accepted version of the description. Number 0 means none.
type Version struct {
	Number uint64 `cbor:"n" json:"number"`
	Hash   string `cbor:"h" json:"hash"`
	// Body is the description as JSON; Hash is its SHA-256 in hexadecimal.
	Body []byte `cbor:"b" json:"-"`
	// PreviousBody is the description of the version before, or empty.
	PreviousBody []byte `cbor:"pb,omitempty" json:"-"`
	// AcceptedUnixMS is the acceptance time on the accepting agent's clock.
	AcceptedUnixMS int64  `cbor:"at" json:"accepted_unix_ms"`
	PatchID        string `cbor:"pi" json:"patch_id"`
	Operator       string `cbor:"op" json:"operator"`
}

// EntryReport is the entry's answer to a snapshot.
type EntryReport struct {
	Incarnation uint64 `cbor:"inc" json:"incarnation"`
	// AppliedIncarnation and AppliedSequence name the last snapshot that the
	// entry applied. An agent whose snapshot they do not name sends a full one.
	AppliedIncarnation uint64 `cbor:"api,omitempty" json:"applied_incarnation,omitempty"`
	AppliedSequence    uint64 `cbor:"aps,omitempty" json:"applied_sequence,omitempty"`

	Leaving bool         `cbor:"lv" json:"leaving"`
	Version Version      `cbor:"ver" json:"version"`
	Shares  Shares       `cbor:"sh,omitempty" json:"shares,omitempty"`
	Pools   []PoolReport `cbor:"po,omitempty" json:"pools,omitempty"`
	Demand  Demand       `cbor:"de,omitempty" json:"demand,omitempty"`
}

// Owner returns the member that owns key among candidates by rendezvous
// hashing; ok is false when there are no candidates.
func Owner(key string, candidates []Member) (owner Member, ok bool) {
	ranked := Rank(key, candidates)
	if len(ranked) == 0 {
		return Member{}, false
	}
	return ranked[0], true
}

// Rank orders candidates by their rendezvous hash for key, highest first, so
// that a lost owner is followed by the same next one everywhere.
func Rank(key string, candidates []Member) []Member {
	ranked := append([]Member(nil), candidates...)
	weights := make(map[string]uint64, len(ranked))
	for _, m := range ranked {
		weights[m.ID] = weight(key, m.ID)
	}
	sort.Slice(ranked, func(i, j int) bool {
		wi, wj := weights[ranked[i].ID], weights[ranked[j].ID]
		if wi != wj {
			return wi > wj
		}
		return ranked[i].ID < ranked[j].ID
	})
	return ranked
}

func weight(key, id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(key))
	h.Write([]byte{0})
	h.Write([]byte(id))
	return mix(h.Sum64())
}

// mix spreads the low entropy of FNV on short, similar keys over all bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// PoolKey is the rendezvous key of the pool of a service in a failure domain.
func PoolKey(service, domain string) string { return service + "/" + domain }
