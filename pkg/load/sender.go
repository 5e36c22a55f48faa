package load

import (
	"fmt"
	"time"
)

// Sender sends single requests, each once.
type Sender struct{ caller *caller }

// NewSender returns a sender for the routes of a host.
func NewSender(host string) *Sender {
	return &Sender{newCallers(Config{Host: host, DirectAddresses: []string{""}, SingleAttempt: true}.withDefaults()).list[0]}
}

// Send sends a request to an address. Latency counts from the intended time,
// and the deadline as well.
func (s *Sender) Send(address string, item PlannedRequest, intended time.Time, deadline time.Duration) Record {
	c := *s.caller
	c.cfg.Deadline, c.lookups = deadline, &lookupCache{fixedAddresses: []string{address}}
	return c.send(item, intended)
}

// Close drops the idle connections.
func (s *Sender) Close() { s.caller.shared.close() }

// probeDeadline bounds a probe.
const probeDeadline = 2 * time.Second

// Probe sends one idempotent request with little work to an instance.
func Probe(address, host string) Record {
	s := NewSender(host)
	defer s.Close()
	now := time.Now()
	item := PlannedRequest{Class: ClassRead, Idempotent: true, Token: fmt.Sprintf("probe-%d", now.UnixNano()), WorkMS: 1}
	return s.Send(address, item, now, probeDeadline)
}
