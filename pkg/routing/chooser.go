package routing

// minTransferCredit is the credit at or below which a domain or region accepts
// no more transferred requests. A transfer needs a higher credit and costs at most 1,
// so it leaves the credit above -2. This limits a destination to about two requests
// above its share.
const minTransferCredit = -1

// chooser picks destinations in proportion to their shares (smooth weighted round
// robin). It chooses first a region by regionCredits and then a domain of that
// region by domainCredits. Choosing among all domains at once would add up the
// rounding errors of a region's domains.
type chooser struct {
	regionCredits map[string]float64
	domainCredits map[string]float64
}

func newChooser() *chooser {
	return &chooser{regionCredits: make(map[string]float64), domainCredits: make(map[string]float64)}
}

// groupedShares is a share vector whose domains are grouped by region. Regions and
// domains are sorted by name; those without a share are left out.
type groupedShares struct {
	regions   []regionGroup
	positions map[string]position
	regionOf  map[string]string
}

type regionGroup struct {
	name    string
	share   float64
	domains []domainFraction
}

type domainFraction struct {
	name string
	// fraction is the domain's fraction of its region's share.
	fraction float64
}

// position locates a domain in groupedShares.
type position struct{ region, domain int }

func newGroupedShares(shares vector, regionOf map[string]string) *groupedShares {
	p := &groupedShares{positions: make(map[string]position, len(shares)), regionOf: regionOf}
	sums := shares.byRegion(regionOf)
	for _, name := range sums.sortedKeys() {
		if sums[name] > 0 {
			p.regions = append(p.regions, regionGroup{name: name, share: sums[name]})
		}
	}
	for _, d := range shares.sortedKeys() {
		for i := range p.regions {
			r := &p.regions[i]
			if shares[d] > 0 && r.name == region(regionOf, d) {
				p.positions[d] = position{i, len(r.domains)}
				r.domains = append(r.domains, domainFraction{d, shares[d] / r.share})
			}
		}
	}
	return p
}

// choose returns the domain with the largest credit in the region with the
// largest credit, and charges the request to both. ok is false if no domain has a
// share.
func (c *chooser) choose(p *groupedShares) (domain string, ok bool) {
	if len(p.regions) == 0 {
		return "", false
	}
	best := 0
	for i := range p.regions {
		r := &p.regions[i]
		c.regionCredits[r.name] += r.share
		if c.regionCredits[r.name] > c.regionCredits[p.regions[best].name] {
			best = i
		}
	}
	r := &p.regions[best]
	c.regionCredits[r.name]--
	domain = c.domainWithLargestCredit(r)
	c.charge(r, domain, 1)
	return domain, true
}

// domainWithLargestCredit returns the domain of a region that has the largest
// credit after every domain has been credited its fraction.
func (c *chooser) domainWithLargestCredit(r *regionGroup) string {
	best := r.domains[0]
	for _, d := range r.domains[1:] {
		if c.domainCredits[d.name]+d.fraction > c.domainCredits[best.name]+best.fraction {
			best = d
		}
	}
	return best.name
}

// charge accounts for a request to domain: it adds the fraction of each domain of
// the region to that domain's credit and then subtracts 1 from the credit of the
// domain that gets the request. With sign -1 it undoes this. The sum of the credits
// of the region's domains does not change.
func (c *chooser) charge(r *regionGroup, domain string, sign float64) {
	for _, d := range r.domains {
		c.domainCredits[d.name] += sign * d.fraction
	}
	c.domainCredits[domain] -= sign
}

// transfer moves the charge of one request from one domain to another. It
// returns false if the destination has no share or not enough credit.
func (c *chooser) transfer(p *groupedShares, from, to string) bool {
	dst, ok := p.positions[to]
	if !ok || c.domainCredits[to] <= minTransferCredit {
		return false
	}
	dstRegion := &p.regions[dst.region]
	src, hasShare := p.positions[from]
	if hasShare && src.region == dst.region {
		c.domainCredits[from]++
		c.domainCredits[to]--
		return true
	}
	if c.regionCredits[dstRegion.name] <= minTransferCredit {
		return false
	}
	c.regionCredits[dstRegion.name]--
	c.charge(dstRegion, to, 1)
	c.regionCredits[region(p.regionOf, from)]++
	if hasShare {
		c.charge(&p.regions[src.region], from, -1)
	}
	return true
}
