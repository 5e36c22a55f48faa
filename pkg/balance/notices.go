package balance

// Notices holds what upstreams have recently said about themselves in their responses.
type Notices struct {
	Statements []Statement
	Leaving    []Leaving
}

// Notices returns what upstreams have said to this instance.
func (b *Balancer) Notices() Notices {
	return Notices{Statements: b.ownStatements(), Leaving: b.ownLeaving()}
}

// RegionNotices returns what upstreams have said to the instances of this region.
func (b *Balancer) RegionNotices() Notices {
	return Notices{Statements: b.regionStatements(), Leaving: b.regionLeaving()}
}

// SetPeerNotices applies what another instance or region reports.
func (b *Balancer) SetPeerNotices(region string, n Notices) {
	b.setPeerStatements(region, n.Statements)
	b.setPeerLeaving(region, n.Leaving)
}
