package harness

import (
	"fmt"
	"net"
	"sync"
)

// ports hands out free ports that the system chose. It never hands out one
// twice on an address, because a port is free again until its process listens.
type ports struct {
	mu   sync.Mutex
	used map[string]bool
}

func newPorts() *ports { return &ports{used: make(map[string]bool)} }

const portAttempts = 100

// free returns an address on ip whose port is free for both TCP and UDP.
func (p *ports) free(ip string) (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range portAttempts {
		addr, err := probe(ip)
		if err == nil && !p.used[addr] {
			p.used[addr] = true
			return addr, nil
		}
	}
	return "", fmt.Errorf("no free port on %s in %d attempts", ip, portAttempts)
}

func probe(ip string) (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	defer listener.Close()
	addr := listener.Addr().String()
	packets, err := net.ListenPacket("udp", addr)
	if err != nil {
		return "", err
	}
	return addr, packets.Close()
}
