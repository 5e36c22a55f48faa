package entry

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a match that is not the longest, at the edges of nested and
// adjacent blocks of both families.
func TestBlockTableMatchesLongestPrefix(t *testing.T) {
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 1))
		blocks := map[string]string{}
		var edges []netip.Addr
		for range 1 + r.IntN(60) {
			p := randomPrefix(r)
			blocks[p.String()] = fmt.Sprint("region", r.IntN(4))
			edges = append(edges, p.Masked().Addr(), lastAddr(p.Masked()))
		}
		table := newBlockTable(blocks)
		for _, edge := range edges {
			for _, addr := range []netip.Addr{edge, edge.Next(), edge.Prev()} {
				if addr.IsValid() {
					require.Equal(t, longestMatch(blocks, addr), table.region(addr), "seed %d %v", seed, addr)
				}
			}
		}
	}
}

// randomPrefix returns masked prefixes of a small range, so that they nest.
func randomPrefix(r *rand.Rand) netip.Prefix {
	if r.IntN(3) == 0 {
		addr := netip.AddrFrom16([16]byte{0x20, 1, byte(r.IntN(2)) * 255, byte(r.IntN(4)), 15: byte(r.IntN(4))})
		return netip.PrefixFrom(addr, []int{0, 16, 24, 32, 64, 127, 128}[r.IntN(7)]).Masked()
	}
	addr := netip.AddrFrom4([4]byte{byte(r.IntN(2)) * 255, byte(r.IntN(3)) * 127, byte(r.IntN(4)), byte(r.IntN(4))})
	return netip.PrefixFrom(addr, []int{0, 1, 8, 9, 16, 24, 30, 31, 32}[r.IntN(9)]).Masked()
}

func longestMatch(blocks map[string]string, addr netip.Addr) string {
	best, region := -1, ""
	for text, name := range blocks {
		p := netip.MustParsePrefix(text)
		if p.Contains(addr) && p.Bits() > best {
			best, region = p.Bits(), name
		}
	}
	return region
}
