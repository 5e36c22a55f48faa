package entry

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/description"
	"github.com/sequoiacove/sequoiacove/pkg/request"
)

func BenchmarkLookup(b *testing.B) {
	w := newWorld(b, twoRegions)
	e := w.entries["a1"]
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		var ctx fasthttp.RequestCtx
		ctx.Request.SetRequestURI(fmt.Sprintf("/v1/lookup?service=calls&block=10.%d.%d.1", i>>8&255, i&255))
		e.serveHTTP(&ctx)
		if ctx.Response.StatusCode() != 200 {
			b.Fatal(ctx.Response.String())
		}
	}
}

// BenchmarkRoute measures a request in the own domain and one that is
// forwarded, without network and upstream.
func BenchmarkRoute(b *testing.B) {
	for _, own := range []bool{true, false} {
		b.Run(fmt.Sprintf("own=%v", own), func(b *testing.B) {
			w := newWorld(b, map[string]string{"a1": "north-a", "b1": "north-b", "s1": "south-a"})
			e, domain := w.entries["a1"], "north-a"
			if !own {
				domain = "north-b"
			}
			w.net.entries["peer-b1"].opt.Admission = w.adm["b1"]
			b.ReportAllocs()
			for b.Loop() {
				req := &request.Request{Service: "calls", Method: "GET", Path: "/x", Idempotent: true, Deadline: w.clock.Now().Add(time.Second), Trace: e.newTrace()}
				if _, err := e.routes.Choose("calls"); err != nil {
					b.Fatal(err)
				}
				a := &attempt{entry: e, view: e.view.Load(), req: req}
				if _, err := a.inDomain(context.Background(), domain); err != nil {
					b.Fatal(err)
				}
				w.adm["a1"].ran, w.adm["b1"].ran = nil, nil
			}
		})
	}
}

// BenchmarkServe measures a request through the caller API over loopback TCP.
func BenchmarkServe(b *testing.B) {
	w := newWorld(b, map[string]string{"a1": "north-a", "b1": "north-b", "s1": "south-a"})
	url := serve(b, w.entries["a1"]) + "/v1/services/calls/x"
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI(url)
	client := &fasthttp.Client{}
	b.ReportAllocs()
	for b.Loop() {
		if err := client.Do(req, resp); err != nil || resp.StatusCode() != 200 {
			b.Fatal(err, resp.String())
		}
		for _, adm := range w.adm {
			adm.ran = nil
		}
	}
}

// largeSnapshot returns a snapshot with n members over 20 regions of three
// domains, each with the shares of two services.
func largeSnapshot(n int) *cluster.Snapshot {
	d := `{"regions": {`
	placement := ""
	for r := range 20 {
		if r > 0 {
			d, placement = d+",", placement+","
		}
		d += fmt.Sprintf(`"r%02d": {"domains": ["r%02d-a", "r%02d-b", "r%02d-c"]}`, r, r, r, r)
		placement += fmt.Sprintf(`"r%02d": {"share": 0.05, "domains": {"r%02d-a": 0.5, "r%02d-b": 0.25, "r%02d-c": 0.25}}`, r, r, r, r)
	}
	service := `{"regions": {` + placement + `}, "caps": {"region_share_per_second": 0.02}, "max_request_ms": 2000}`
	d += `}, "lookup": {"ttl_ms": 1000}, "services": {"calls": ` + service + `, "mail": ` + service + `}}`
	parsed, err := description.Parse([]byte(d))
	if err != nil {
		panic(err)
	}
	shares := cluster.Shares{"calls": parsed.Services["calls"].DomainShares(), "mail": parsed.Services["mail"].DomainShares()}
	s := &cluster.Snapshot{AgentIncarnation: 9, PeerShares: shares}
	s.Version = cluster.Version{Number: 9, Hash: description.Hash([]byte(d)), Body: []byte(d)}
	for i := range n {
		region := fmt.Sprintf("r%02d", i%20)
		s.Members = append(s.Members, cluster.Member{
			ID: fmt.Sprintf("instance-%04d", i), Incarnation: 1, EntryIncarnation: 1, Region: region,
			Domain: region + "-" + string(rune('a'+i/20%3)), State: cluster.Serving, CallerAddress: "127.0.0.1:7000",
			EntryAddress: "127.0.0.1:7001", AgentAddress: "127.0.0.1:7003", Version: 9, Hash: s.Version.Hash, Shares: shares,
		})
	}
	return s
}

