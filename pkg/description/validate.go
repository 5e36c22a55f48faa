package description

import (
	"fmt"
	"math"
	"regexp"
	"strings"

	"github.com/sequoiacove/sequoiacove/pkg/result"
)

const (
	// shareTolerance is the rounding error allowed when decimal shares are summed
	// to 1.
	shareTolerance = 1e-6
	// minTTLMS limits the rate of lookups. maxTTLMS limits how long callers keep
	// using an instance that is leaving.
	minTTLMS = 100
	maxTTLMS = 300_000
	// maxReportedErrors is the maximum number of errors listed in one response.
	maxReportedErrors = 50
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// validationErrors collects errors so that all of them are reported at once.
type validationErrors []string

func (errs *validationErrors) add(path, format string, args ...any) {
	*errs = append(*errs, path+": "+fmt.Sprintf(format, args...))
}

func (errs validationErrors) err() error {
	if len(errs) == 0 {
		return nil
	}
	shown := errs
	if len(shown) > maxReportedErrors {
		shown = append(shown[:maxReportedErrors:maxReportedErrors], fmt.Sprintf("and %d more", len(errs)-maxReportedErrors))
	}
	return result.New(result.DescriptionInvalid, "%s", strings.Join(shown, "; "))
}

// Validate checks the whole description and returns all errors at once. It accepts caps
// and limits of 0, because a version that an earlier release accepted must stay in force.
func (d *Description) Validate() error { return d.validate().err() }

// validateNew is Validate for a description that is to be accepted now: it also rejects
// caps and limits of 0, which an operator could read as "nothing may move" or "closed".
func (d *Description) validateNew() error {
	errs := d.validate()
	for _, name := range sortedKeys(d.Services) {
		s, path := d.Services[name], "services."+name
		for _, region := range sortedKeys(s.Regions) {
			if limit := s.Regions[region].MaxConcurrent; limit != nil && *limit == 0 {
				errs.add(path+".regions."+region+".max_concurrent", "must not be 0; leave it out for no limit, or set the share to 0 to close the region")
			}
		}
		rejectZeroCap(&errs, path+".caps.region_share_per_second", s.Caps.RegionSharePerSecond)
		rejectZeroCap(&errs, path+".caps.domain_share_per_second", s.Caps.DomainSharePerSecond)
		rejectZeroCap(&errs, path+".caps.failover_share_per_second", s.Caps.FailoverSharePerSecond)
	}
	return errs.err()
}

func (d *Description) validate() validationErrors {
	var errs validationErrors
	regionByDomain := d.validateRegions(&errs)
	d.validateLinks(&errs)
	d.validateLookup(&errs)
	for _, name := range sortedKeys(d.Services) {
		path := "services." + name
		checkName(&errs, path, name)
		d.validateService(&errs, path, d.Services[name], regionByDomain)
	}
	return errs
}

// validateRegions checks the regions and returns the region of each failure domain.
func (d *Description) validateRegions(errs *validationErrors) map[string]string {
	regionByDomain := make(map[string]string)
	if len(d.Regions) == 0 {
		errs.add("regions", "at least one region is required")
	}
	for _, name := range sortedKeys(d.Regions) {
		path := "regions." + name
		checkName(errs, path, name)
		if len(d.Regions[name].Domains) == 0 {
			errs.add(path+".domains", "at least one failure domain is required")
		}
		for _, domain := range d.Regions[name].Domains {
			checkName(errs, path+".domains", domain)
			if other, ok := regionByDomain[domain]; ok {
				errs.add(path+".domains", "failure domain %q is already in region %q", domain, other)
			}
			regionByDomain[domain] = name
		}
	}
	return regionByDomain
}

func (d *Description) validateLinks(errs *validationErrors) {
	seen := make(map[[2]string]bool)
	for i, link := range d.Links {
		path := fmt.Sprintf("links[%d]", i)
		for _, region := range link.Between {
			if !d.hasRegion(region) {
				errs.add(path+".between", "unknown region %q", region)
			}
		}
		if link.Between[0] == link.Between[1] {
			errs.add(path+".between", "a link must connect two different regions")
		}
		if !(link.MbitPerSecond > 0) || math.IsInf(link.MbitPerSecond, 0) {
			errs.add(path+".mbit_per_second", "must be greater than 0")
		}
		key := LinkKey(link.Between[0], link.Between[1])
		if seen[key] {
			errs.add(path+".between", "duplicate link")
		}
		seen[key] = true
	}
}

// LinkKey returns the two regions of a link in alphabetical order, so that both
// directions have the same key.
func LinkKey(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

func (d *Description) validateLookup(errs *validationErrors) {
	if d.Lookup.TTLMS < minTTLMS || d.Lookup.TTLMS > maxTTLMS {
		errs.add("lookup.ttl_ms", "must be %d to %d", minTTLMS, maxTTLMS)
	}
}

func (d *Description) hasRegion(name string) bool {
	_, ok := d.Regions[name]
	return ok
}

func (d *Description) validateService(errs *validationErrors, path string, s Service, regionByDomain map[string]string) {
	var sum float64
	for _, region := range sortedKeys(s.Regions) {
		regionPath := path + ".regions." + region
		if !d.hasRegion(region) {
			errs.add(regionPath, "unknown region")
		}
		placement := s.Regions[region]
		checkShare(errs, regionPath+".share", placement.Share)
		sum += placement.Share
		if limit := placement.MaxConcurrent; limit != nil && *limit < 0 {
			errs.add(regionPath+".max_concurrent", "must not be negative")
		}
		validateDomainFractions(errs, regionPath+".domains", region, placement.DomainFractions, regionByDomain)
	}
	if math.Abs(sum-1) > shareTolerance {
		errs.add(path+".regions", "shares sum to %g, not 1", sum)
	}
	checkCap(errs, path+".caps.region_share_per_second", s.Caps.RegionSharePerSecond)
	checkCap(errs, path+".caps.domain_share_per_second", s.Caps.DomainSharePerSecond)
	checkCap(errs, path+".caps.failover_share_per_second", s.Caps.FailoverSharePerSecond)
	if s.Locality != "" && s.Locality != LocalityNone && s.Locality != LocalityNearest {
		errs.add(path+".locality", "must be %s or %s", LocalityNone, LocalityNearest)
	}
	if s.MaxRequestMS <= 0 || s.MaxRequestTimeout() > RequestTimeoutLimit {
		errs.add(path+".max_request_ms", "must be 1 to %d", RequestTimeoutLimit.Milliseconds())
	}
}

func validateDomainFractions(errs *validationErrors, path, region string, fractions map[string]float64, regionByDomain map[string]string) {
	var sum float64
	for _, domain := range sortedKeys(fractions) {
		if regionByDomain[domain] != region {
			errs.add(path+"."+domain, "not a failure domain of this region")
		}
		checkShare(errs, path+"."+domain, fractions[domain])
		sum += fractions[domain]
	}
	if math.Abs(sum-1) > shareTolerance {
		errs.add(path, "fractions sum to %g, not 1", sum)
	}
}

func checkName(errs *validationErrors, path, name string) {
	if !namePattern.MatchString(name) {
		errs.add(path, "name %q: use 1 to 63 lower-case letters, digits and hyphens", name)
	}
}

func checkShare(errs *validationErrors, path string, v float64) {
	if !(v >= 0 && v <= 1) {
		errs.add(path, "must be 0 to 1")
	}
}

func checkCap(errs *validationErrors, path string, v *float64) {
	if v != nil && !(*v >= 0 && *v <= 1) {
		errs.add(path, "must be at most 1 share point per second and not negative")
	}
}

func rejectZeroCap(errs *validationErrors, path string, v *float64) {
	if v != nil && *v == 0 {
		errs.add(path, "must not be 0; leave it out for no cap")
	}
}
