package entry

import (
	"bytes"
	"encoding/binary"
	"net/netip"
	"sort"
)

// blockTable maps addresses to regions by longest prefix match. Prefixes are
// flattened into disjoint ranges that are sorted by their first address, so a
// match is one binary search over a flat array: 6 bytes per range for IPv4 and
// 18 for IPv6.
type blockTable struct {
	regions []string
	v4      []uint32
	v4Index []uint16
	v6      [][16]byte
	v6Index []uint16
}

// noRegion marks ranges that no block covers.
const noRegion = 0

// prefixEntry is a block before flattening.
type prefixEntry struct {
	prefix netip.Prefix
	region uint16
}

func newBlockTable(blocks map[string]string) *blockTable {
	t := &blockTable{regions: []string{""}}
	index := make(map[string]uint16)
	var v4, v6 []prefixEntry
	for text, region := range blocks {
		prefix, err := netip.ParsePrefix(text)
		if err != nil {
			continue
		}
		entry := prefixEntry{prefix.Masked(), t.intern(index, region)}
		if prefix.Addr().Is4() {
			v4 = append(v4, entry)
		} else {
			v6 = append(v6, entry)
		}
	}
	flatten(v4, func(start netip.Addr, region uint16) {
		a := start.As4()
		t.v4, t.v4Index = appendRange(t.v4, t.v4Index, binary.BigEndian.Uint32(a[:]), region)
	})
	flatten(v6, func(start netip.Addr, region uint16) {
		t.v6, t.v6Index = appendRange(t.v6, t.v6Index, start.As16(), region)
	})
	return t
}

// intern returns the index of a region, adding it when it is new.
func (t *blockTable) intern(index map[string]uint16, region string) uint16 {
	i, ok := index[region]
	if !ok {
		i = uint16(len(t.regions))
		index[region] = i
		t.regions = append(t.regions, region)
	}
	return i
}

// appendRange adds a range; a later range with the same start replaces it.
func appendRange[A comparable](starts []A, index []uint16, start A, region uint16) ([]A, []uint16) {
	if n := len(starts); n > 0 && starts[n-1] == start {
		index[n-1] = region
		return starts, index
	}
	return append(starts, start), append(index, region)
}

// flatten emits the starts of disjoint ranges in order. Prefixes nest but never
// cross, so a stack of the enclosing ones is enough.
func flatten(entries []prefixEntry, emit func(start netip.Addr, region uint16)) {
	sort.Slice(entries, func(i, j int) bool {
		a, b := entries[i], entries[j]
		if c := a.prefix.Addr().Compare(b.prefix.Addr()); c != 0 {
			return c < 0
		}
		if a.prefix.Bits() != b.prefix.Bits() {
			return a.prefix.Bits() < b.prefix.Bits()
		}
		return a.region < b.region
	})
	var open []prefixEntry
	closeTop := func() {
		top := open[len(open)-1]
		open = open[:len(open)-1]
		after := lastAddr(top.prefix).Next()
		if after.IsValid() {
			emit(after, enclosing(open))
		}
	}
	for _, e := range entries {
		for len(open) > 0 && !open[len(open)-1].prefix.Contains(e.prefix.Addr()) {
			closeTop()
		}
		emit(e.prefix.Addr(), e.region)
		open = append(open, e)
	}
	for len(open) > 0 {
		closeTop()
	}
}

// enclosing returns the region of the innermost open prefix.
func enclosing(open []prefixEntry) uint16 {
	if len(open) == 0 {
		return noRegion
	}
	return open[len(open)-1].region
}

func lastAddr(p netip.Prefix) netip.Addr {
	raw := p.Addr().AsSlice()
	for bit := p.Bits(); bit < len(raw)*8; bit++ {
		raw[bit/8] |= 0x80 >> (bit % 8)
	}
	last, _ := netip.AddrFromSlice(raw)
	return last
}

// region returns the region of the longest block that contains addr, or "".
func (t *blockTable) region(addr netip.Addr) string {
	addr = addr.Unmap()
	if addr.Is4() {
		a := addr.As4()
		key := binary.BigEndian.Uint32(a[:])
		i := sort.Search(len(t.v4), func(i int) bool { return t.v4[i] > key })
		return t.at(t.v4Index, i)
	}
	key := addr.As16()
	i := sort.Search(len(t.v6), func(i int) bool { return bytes.Compare(t.v6[i][:], key[:]) > 0 })
	return t.at(t.v6Index, i)
}

// at returns the region of the range before position i, or "".
func (t *blockTable) at(index []uint16, i int) string {
	if i == 0 {
		return ""
	}
	return t.regions[index[i-1]]
}
