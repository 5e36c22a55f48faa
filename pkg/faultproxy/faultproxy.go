// Package faultproxy provides TCP and UDP relays that inject network faults
// between processes.
//
// A relay listens on a loopback port, by default one that the system chooses,
// and forwards traffic to one target. Its faults can be changed while traffic
// flows. A TCP relay can add delay, limit the bandwidth, disconnect, blackhole
// established connections while new ones work, truncate a response, or drop a
// response after the request took effect. A UDP relay can add delay, limit the
// bandwidth, disconnect, blackhole established flows, and drop and reorder
// datagrams.
package faultproxy

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// Faults are the faults that TCP and UDP relays have in common.
type Faults struct {
	// Delay is the one-way delay, added in each direction.
	Delay time.Duration
	// BytesPerSecond is the bandwidth limit of each connection or flow in each
	// direction; 0 means no limit.
	BytesPerSecond int64
	// Cut disconnects the target: TCP connections are closed and refused,
	// datagrams are dropped.
	Cut bool
	// Blackhole drops all data. The relay keeps accepting connections and does not
	// close established ones.
	Blackhole bool
	// Sources restricts Cut and Blackhole to these source addresses; empty means
	// all sources.
	Sources []netip.Addr
}

func (f Faults) cuts(source netip.Addr) bool       { return f.Cut && f.appliesTo(source) }
func (f Faults) blackholes(source netip.Addr) bool { return f.Blackhole && f.appliesTo(source) }

func (f Faults) appliesTo(source netip.Addr) bool {
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

// faultState holds the current faults of a relay under a mutex.
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

// transmissionTime returns how long n bytes take at the given rate.
func transmissionTime(n int, bytesPerSecond int64) time.Duration {
	if bytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(n) / float64(bytesPerSecond) * float64(time.Second))
}

// sourceAddr returns the IP address of addr, or the zero Addr if it has none.
func sourceAddr(addr net.Addr) netip.Addr {
	parsed, err := netip.ParseAddrPort(addr.String())
	if err != nil {
		return netip.Addr{}
	}
	return parsed.Addr().Unmap()
}
