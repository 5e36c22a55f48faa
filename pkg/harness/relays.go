package harness

import (
	"net/netip"
	"sync"

	"github.com/sequoiacove/sequoiacove/pkg/faultproxy"
)

// relays holds the relays in front of peers, the platform and upstreams.
type relays struct {
	mu sync.Mutex
	// peers holds the relays in front of the instances of a domain.
	peers map[string][]*faultproxy.UDP
	// platform holds one relay per domain.
	platform map[string]*faultproxy.TCP
	// upstreams holds the relay in front of each upstream.
	upstreams map[string]*faultproxy.TCP
	seed      uint64
}

func newRelays() *relays {
	return &relays{
		peers:     make(map[string][]*faultproxy.UDP),
		platform:  make(map[string]*faultproxy.TCP),
		upstreams: make(map[string]*faultproxy.TCP),
	}
}

func (r *relays) peer(domain, target string) (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seed++
	relay, err := faultproxy.NewUDP(target, r.seed)
	if err != nil {
		return "", err
	}
	r.peers[domain] = append(r.peers[domain], relay)
	return relay.Addr(), nil
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
	for _, list := range r.peers {
		for _, relay := range list {
			relay.Close()
		}
	}
	for _, relay := range r.platform {
		relay.Close()
	}
	for _, relay := range r.upstreams {
		relay.Close()
	}
}

// Partition cuts a failure domain from all other domains and, if withPlatform
// is set, from the platform. Callers and the upstreams of the domain stay
// reachable. It needs Spec.Relays.
func (c *Cluster) Partition(domain string, withPlatform bool) {
	inside, outside := c.sources(domain)
	for name, list := range c.relays.peers {
		from := inside
		if name == domain {
			from = outside
		}
		for _, relay := range list {
			relay.Set(faultproxy.Faults{Cut: true, From: from})
		}
	}
	if withPlatform {
		c.relays.platform[domain].Set(faultproxy.Faults{Cut: true})
	}
}

// Heal ends all partitions.
func (c *Cluster) Heal() {
	for _, list := range c.relays.peers {
		for _, relay := range list {
			relay.Set(faultproxy.Faults{})
		}
	}
	for _, relay := range c.relays.platform {
		relay.Set(faultproxy.Faults{})
	}
}

// sources returns the addresses that peer connections of a domain and of all
// other domains leave from.
func (c *Cluster) sources(domain string) (inside, outside []netip.Addr) {
	for d, other := range c.Spec.Domains {
		addr := netip.MustParseAddr(domainIP(d))
		if other.Name == domain {
			inside = append(inside, addr)
		} else {
			outside = append(outside, addr)
		}
	}
	return inside, outside
}

// SilencePeers makes all established connections into a domain's instances
// silent; new ones work. It returns how many flows were silenced.
func (c *Cluster) SilencePeers(domain string) int {
	silenced := 0
	for _, relay := range c.relays.peers[domain] {
		silenced += relay.Silence()
	}
	return silenced
}

// SilenceUpstreams makes all established connections to the upstreams silent;
// new ones work. It returns how many connections were silenced.
func (c *Cluster) SilenceUpstreams() int {
	silenced := 0
	for _, relay := range c.relays.upstreams {
		silenced += relay.Silence()
	}
	return silenced
}

// SilencePlatform makes all established connections to the platform silent.
func (c *Cluster) SilencePlatform() int {
	silenced := 0
	for _, relay := range c.relays.platform {
		silenced += relay.Silence()
	}
	return silenced
}

// UpstreamRelay returns the relay in front of an upstream.
func (c *Cluster) UpstreamRelay(id string) *faultproxy.TCP { return c.relays.upstreams[id] }

// LoseTransaction loses the answer to the next transaction that an instance of
// a domain sends to the platform's table, after it took effect.
func (c *Cluster) LoseTransaction(domain string) {
	c.relays.platform[domain].LoseAnswersTo("POST /table/transactions", 1)
}

// DisturbPeers loses and reorders the given parts of the datagrams to and from
// all instances.
func (c *Cluster) DisturbPeers(loss, reorder float64) {
	for _, list := range c.relays.peers {
		for _, relay := range list {
			relay.SetLoss(loss)
			relay.SetReorder(reorder)
		}
	}
}
