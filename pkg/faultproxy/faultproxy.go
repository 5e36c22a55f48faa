// Package faultproxy holds small relays that inject faults between processes.
//
// A relay listens on a loopback port that the system chooses and passes traffic
// on to one target. Go calls change its faults while traffic flows. A TCP relay
// can delay, limit the bandwidth, cut, go silent on established connections
// while new ones work, pass half an answer, or discard an answer after the
// request took effect. A UDP relay can delay, cut, go silent on established
// flows, lose and reorder datagrams.
package faultproxy

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// Faults are the faults that both kinds of relay have.
type Faults struct {
	// Delay is added in each direction.
	Delay time.Duration
	// BytesPerSecond limits each flow in each direction; 0 means no limit.
	BytesPerSecond int64
	// Cut drops everything: TCP connections are closed and refused, datagrams
	// are dropped.
	Cut bool
	// Blackhole swallows everything without closing or refusing anything.
	Blackhole bool
	// Sources limits Cut and Blackhole to these source addresses; empty means all.
	Sources []netip.Addr
}

func (f Faults) cuts(source netip.Addr) bool       { return f.Cut && f.applies(source) }
func (f Faults) blackholes(source netip.Addr) bool { return f.Blackhole && f.applies(source) }

func (f Faults) applies(source netip.Addr) bool {
	if len(f.Sources) == 0 {
		return true
	}
	for _, a := range f.Sources {
		if a == source {
			return true
		}
	}
	return false
}

// faultState guards the faults of a relay.
type faultState struct {
	mu     sync.Mutex
	faults Faults
}

func (s *faultState) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *faultState) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// transmission returns how long n bytes occupy a link of the given rate.
func transmission(n int, bytesPerSecond int64) time.Duration {
	if bytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(n) / float64(bytesPerSecond) * float64(time.Second))
}

func sourceOf(addr net.Addr) netip.Addr {
	parsed, err := netip.ParseAddrPort(addr.String())
	if err != nil {
		return netip.Addr{}
	}
	return parsed.Addr().Unmap()
}
