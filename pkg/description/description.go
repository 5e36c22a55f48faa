// Package description defines the configuration document in which operators
// describe where the traffic of each service may go.
//
// A description lists regions with their failure domains, links between regions
// with their capacity and, for each service, the traffic share of every region
// and failure domain and the caps on how fast those shares may change. It is
// immutable once parsed. A patch produces a new description, which is rejected
// as a whole if any part of it is invalid. Parse decodes and validates the JSON
// document, Apply patches it and Diff lists the changes between two documents.
package description

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// MaxBytes is the maximum size of a description and of a patch, in bytes.
const MaxBytes = 1 << 20

// RequestTimeoutLimit is the highest timeout that Service.MaxRequestMS may set.
const RequestTimeoutLimit = 5 * time.Minute

// Description is one version of the configuration document.
type Description struct {
	Regions  map[string]Region  `json:"regions"`
	Links    []Link             `json:"links,omitempty"`
	Lookup   Lookup             `json:"lookup"`
	Services map[string]Service `json:"services"`
	// DrainedUpstreams and DrainedInstances list the ids of upstreams and
	// instances that receive no new requests.
	DrainedUpstreams []string `json:"drained_upstreams,omitempty"`
	DrainedInstances []string `json:"drained_instances,omitempty"`
}

// Region lists the failure domains of a region.
type Region struct {
	Domains []string `json:"domains"`
}

// Link is the capacity between two regions, in each direction.
type Link struct {
	Between       [2]string `json:"between"`
	MbitPerSecond float64   `json:"mbit_per_second"`
}

// Lookup holds the settings of lookup responses.
type Lookup struct {
	// TTLMS is how long callers may cache a lookup response, in milliseconds.
	TTLMS int `json:"ttl_ms"`
}

// TTL returns how long callers may cache a lookup response.
func (l Lookup) TTL() time.Duration { return time.Duration(l.TTLMS) * time.Millisecond }

// Service describes where the traffic of one service may go.
type Service struct {
	Regions map[string]Placement `json:"regions"`
	Caps    Caps                 `json:"caps"`
	// MaxRequestMS is the maximum timeout of a request, in milliseconds.
	MaxRequestMS int `json:"max_request_ms"`
	// Locality is LocalityNone or LocalityNearest; empty means LocalityNone.
	Locality string `json:"locality,omitempty"`
}

// Locality modes: how the instances that receive a service's traffic derive their
// shares from the shares of the service.
const (
	// LocalityNone gives every instance the same shares. The service's traffic
	// then follows the shares and caps regardless of which instances receive it.
	LocalityNone = "none"
	// LocalityNearest serves requests in their own region as far as the shares
	// allow. The instances compute this from the demand that they report to each
	// other. After a sudden drop in a region's demand, the service's traffic
	// therefore deviates from its shares until the reports reflect the drop.
	LocalityNearest = "nearest"
)

// Placement describes how much of a service's traffic a region receives.
type Placement struct {
	// Share is the region's share of the service's traffic, 0 to 1.
	Share float64 `json:"share"`
	// MaxConcurrent is the maximum number of the service's requests in flight in
	// the region; without it, only the slots of the region's upstreams limit them.
	MaxConcurrent *int `json:"max_concurrent,omitempty"`
	// DomainFractions maps each failure domain to the fraction of the region's
	// share that it receives; the fractions sum to 1.
	DomainFractions map[string]float64 `json:"domains"`
}

// Caps limits the rate at which shares change, in share points per second: 0.02
// moves at most two percent of the service's traffic per second. A missing field means
// no cap. A patch may not set 0, which an operator could read as "must not move"; a
// description of an earlier release may still hold 0, which means no cap there.
type Caps struct {
	// RegionSharePerSecond limits the change of a region's share.
	RegionSharePerSecond *float64 `json:"region_share_per_second,omitempty"`
	// DomainSharePerSecond limits the change of a failure domain's share. Without
	// it, the region cap still applies to the sum over the failure domains of a
	// region.
	DomainSharePerSecond *float64 `json:"domain_share_per_second,omitempty"`
	// FailoverSharePerSecond replaces the region cap and the domain cap while
	// traffic moves away from an unreachable failure domain. Without it, these two
	// caps stay in force.
	FailoverSharePerSecond *float64 `json:"failover_share_per_second,omitempty"`
}

// MaxRequestTimeout returns the maximum timeout of a request to the service.
func (s Service) MaxRequestTimeout() time.Duration {
	return time.Duration(s.MaxRequestMS) * time.Millisecond
}

// DomainShares returns each failure domain's share of the service's traffic. The
// shares sum to 1.
func (s Service) DomainShares() map[string]float64 {
	shares := make(map[string]float64)
	for _, placement := range s.Regions {
		for domain, fraction := range placement.DomainFractions {
			shares[domain] += placement.Share * fraction
		}
	}
	return shares
}

// RegionOf returns the region of a failure domain, or "" if no region lists it.
func (d *Description) RegionOf(domain string) string {
	for name, region := range d.Regions {
		if slices.Contains(region.Domains, domain) {
			return name
		}
	}
	return ""
}

// UpstreamDrained reports whether an upstream id is in DrainedUpstreams.
func (d *Description) UpstreamDrained(upstream string) bool {
	return slices.Contains(d.DrainedUpstreams, upstream)
}

// InstanceDrained reports whether an instance id is in DrainedInstances.
func (d *Description) InstanceDrained(instance string) bool {
	return slices.Contains(d.DrainedInstances, instance)
}

// Parse decodes and validates a description. It rejects unknown keys.
func Parse(body []byte) (*Description, error) {
	d, err := decode(body)
	if err != nil {
		return nil, err
	}
	if err := d.Validate(); err != nil {
		return nil, err
	}
	return d, nil
}

func decode(body []byte) (*Description, error) {
	if len(body) > MaxBytes {
		return nil, result.New(result.DescriptionTooLarge, "description of %d bytes exceeds %d", len(body), MaxBytes)
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	var d Description
	if err := decoder.Decode(&d); err != nil {
		return nil, result.New(result.DescriptionInvalid, "%v", err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, result.New(result.DescriptionInvalid, "unexpected data after the JSON document")
	}
	return &d, nil
}

// Encode returns the canonical JSON encoding of the description. Keys are sorted
// so that equal descriptions have equal hashes.
func (d *Description) Encode() ([]byte, error) { return json.Marshal(d) }

// Hash returns the SHA-256 of body in hexadecimal.
func Hash(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// sortedKeys returns the keys of m in sorted order, which makes the order of
// validation errors deterministic.
func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
