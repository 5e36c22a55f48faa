package membership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/peer"
)

// loopback is a Caller that runs the receiver's part of an exchange with the
// codec of the transport and counts the bytes.
type loopback struct {
	to    *Table
	bytes int
}

func (l *loopback) Call(ctx context.Context, _ string, _ peer.MessageType, msg, reply any) error {
	body, err := peer.Encode(msg)
	if err != nil {
		return err
	}
	out, err := l.to.HandleSync(ctx, body)
	if err != nil {
		return err
	}
	answer, err := peer.Encode(out)
	if err != nil {
		return err
	}
	l.bytes += len(body) + len(answer)
	return peer.Decode(answer, reply)
}

// sample returns a record with two services over six failure domains.
func sample(i int, sequence uint64) cluster.Member {
	m := cluster.Member{
		ID: fmt.Sprintf("cantabria-a-%d", i), Incarnation: 1_790_000_000_000_000_000, Sequence: sequence,
		Region: "cantabria", Domain: "cantabria-a", State: cluster.Serving,
		CallerAddress: "10.1.2.3:7000", EntryAddress: "10.1.2.3:7001", AgentAddress: fmt.Sprintf("10.1.%d.%d:7003", i/250, i%250),
		EntryIncarnation: 1_790_000_000_000_000_001, Version: 12,
		Hash:   "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08",
		Shares: make(cluster.Shares),
	}
	for _, service := range []string{"reservas", "cobros"} {
		shares := make(map[string]float64)
		for _, domain := range []string{"cantabria-a", "cantabria-b", "asturias-a", "asturias-b", "euskadi-a", "euskadi-b"} {
			shares[domain] = 1.0 / 6
		}
		m.Shares[service] = shares
		m.Pools = append(m.Pools, cluster.PoolReport{Service: service, Slots: 20, InUse: 7, Queued: 1})
	}
	return m
}

// benchTable holds n-1 peers at even or odd sequences.
func benchTable(n, self int, caller peer.Caller) *Table {
	t := New(Config{
		Self: sample(self, 1), Caller: caller, Logger: event.Discard(),
		Random: rand.New(rand.NewPCG(1, 2)), DeadAfter: time.Hour, SuspectAfter: time.Hour,
	})
	for i := range n {
		if i != self {
			t.add(&Record{Member: sample(i, 1)}, t.lastStep)
		}
	}
	// The own body counts as old, so that it does not travel.
	t.changedAt = time.Time{}
	return t
}

// BenchmarkExchange measures one table exchange, both sides together, in which
// each side brings news of half of the members.
func BenchmarkExchange(b *testing.B) { benchExchange(b, 0) }

// BenchmarkExchangeOneChange also changes the body of one member.
func BenchmarkExchangeOneChange(b *testing.B) { benchExchange(b, 1) }

func benchExchange(b *testing.B, changes uint64) {
	for _, n := range []int{12, 100, 1000, 3300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			wire := &loopback{}
			left := benchTable(n, 0, wire)
			wire.to = benchTable(n, 1, nil)
			sequence := uint64(1)
			b.ReportAllocs()
			for b.Loop() {
				sequence++
				for i := 2; i < n; i++ {
					side := left
					if i%2 == 0 {
						side = wire.to
					}
					side.peers[sampleID(i)].member.Sequence = sequence
				}
				left.self.Sequence, wire.to.self.Sequence = sequence, sequence
				// Odd sequences change a member that the left side knows
				// better, even ones a member of the other side.
				if sequence%2 == 1 {
					left.peers[sampleID(3)].member.Revision += changes
				} else {
					wire.to.peers[sampleID(2)].member.Revision += changes
				}
				if err := left.exchange(context.Background(), ""); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(wire.bytes)/float64(b.N), "wire-B/op")
		})
	}
}

func sampleID(i int) string { return fmt.Sprintf("cantabria-a-%d", i) }
