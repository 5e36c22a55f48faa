package routing

// transferFloor is the credit below which a destination takes no more retries.
// It bounds the requests of a destination to about two above its share.
const transferFloor = -1

// chooser picks destinations in proportion to their shares. Credits are kept
// per region and, inside a region, per domain: choosing among all domains at
// once would let the errors of a region's domains add up.
type chooser struct {
	regions map[string]float64
	domains map[string]float64
}

func newChooser() *chooser {
	return &chooser{regions: make(map[string]float64), domains: make(map[string]float64)}
}

// plan is a share vector prepared for choosing, in fixed order.
type plan struct {
	regions  []regionPlan
	index    map[string]place
	regionOf map[string]string
}

type regionPlan struct {
	name    string
	share   float64
	domains []domainPlan
}

type domainPlan struct {
	name string
	// part is the domain's part of its region's share.
	part float64
}

// place is the position of a domain in a plan.
type place struct{ region, domain int }

func newPlan(shares vector, regionOf map[string]string) *plan {
	p := &plan{index: make(map[string]place, len(shares)), regionOf: regionOf}
	sums := shares.byRegion(regionOf)
	for _, name := range sums.domains() {
		if sums[name] > 0 {
			p.regions = append(p.regions, regionPlan{name: name, share: sums[name]})
		}
	}
	for _, d := range shares.domains() {
		for i := range p.regions {
			r := &p.regions[i]
			if shares[d] > 0 && r.name == region(regionOf, d) {
				p.index[d] = place{i, len(r.domains)}
				r.domains = append(r.domains, domainPlan{d, shares[d] / r.share})
			}
		}
	}
	return p
}

// choose charges the destination with the largest credit and returns it; ok is
// false when no domain has a share.
func (c *chooser) choose(p *plan) (domain string, ok bool) {
	if len(p.regions) == 0 {
		return "", false
	}
	best := 0
	for i := range p.regions {
		r := &p.regions[i]
		c.regions[r.name] += r.share
		if c.regions[r.name] > c.regions[p.regions[best].name] {
			best = i
		}
	}
	r := &p.regions[best]
	c.regions[r.name]--
	domain = c.largest(r)
	c.charge(r, domain, 1)
	return domain, true
}

// largest returns the domain of a region with the largest credit after growth.
func (c *chooser) largest(r *regionPlan) string {
	best := r.domains[0]
	for _, d := range r.domains[1:] {
		if c.domains[d.name]+d.part > c.domains[best.name]+best.part {
			best = d
		}
	}
	return best.name
}

// charge grows the credits of a region's domains and charges one of them; a
// sign of -1 takes a charge back. The sum over the region stays the same.
func (c *chooser) charge(r *regionPlan, domain string, sign float64) {
	for _, d := range r.domains {
		c.domains[d.name] += sign * d.part
	}
	c.domains[domain] -= sign
}

// transfer moves the charge of one request between domains; it is refused when
// the destination has no share or no credit.
func (c *chooser) transfer(p *plan, from, to string) bool {
	dst, ok := p.index[to]
	if !ok || c.domains[to] <= transferFloor {
		return false
	}
	dstRegion := &p.regions[dst.region]
	src, hasShare := p.index[from]
	if hasShare && src.region == dst.region {
		c.domains[from]++
		c.domains[to]--
		return true
	}
	if c.regions[dstRegion.name] <= transferFloor {
		return false
	}
	c.regions[dstRegion.name]--
	c.charge(dstRegion, to, 1)
	c.regions[region(p.regionOf, from)]++
	if hasShare {
		c.charge(&p.regions[src.region], from, -1)
	}
	return true
}
