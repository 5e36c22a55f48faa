package entry

import (
	"encoding/json"
	"hash/fnv"
	"net/netip"
	"sort"

	"github.com/valyala/fasthttp"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

const (
	// maxListed bounds the instances of an answer.
	maxListed = 4
	// nearListed bounds the instances of the nearest region. It leaves one place
	// for another region, which a caller uses when its nearest region fails.
	nearListed = 3
	// variants is the number of orders over which callers are spread, so that
	// they do not all use one instance.
	variants = 64
)

// lookupKey names an answer that many callers share.
type lookupKey struct {
	service string
	region  string
	variant uint8
}

// lookupAnswer is the answer to a look-up.
type lookupAnswer struct {
	TTLMS     int            `json:"ttl_ms"`
	Version   uint64         `json:"version"`
	Instances []lookupMember `json:"instances"`
}

type lookupMember struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Region  string `json:"region"`
	Domain  string `json:"domain"`
}

func (e *Entry) serveLookup(ctx *fasthttp.RequestCtx) {
	e.metrics.lookups.Inc(1)
	args := ctx.QueryArgs()
	body, err := e.lookup(args.Peek("service"), args.Peek("block"), ctx.RemoteIP().String())
	if err != nil {
		refuse(ctx, err)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// lookup returns the encoded answer for a caller's block.
func (e *Entry) lookup(service, block []byte, remote string) ([]byte, error) {
	v, err := e.admit()
	if err != nil {
		return nil, err
	}
	if _, ok := v.description.Services[string(service)]; !ok {
		return nil, result.New(result.UnknownService, "no service %q", printable(string(service)))
	}
	addr, err := parseBlock(string(block), remote)
	if err != nil {
		return nil, err
	}
	key := lookupKey{string(service), v.nearest(addr), variantOf(addr)}
	if cached, ok := v.caches.lookups.Load(key); ok {
		return cached.([]byte), nil
	}
	body, err := json.Marshal(v.answer(key))
	if err != nil {
		return nil, result.New(result.Internal, "%v", err)
	}
	v.caches.lookups.Store(key, body)
	return body, nil
}

// parseBlock reads the address of a caller's block; the default is the address
// of the connection.
func parseBlock(block, remote string) (netip.Addr, error) {
	if block == "" {
		block = remote
	}
	addr, err := netip.ParseAddr(block)
	if err != nil || addr.Zone() != "" {
		return netip.Addr{}, result.New(result.BadRequest, "block is not an IP address")
	}
	return addr.Unmap(), nil
}

// nearest returns the region of an address; the own region is the nearest one
// of callers that no block covers.
func (v *view) nearest(addr netip.Addr) string {
	if region := v.blocks.region(addr); region != "" {
		return region
	}
	return v.self.Region
}

// variantOf spreads blocks (/24 for IPv4, /48 for IPv6) over the variants.
func variantOf(addr netip.Addr) uint8 {
	bits := 48
	if addr.Is4() {
		bits = 24
	}
	prefix, _ := addr.Prefix(bits)
	h := fnv.New32a()
	h.Write(prefix.Addr().AsSlice())
	sum := h.Sum32()
	return uint8((sum ^ sum>>16) % variants)
}

// answer lists the instances for one key: the owners of the pools in the
// nearest region, then its other instances, then those of other regions.
func (v *view) answer(key lookupKey) lookupAnswer {
	near := v.listed(key, maxListed, func(region string) bool { return region == key.region })
	far := v.listed(key, maxListed, func(region string) bool { return region != key.region })
	near = near[:min(len(near), max(nearListed, maxListed-len(far)))]
	list := append(near, far[:min(len(far), maxListed-len(near))]...)
	answer := lookupAnswer{TTLMS: v.description.Lookup.TTLMS, Version: v.version.Number, Instances: []lookupMember{}}
	for _, m := range list {
		answer.Instances = append(answer.Instances, lookupMember{m.ID, m.CallerAddress, m.Region, m.Domain})
	}
	return answer
}

// listed returns up to limit instances of the matching regions that stay, owners
// first. The domains start at the variant, so that callers spread over the
// owners.
func (v *view) listed(key lookupKey, limit int, match func(region string) bool) []cluster.Member {
	var owners, others []cluster.Member
	domains := v.domainsOf(match)
	for i := 0; i < len(domains) && len(owners) < limit; i++ {
		domain := domains[(i+int(key.variant))%len(domains)]
		ranked := v.ranked(key.service, domain)
		for j, m := range rotate(ranked, int(key.variant)/len(domains)) {
			switch {
			case !v.stays(m) || m.State == cluster.Suspect || m.CallerAddress == "":
			case j == 0:
				owners = append(owners, m)
			default:
				others = append(others, m)
			}
		}
	}
	list := append(owners, others...)
	return list[:min(len(list), limit)]
}

// rotate keeps the owner first and turns the order of the rest.
func rotate(ranked []cluster.Member, by int) []cluster.Member {
	if len(ranked) < 3 {
		return ranked
	}
	rest := ranked[1:]
	by %= len(rest)
	turned := append([]cluster.Member{ranked[0]}, rest[by:]...)
	return append(turned, rest[:by]...)
}

// domainsOf returns the domains with instances in the matching regions.
func (v *view) domainsOf(match func(region string) bool) []string {
	var domains []string
	for d, members := range v.live {
		if match(members[0].Region) {
			domains = append(domains, d)
		}
	}
	sort.Strings(domains)
	return domains
}
