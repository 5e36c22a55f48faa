package agent

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/membership"
	"github.com/sequoiacove/sequoiacove/pkg/peer"
)

// BenchmarkBuildSnapshot measures building a snapshot of n members with the
// shares of two services over 60 domains, of which no or one member changed.
func BenchmarkBuildSnapshot(b *testing.B) {
	shares := make(cluster.Shares)
	for _, service := range []string{"calls", "mail"} {
		shares[service] = make(map[string]float64)
		for d := range 60 {
			shares[service][fmt.Sprintf("r%02d-%d", d/3, d%3)] = 1.0 / 60
		}
	}
	for _, n := range []int{12, 100, 1000, 3300} {
		for changes := range uint64(2) {
			b.Run(fmt.Sprintf("members=%d/changes=%d", n, changes), func(b *testing.B) {
				f := newLinkFixture()
				revision := uint64(1)
				hear := func(i int) {
					m := cluster.Member{ID: fmt.Sprint("m", i), Incarnation: 1, EntryIncarnation: 1, Sequence: revision, Revision: revision, Region: "r", Domain: "d", State: cluster.Serving, AgentAddress: "127.0.0.1:2", Shares: shares}
					body, err := peer.Encode(&membership.Sync{Records: []membership.Record{{Member: m}}})
					if err != nil {
						b.Fatal(err)
					}
					if _, err := f.members.HandleSync(context.Background(), body); err != nil {
						b.Fatal(err)
					}
				}
				for i := range n {
					hear(i)
				}
				b.ReportAllocs()
				for b.Loop() {
					b.StopTimer()
					if revision += changes; changes > 0 {
						hear(0)
					}
					f.now = f.now.Add(time.Microsecond)
					b.StartTimer()
					s := f.link.snapshot()
					f.link.delta.answered(s, &cluster.EntryReport{AppliedIncarnation: s.AgentIncarnation, AppliedSequence: s.Sequence}, "a")
				}
			})
		}
	}
}
