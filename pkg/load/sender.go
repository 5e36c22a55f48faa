package load

import (
	"fmt"
	"time"
)

// Sender sends individual requests without retries (see Config.SingleAttempt).
type Sender struct{ caller *caller }

// NewSender returns a Sender for the routes of a host.
func NewSender(host string) *Sender {
	return &Sender{newCallers(Config{Host: host, DirectAddresses: []string{""}, SingleAttempt: true}.withDefaults()).list[0]}
}

// Send sends a request to an address. Latency and timeout are measured from the
// intended send time.
func (s *Sender) Send(address string, planned PlannedRequest, intended time.Time, timeout time.Duration) Record {
	c := *s.caller
	c.cfg.Timeout, c.lookups = timeout, &lookupCache{fixedAddresses: []string{address}}
	return c.send(planned, intended)
}

// Close closes the idle connections.
func (s *Sender) Close() { s.caller.shared.close() }

const probeTimeout = 2 * time.Second

// Probe sends one short idempotent request to an instance or upstream.
func Probe(address, host string) Record {
	s := NewSender(host)
	defer s.Close()
	now := time.Now()
	planned := PlannedRequest{Class: ClassRead, Idempotent: true, Token: fmt.Sprintf("probe-%d", now.UnixNano()), WorkMS: 1}
	return s.Send(address, planned, now, probeTimeout)
}
