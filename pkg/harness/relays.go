package harness

import (
	"net"
	"net/netip"
	"sync"

	"github.com/sequoiacove/sequoiacove/pkg/faultproxy"
	"github.com/sequoiacove/sequoiacove/platform/platformtest"
)

// relays holds the relays in front of the mesh addresses of the instances, the
// store and the upstreams.
type relays struct {
	mu sync.Mutex
	// meshUDPByDomain and meshTCPByDomain hold the relays in front of the mesh
	// addresses of the instances, by failure domain.
	meshUDPByDomain map[string][]*faultproxy.UDP
	meshTCPByDomain map[string][]*faultproxy.TCP
	// storeByDomain holds the relay between the instances of each domain and the
	// store.
	storeByDomain map[string]*faultproxy.TCP
	// upstreamByID holds the relay in front of each upstream, by upstream id.
	upstreamByID map[string]*faultproxy.TCP
	// lastSeed is the random seed of the UDP relay started last.
	lastSeed uint64
}

func newRelays() *relays {
	return &relays{
		meshUDPByDomain: make(map[string][]*faultproxy.UDP),
		meshTCPByDomain: make(map[string][]*faultproxy.TCP),
		storeByDomain:   make(map[string]*faultproxy.TCP),
		upstreamByID:    make(map[string]*faultproxy.TCP),
	}
}

// startMesh starts the UDP and TCP relays in front of the mesh address of an
// instance.
func (r *relays) startMesh(domain, address, target string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastSeed++
	udpRelay, err := faultproxy.NewUDPAt(address, target, r.lastSeed)
	if err != nil {
		return err
	}
	r.meshUDPByDomain[domain] = append(r.meshUDPByDomain[domain], udpRelay)
	tcpRelay, err := faultproxy.NewTCPAt(address, target)
	if err != nil {
		return err
	}
	r.meshTCPByDomain[domain] = append(r.meshTCPByDomain[domain], tcpRelay)
	return nil
}

// ensureTCP returns the address of the relay group[key]. If there is no such relay,
// it starts one that forwards to target.
func (r *relays) ensureTCP(group map[string]*faultproxy.TCP, key, target string) (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if relay := group[key]; relay != nil {
		return relay.Addr(), nil
	}
	relay, err := faultproxy.NewTCP(target)
	if err != nil {
		return "", err
	}
	group[key] = relay
	return relay.Addr(), nil
}

func (r *relays) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, list := range r.meshUDPByDomain {
		for _, relay := range list {
			relay.Close()
		}
	}
	for _, list := range r.meshTCPByDomain {
		for _, relay := range list {
			relay.Close()
		}
	}
	for _, group := range []map[string]*faultproxy.TCP{r.storeByDomain, r.upstreamByID} {
		for _, relay := range group {
			relay.Close()
		}
	}
}

// Partition separates a failure domain from all other domains and, if cutStore is
// set, from the store. Callers and upstreams stay reachable. Partition requires
// Spec.UseRelays.
//
// The TCP relays in front of the other domains' instances are not cut: instances
// transfer changes over TCP only after a datagram has announced them, and the
// datagrams between the two sides are dropped.
func (c *Cluster) Partition(domain string, cutStore bool) {
	inside, outside := c.meshSources(domain)
	for name, list := range c.relays.meshUDPByDomain {
		blockedSources := inside
		if name == domain {
			blockedSources = outside
		}
		for _, relay := range list {
			relay.SetFaults(faultproxy.Faults{Cut: true, Sources: blockedSources})
		}
	}
	for _, relay := range c.relays.meshTCPByDomain[domain] {
		relay.SetFaults(faultproxy.Faults{Cut: true})
	}
	if cutStore {
		c.relays.storeByDomain[domain].SetFaults(faultproxy.Faults{Cut: true})
	}
}

// Heal ends all partitions. The loss and reordering that ImpairMesh set remain.
func (c *Cluster) Heal() {
	for _, list := range c.relays.meshUDPByDomain {
		for _, relay := range list {
			relay.SetFaults(faultproxy.Faults{})
		}
	}
	for _, list := range c.relays.meshTCPByDomain {
		for _, relay := range list {
			relay.SetFaults(faultproxy.Faults{})
		}
	}
	for _, relay := range c.relays.storeByDomain {
		relay.SetFaults(faultproxy.Faults{})
	}
}

// meshSources returns the source addresses of the datagrams that instances inside
// and outside a domain send.
func (c *Cluster) meshSources(domain string) (inside, outside []netip.Addr) {
	for _, i := range c.Instances {
		host, _, err := net.SplitHostPort(i.MeshAddress)
		if err != nil {
			continue
		}
		addr := netip.MustParseAddr(host)
		if i.Domain == domain {
			inside = append(inside, addr)
		} else {
			outside = append(outside, addr)
		}
	}
	return inside, outside
}

// BlackholeEstablished blackholes all established connections to the upstreams, to
// the store and between instances, and all established UDP flows; new ones work.
// It returns the number of connections and flows affected.
func (c *Cluster) BlackholeEstablished() int {
	blackholedCount := 0
	for _, group := range []map[string]*faultproxy.TCP{c.relays.storeByDomain, c.relays.upstreamByID} {
		for _, relay := range group {
			blackholedCount += relay.BlackholeEstablished()
		}
	}
	for _, list := range c.relays.meshTCPByDomain {
		for _, relay := range list {
			blackholedCount += relay.BlackholeEstablished()
		}
	}
	for _, list := range c.relays.meshUDPByDomain {
		for _, relay := range list {
			blackholedCount += relay.BlackholeEstablished()
		}
	}
	return blackholedCount
}

// UpstreamRelay returns the relay in front of the upstream with an id, or nil.
func (c *Cluster) UpstreamRelay(id string) *faultproxy.TCP { return c.relays.upstreamByID[id] }

// DropTransactionResponse drops the store's response to the next transaction from
// an instance of a domain, after the transaction took effect.
func (c *Cluster) DropTransactionResponse(domain string) {
	c.relays.storeByDomain[domain].DropResponsesTo(platformtest.TransactionRequestPrefix, 1)
}

// LimitBandwidth limits each connection to the store and between instances to a rate in
// each direction.
func (c *Cluster) LimitBandwidth(bytesPerSecond int64) {
	limit := faultproxy.Faults{BytesPerSecond: bytesPerSecond}
	for _, relay := range c.relays.storeByDomain {
		relay.SetFaults(limit)
	}
	for _, list := range c.relays.meshTCPByDomain {
		for _, relay := range list {
			relay.SetFaults(limit)
		}
	}
}

// ImpairMesh drops and reorders the given ratios of the datagrams between all
// instances.
func (c *Cluster) ImpairMesh(lossRatio, reorderRatio float64) {
	for _, list := range c.relays.meshUDPByDomain {
		for _, relay := range list {
			relay.SetLossRatio(lossRatio)
			relay.SetReorderRatio(reorderRatio)
		}
	}
}

// CutStore cuts all instances off from the store, or ends that. It requires Spec.UseRelays.
func (c *Cluster) CutStore(cut bool) {
	for _, relay := range c.relays.storeByDomain {
		relay.SetFaults(faultproxy.Faults{Cut: cut})
	}
}
