// Package description defines the document by which operators describe where
// the traffic of each service may go.
//
// A description names regions with their failure domains, links with their
// capacity, and for each service the share of every region and failure domain
// and the caps on how fast those shares may change. It is immutable once
// parsed; a patch yields a new description that is valid as a whole or is
// refused as a whole.
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

// MaxBytes bounds a description and a patch.
const MaxBytes = 1 << 20

// MaxDeadline is the longest time that a request may take.
const MaxDeadline = 5 * time.Minute

// Description is one version of the operators' document.
type Description struct {
	Regions  map[string]Region  `json:"regions"`
	Links    []Link             `json:"links,omitempty"`
	Lookup   Lookup             `json:"lookup"`
	Services map[string]Service `json:"services"`
	// DrainedUpstreams and DrainedInstances hold ids that get no new work.
	DrainedUpstreams []string `json:"drained_upstreams,omitempty"`
	DrainedInstances []string `json:"drained_instances,omitempty"`
}

// Region is a region and its failure domains.
type Region struct {
	Domains []string `json:"domains"`
}

// Link is the capacity between two regions, each way.
type Link struct {
	Between       [2]string `json:"between"`
	MbitPerSecond float64   `json:"mbit_per_second"`
}

// Lookup holds the settings of look-up answers.
type Lookup struct {
	// TTLMS is how long callers may cache an answer, in milliseconds.
	TTLMS int `json:"ttl_ms"`
}

// TTL returns how long callers may cache an answer.
func (l Lookup) TTL() time.Duration { return time.Duration(l.TTLMS) * time.Millisecond }

// Service describes where the traffic of one service may go.
type Service struct {
	Regions map[string]Placement `json:"regions"`
	Caps    Caps                 `json:"caps"`
	// MaxRequestMS is the longest deadline of a request, in milliseconds.
	MaxRequestMS int `json:"max_request_ms"`
	// Locality is LocalityNone or LocalityNearest; empty means LocalityNone.
	Locality string `json:"locality,omitempty"`
}

// Ways to split a service's shares over the instances that receive its traffic.
const (
	// LocalityNone gives every instance the same shares. The sum holds the
	// shares and caps for any mix of traffic between instances.
	LocalityNone = "none"
	// LocalityNearest serves requests in their own region as far as the shares
	// allow. The sum holds the shares for the demand that the instances report,
	// so a sudden drop of a region's demand shows in the shares until the
	// reports have followed.
	LocalityNearest = "nearest"
)

// Placement is the part of a service's traffic that a region may take.
type Placement struct {
	// Share is the region's part of the service's traffic, 0 to 1.
	Share float64 `json:"share"`
	// MaxConcurrent limits requests running in the region; 0 means the slots
	// of its upstreams alone limit it.
	MaxConcurrent int `json:"max_concurrent,omitempty"`
	// Domains holds each failure domain's part of the region's share.
	Domains map[string]float64 `json:"domains"`
}

// Caps limits how fast shares may change, in share points per second: 0.02
// moves at most two percent of the service's traffic per second.
type Caps struct {
	// RegionSharePerSecond 0 means no cap.
	RegionSharePerSecond float64 `json:"region_share_per_second"`
	// DomainSharePerSecond 0 means no cap of its own; the region cap still
	// applies to the sum over a region's failure domains.
	DomainSharePerSecond float64 `json:"domain_share_per_second"`
	// FailoverSharePerSecond replaces RegionSharePerSecond while traffic
	// moves away from an unreachable failure domain; 0 keeps it.
	FailoverSharePerSecond float64 `json:"failover_share_per_second"`
}

// MaxRequest returns the longest deadline of a request to the service.
func (s Service) MaxRequest() time.Duration {
	return time.Duration(s.MaxRequestMS) * time.Millisecond
}

// DomainShares returns the share of each failure domain in the service's
// traffic; the shares sum to 1.
func (s Service) DomainShares() map[string]float64 {
	shares := make(map[string]float64)
	for _, placement := range s.Regions {
		for domain, part := range placement.Domains {
			shares[domain] += placement.Share * part
		}
	}
	return shares
}

// RegionOf returns the region of a failure domain, or "".
func (d *Description) RegionOf(domain string) string {
	for name, region := range d.Regions {
		if slices.Contains(region.Domains, domain) {
			return name
		}
	}
	return ""
}

// UpstreamDrained tells whether an upstream id is in DrainedUpstreams.
func (d *Description) UpstreamDrained(upstream string) bool {
	return slices.Contains(d.DrainedUpstreams, upstream)
}

// InstanceDrained tells whether an instance id is in DrainedInstances.
func (d *Description) InstanceDrained(instance string) bool {
	return slices.Contains(d.DrainedInstances, instance)
}

// Parse decodes and validates a description.
func Parse(body []byte) (*Description, error) {
	if len(body) > MaxBytes {
		return nil, result.New(result.DescriptionTooLarge, "%d bytes exceed %d", len(body), MaxBytes)
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	var d Description
	if err := decoder.Decode(&d); err != nil {
		return nil, result.New(result.DescriptionInvalid, "%v", err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, result.New(result.DescriptionInvalid, "data follows the document")
	}
	if err := d.Validate(); err != nil {
		return nil, err
	}
	return &d, nil
}

// Encode returns the canonical JSON of the description: keys are sorted, so
// that equal descriptions have equal hashes.
func (d *Description) Encode() ([]byte, error) { return json.Marshal(d) }

// Hash returns the SHA-256 of body in hexadecimal.
func Hash(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// sortedKeys returns the keys of m in order, so that errors and diffs repeat.
func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
