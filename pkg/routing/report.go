package routing

import "github.com/sequoiacove/sequoiacove/pkg/cluster"

// Shares returns a copy of the effective shares of all services.
func (t *Table) Shares() cluster.Shares {
	shares := make(cluster.Shares)
	for name, s := range t.snapshot() {
		s.mu.Lock()
		shares[name] = s.limiter.shares.clone()
		s.mu.Unlock()
	}
	return shares
}

// Destination is the state of one failure domain of a service, as shown to
// operators.
type Destination struct {
	Domain    string  `json:"domain" cbor:"d"`
	Region    string  `json:"region" cbor:"r"`
	Share     float64 `json:"share" cbor:"s"`
	Target    float64 `json:"target" cbor:"t"`
	Credit    float64 `json:"credit" cbor:"c"`
	Reachable bool    `json:"reachable" cbor:"ok"`
}

// Destinations returns the state of all destinations of a service, sorted by
// domain.
func (t *Table) Destinations(name string) ([]Destination, error) {
	s, err := t.service(name)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// A domain is listed if it has an effective share or a target share.
	domains := difference(s.limiter.shares, s.in.target).sortedKeys()
	list := make([]Destination, 0, len(domains))
	for _, d := range domains {
		list = append(list, Destination{
			Domain:    d,
			Region:    region(s.in.regionOf, d),
			Share:     s.limiter.shares[d],
			Target:    s.in.target[d],
			Credit:    s.chooser.domainCredits[d],
			Reachable: s.in.reachable[d],
		})
	}
	return list, nil
}
