package membership

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/peer"
)

// Guards against exchanges from outside that crash the agent, change its own
// record, or give members a state that only the own view can give.
func FuzzHandleSync(f *testing.F) {
	m := cluster.Member{
		ID: "x", Incarnation: 3, Sequence: 4, Region: "r", Domain: "d", State: cluster.Serving,
		AgentAddress: "127.0.0.1:1", Shares: cluster.Shares{"s": {"d": 1}},
	}
	self := m
	self.ID, self.Incarnation = "i00", 1<<61
	last := self
	last.Incarnation = 1<<64 - 1
	for _, records := range [][]Record{{{Member: m}}, {{Member: self}}, {{Member: last}}, {{Member: m, AgeMS: -1 << 62}}, {{Member: m, AgeMS: 1 << 62}}, nil} {
		body, err := peer.Encode(&Sync{Records: records})
		require.NoError(f, err)
		f.Add(body)
	}
	own := liveness{key: keyOf(&cluster.Member{ID: "i00", Incarnation: 1}), sequence: 1 << 40, revision: 1 << 40, leaving: true}
	for _, in := range []Sync{
		{Digest: livenessOf(keyOf(&m), &m).appendTo(own.appendTo(nil)), Records: []Record{{Member: m}}},
		{Digest: livenessOf(keyOf(&last), &last).appendTo(nil), Want: []uint64{0, own.key, own.key}},
		{Digest: []byte{1, 2, 3, 4, 5, 6, 7, 8, 0xff}},
	} {
		body, err := peer.Encode(&in)
		require.NoError(f, err)
		f.Add(body)
	}
	f.Add([]byte{0xa1, 0x61, 'r', 0x9a, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, body []byte) {
		s := newSim(t, 1)
		table := s.order[0].table
		before := table.Self()
		if _, err := table.HandleSync(context.Background(), body); err != nil {
			return
		}
		after := table.Self()
		require.GreaterOrEqual(t, after.Incarnation, before.Incarnation)
		after.Incarnation, after.Sequence = before.Incarnation, before.Sequence
		require.Equal(t, before, after)
		for _, m := range table.Members() {
			require.NotEmpty(t, m.ID)
			require.Contains(t, []cluster.State{cluster.Serving, cluster.Leaving, cluster.Suspect}, m.State)
		}
		table.beat(0)
		for range 10 {
			s.now = s.now.Add(defaultInterval)
			table.Members()
		}
		for id, state := range s.order[0].states() {
			if id != "i00" {
				require.Equal(t, cluster.Dead, state, "%s is kept alive without progress", id)
			}
		}
	})
}
