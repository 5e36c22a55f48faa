package harness

import (
	"net"
	"net/netip"
	"sync"

	"github.com/sequoiacove/sequoiacove/pkg/faultproxy"
	"github.com/sequoiacove/sequoiacove/platform/platformtest"
)

// relays holds the relays in front of the meshes of instances, the store and
// the upstreams.
type relays struct {
	mu sync.Mutex
	// datagrams and transfers hold the relays in front of the meshes of a
	// domain's instances.
	datagrams map[string][]*faultproxy.UDP
	transfers map[string][]*faultproxy.TCP
	// store holds one relay per domain.
	store map[string]*faultproxy.TCP
	// upstreams holds the relay in front of each upstream.
	upstreams map[string]*faultproxy.TCP
	seed      uint64
}

func newRelays() *relays {
	return &relays{
		datagrams: make(map[string][]*faultproxy.UDP),
		transfers: make(map[string][]*faultproxy.TCP),
		store:     make(map[string]*faultproxy.TCP),
		upstreams: make(map[string]*faultproxy.TCP),
	}
}

// mesh starts the relays in front of the mesh of an instance.
func (r *relays) mesh(domain, address, target string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seed++
	datagrams, err := faultproxy.NewUDPAt(address, target, r.seed)
	if err != nil {
		return err
	}
	r.datagrams[domain] = append(r.datagrams[domain], datagrams)
	transfers, err := faultproxy.NewTCPAt(address, target)
	if err != nil {
		return err
	}
	r.transfers[domain] = append(r.transfers[domain], transfers)
	return nil
}

func (r *relays) tcp(into map[string]*faultproxy.TCP, key, target string) (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if relay := into[key]; relay != nil {
		return relay.Addr(), nil
	}
	relay, err := faultproxy.NewTCP(target)
	if err != nil {
		return "", err
	}
	into[key] = relay
	return relay.Addr(), nil
}

func (r *relays) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, list := range r.datagrams {
		for _, relay := range list {
			relay.Close()
		}
	}
	for _, list := range r.transfers {
		for _, relay := range list {
			relay.Close()
		}
	}
	for _, group := range []map[string]*faultproxy.TCP{r.store, r.upstreams} {
		for _, relay := range group {
			relay.Close()
		}
	}
}

// Partition cuts a failure domain from all other domains and, if withStore is
// set, from the store. Callers and all upstreams stay reachable. Transfers of
// changes follow the datagrams that announce them, so only the transfers to
// the domain itself are cut. It needs Spec.Relays.
func (c *Cluster) Partition(domain string, withStore bool) {
	inside, outside := c.sources(domain)
	for name, list := range c.relays.datagrams {
		from := inside
		if name == domain {
			from = outside
		}
		for _, relay := range list {
			relay.Set(faultproxy.Faults{Cut: true, Sources: from})
		}
	}
	for _, relay := range c.relays.transfers[domain] {
		relay.Set(faultproxy.Faults{Cut: true})
	}
	if withStore {
		c.relays.store[domain].Set(faultproxy.Faults{Cut: true})
	}
}

// Heal ends all partitions.
func (c *Cluster) Heal() {
	for _, list := range c.relays.datagrams {
		for _, relay := range list {
			relay.Set(faultproxy.Faults{})
		}
	}
	for _, list := range c.relays.transfers {
		for _, relay := range list {
			relay.Set(faultproxy.Faults{})
		}
	}
	for _, relay := range c.relays.store {
		relay.Set(faultproxy.Faults{})
	}
}

// sources returns the addresses that datagrams of a domain and of all other
// domains leave from.
func (c *Cluster) sources(domain string) (inside, outside []netip.Addr) {
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

// BlackholeEstablished makes all established connections to the upstreams, to the store and
// between instances silent, and all flows of datagrams; new ones work. It returns how many were silenced.
func (c *Cluster) BlackholeEstablished() int {
	silenced := 0
	for _, group := range []map[string]*faultproxy.TCP{c.relays.store, c.relays.upstreams} {
		for _, relay := range group {
			silenced += relay.BlackholeEstablished()
		}
	}
	for _, list := range c.relays.transfers {
		for _, relay := range list {
			silenced += relay.BlackholeEstablished()
		}
	}
	for _, list := range c.relays.datagrams {
		for _, relay := range list {
			silenced += relay.BlackholeEstablished()
		}
	}
	return silenced
}

// UpstreamRelay returns the relay in front of an upstream.
func (c *Cluster) UpstreamRelay(id string) *faultproxy.TCP { return c.relays.upstreams[id] }

// DropTransactionResponse loses the answer to the next transaction that an instance of
// a domain sends to the store, after it took effect.
func (c *Cluster) DropTransactionResponse(domain string) {
	c.relays.store[domain].DropResponsesTo(platformtest.TransactionCall, 1)
}

// ImpairMesh loses and reorders the given parts of the datagrams between all
// instances.
func (c *Cluster) ImpairMesh(loss, reorder float64) {
	for _, list := range c.relays.datagrams {
		for _, relay := range list {
			relay.SetLoss(loss)
			relay.SetReorder(reorder)
		}
	}
}
