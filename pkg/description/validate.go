package description

import (
	"fmt"
	"math"
	"regexp"
	"strings"

	"github.com/sequoiacove/sequoiacove/pkg/result"
)

const (
	// shareTolerance accepts sums that miss 1 by rounding of decimal shares.
	shareTolerance = 1e-6
	// minTTLMS bounds the rate of look-ups and maxTTLMS the time in which callers
	// still use an instance that is leaving.
	minTTLMS = 100
	maxTTLMS = 300_000
	// maxErrors bounds the errors that one answer lists.
	maxErrors = 50
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// problems collects validation errors so that all are reported at once.
type problems []string

func (p *problems) add(path, format string, args ...any) {
	*p = append(*p, path+": "+fmt.Sprintf(format, args...))
}

func (p problems) err() error {
	if len(p) == 0 {
		return nil
	}
	shown := p
	if len(shown) > maxErrors {
		shown = append(shown[:maxErrors:maxErrors], fmt.Sprintf("and %d more", len(p)-maxErrors))
	}
	return result.New(result.DescriptionInvalid, "%s", strings.Join(shown, "; "))
}

// Validate checks the whole description and reports all errors at once.
func (d *Description) Validate() error {
	var p problems
	domains := d.validateRegions(&p)
	d.validateLinks(&p)
	d.validateLookup(&p)
	for _, name := range sortedKeys(d.Services) {
		path := "services." + name
		checkName(&p, path, name)
		d.validateService(&p, path, d.Services[name], domains)
	}
	return p.err()
}

// validateRegions returns the region of each failure domain.
func (d *Description) validateRegions(p *problems) map[string]string {
	domains := make(map[string]string)
	if len(d.Regions) == 0 {
		p.add("regions", "at least one region is required")
	}
	for _, name := range sortedKeys(d.Regions) {
		path := "regions." + name
		checkName(p, path, name)
		if len(d.Regions[name].Domains) == 0 {
			p.add(path+".domains", "at least one failure domain is required")
		}
		for _, domain := range d.Regions[name].Domains {
			checkName(p, path+".domains", domain)
			if other, ok := domains[domain]; ok {
				p.add(path+".domains", "failure domain %q is already in region %q", domain, other)
			}
			domains[domain] = name
		}
	}
	return domains
}

func (d *Description) validateLinks(p *problems) {
	seen := make(map[[2]string]bool)
	for i, link := range d.Links {
		path := fmt.Sprintf("links[%d]", i)
		for _, region := range link.Between {
			if !d.hasRegion(region) {
				p.add(path+".between", "unknown region %q", region)
			}
		}
		if link.Between[0] == link.Between[1] {
			p.add(path+".between", "a link joins two different regions")
		}
		if !(link.MbitPerSecond > 0) || math.IsInf(link.MbitPerSecond, 0) {
			p.add(path+".mbit_per_second", "must be above 0")
		}
		key := LinkKey(link.Between[0], link.Between[1])
		if seen[key] {
			p.add(path+".between", "the link is listed twice")
		}
		seen[key] = true
	}
}

// LinkKey returns the two regions of a link in alphabetical order.
func LinkKey(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

func (d *Description) validateLookup(p *problems) {
	if d.Lookup.TTLMS < minTTLMS || d.Lookup.TTLMS > maxTTLMS {
		p.add("lookup.ttl_ms", "must be %d to %d", minTTLMS, maxTTLMS)
	}
}

func (d *Description) hasRegion(name string) bool {
	_, ok := d.Regions[name]
	return ok
}

func (d *Description) validateService(p *problems, path string, s Service, domains map[string]string) {
	var sum float64
	for _, region := range sortedKeys(s.Regions) {
		at := path + ".regions." + region
		if !d.hasRegion(region) {
			p.add(at, "unknown region")
		}
		placement := s.Regions[region]
		checkShare(p, at+".share", placement.Share)
		sum += placement.Share
		if placement.MaxConcurrent < 0 {
			p.add(at+".max_concurrent", "must not be negative")
		}
		validateDomains(p, at+".domains", region, placement.Domains, domains)
	}
	if math.Abs(sum-1) > shareTolerance {
		p.add(path+".regions", "shares sum to %g, not 1", sum)
	}
	checkCap(p, path+".caps.region_share_per_second", s.Caps.RegionSharePerSecond)
	checkCap(p, path+".caps.domain_share_per_second", s.Caps.DomainSharePerSecond)
	checkCap(p, path+".caps.failover_share_per_second", s.Caps.FailoverSharePerSecond)
	if s.Locality != "" && s.Locality != LocalityNone && s.Locality != LocalityNearest {
		p.add(path+".locality", "must be %s or %s", LocalityNone, LocalityNearest)
	}
	if s.MaxRequestMS <= 0 || s.MaxRequest() > MaxDeadline {
		p.add(path+".max_request_ms", "must be 1 to %d", MaxDeadline.Milliseconds())
	}
}

func validateDomains(p *problems, path, region string, parts map[string]float64, domains map[string]string) {
	var sum float64
	for _, domain := range sortedKeys(parts) {
		if domains[domain] != region {
			p.add(path+"."+domain, "not a failure domain of the region")
		}
		checkShare(p, path+"."+domain, parts[domain])
		sum += parts[domain]
	}
	if math.Abs(sum-1) > shareTolerance {
		p.add(path, "shares sum to %g, not 1", sum)
	}
}

func checkName(p *problems, path, name string) {
	if !namePattern.MatchString(name) {
		p.add(path, "name %q: use 1 to 63 lower-case letters, digits and hyphens", name)
	}
}

func checkShare(p *problems, path string, v float64) {
	if !(v >= 0 && v <= 1) {
		p.add(path, "must be 0 to 1")
	}
}

func checkCap(p *problems, path string, v float64) {
	if !(v >= 0 && v <= 1) {
		p.add(path, "must be 0 to 1 share points per second")
	}
}