// BenchmarkSnapshot measures one push with the version already in force.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{12, 100, 1000, 3300} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			s := largeSnapshot(n)
			e := newWorld(b, nil).start("instance-0000", "r00-a")
			_, err := e.Apply(s)
			require.NoError(b, err)
			s.Version.Body = nil
			body, err := cbor.Marshal(s)
			require.NoError(b, err)
			b.ReportAllocs()
			for b.Loop() {
				e.applied = order{}
				if _, err := e.HandleSnapshot(body); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(body)), "message-bytes")
		})
	}
}

// BenchmarkSnapshotDelta measures a push that changes the shares of no member,
// of one or of a 15th, from decoding to the report. A 15th is what changes per
// push when the loads of all members change every 3 s.
func BenchmarkSnapshotDelta(b *testing.B) {
	for _, n := range []int{12, 100, 1000, 3300} {
		for _, changes := range []int{0, 1, max(n/15, 2)} {
			b.Run(fmt.Sprintf("members=%d/changes=%d", n, changes), func(b *testing.B) {
				s := largeSnapshot(n)
				e := newWorld(b, nil).start("instance-0000", "r00-a")
				_, err := e.Apply(s)
				require.NoError(b, err)
				s.Version.Body = nil
				s.Base, s.Sequence, s.Members = 1, 2, s.Members[n/2:n/2+changes]
				body, err := cbor.Marshal(s)
				require.NoError(b, err)
				b.ReportMetric(float64(len(body)), "message-bytes")
				b.ReportAllocs()
				for b.Loop() {
					e.applied = order{s.AgentIncarnation, s.Base}
					if _, err := e.HandleSnapshot(body); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// targetBlocks returns the 200,000 client blocks of the target, adjacent /24
// prefixes over 20 regions.
func targetBlocks() map[string]string {
	blocks := make(map[string]string, 200_000)
	for i := range 200_000 {
		addr := netip.AddrFrom4([4]byte{byte(11 + i>>16), byte(i >> 8), byte(i), 0})
		blocks[netip.PrefixFrom(addr, 24).String()] = fmt.Sprintf("r%02d", i*7%20)
	}
	return blocks
}

// Guards against a look-up table of 200,000 blocks that does not fit the memory
// target of a node, and against wrong matches.
func TestBlockTableSize(t *testing.T) {
	blocks := targetBlocks()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table := newBlockTable(blocks)
	runtime.GC()
	runtime.ReadMemStats(&after)
	size := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("%d blocks: %d ranges, %d KiB", len(blocks), len(table.v4), size>>10)
	require.Less(t, size, int64(4<<20))
	for i := 0; i < 200_000; i += 997 {
		addr := netip.AddrFrom4([4]byte{byte(11 + i>>16), byte(i >> 8), byte(i), 200})
		require.Equal(t, fmt.Sprintf("r%02d", i*7%20), table.region(addr))
	}
	runtime.KeepAlive(blocks)
}

func BenchmarkBlockTable(b *testing.B) {
	blocks := targetBlocks()
	table := newBlockTable(blocks)
	b.Run("match", func(b *testing.B) {
		for i := uint32(0); b.Loop(); i += 2654435761 {
			table.region(netip.AddrFrom4([4]byte{byte(11 + i>>30), byte(i >> 16), byte(i >> 8), byte(i)}))
		}
	})
	b.Run("build", func(b *testing.B) {
		for b.Loop() {
			newBlockTable(blocks)
		}
	})
}
