package harness

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
)

// firstPort and lastPort are the range of listener ports. It lies below the
// ephemeral port range, whose outgoing connections could occupy a port before the
// process listens on it.
const (
	firstPort = 7000
	lastPort  = 20000
)

// portAllocator allocates free ports, each at most once per IP address.
type portAllocator struct {
	mu sync.Mutex
	// nextPort is the next port to try, by IP address.
	nextPort map[string]int
}

func newPortAllocator() *portAllocator { return &portAllocator{nextPort: make(map[string]int)} }

// allocate returns an address on ip whose port is free for TCP and UDP.
func (p *portAllocator) allocate(ip string) (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for port := max(firstPort, p.nextPort[ip]); port <= lastPort; port++ {
		p.nextPort[ip] = port + 1
		if address := net.JoinHostPort(ip, strconv.Itoa(port)); isPortFree(address) {
			return address, nil
		}
	}
	return "", fmt.Errorf("no free port on %s", ip)
}

// isPortFree reports whether an address can be listened on with TCP and UDP.
func isPortFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer listener.Close()
	packets, err := net.ListenPacket("udp", address)
	return err == nil && packets.Close() == nil
}

// clusterCount is the number of clusters created by this process.
var clusterCount atomic.Uint32

// newLoopbackPrefix returns the first two octets of loopback addresses that no
// other cluster of this process uses, and that are unlikely to be used by another
// process.
func newLoopbackPrefix() string {
	const first, size = 20, 200
	return fmt.Sprintf("127.%d", first+(os.Getpid()+int(clusterCount.Add(1)))%size)
}
