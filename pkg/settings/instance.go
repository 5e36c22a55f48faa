package settings

import (
	"log/slog"
	"time"
)

// Instance holds the start-up settings of one instance. The entry and the
// agent of an instance read the same file.
type Instance struct {
	ID     string
	Region string
	Domain string

	TLS        TLS
	Entry      Entry
	Agent      Agent
	Platform   Platform
	Membership Membership
	Admission  Admission
	LogLevel   slog.Level
}

// TLS names the PEM files for mutual TLS between the system's processes.
type TLS struct {
	CertificateFile string
	KeyFile         string
	AuthorityFile   string
}

// Entry holds the settings of the entry process.
type Entry struct {
	// CallerAddress serves callers over HTTP.
	CallerAddress string
	// PeerAddress serves other entries and the own agent over QUIC.
	PeerAddress string
	// AdvertisedAddress is where other instances reach PeerAddress; it differs
	// from it behind an address translation.
	AdvertisedAddress string
	AdminAddress      string
	// MaxConcurrent bounds the caller requests in flight.
	MaxConcurrent int
	// CallerRequestsPerSecond bounds the requests of each caller address; 0
	// means no bound, because callers may share addresses.
	CallerRequestsPerSecond float64
	// DrainGrace bounds a graceful stop: the look-up lifetime and the longest
	// request are waited for up to this time.
	DrainGrace time.Duration
}

// Agent holds the settings of the agent process.
type Agent struct {
	// PeerAddress serves other agents over QUIC.
	PeerAddress string
	// AdvertisedAddress is where other agents reach PeerAddress; it differs
	// from it behind an address translation.
	AdvertisedAddress string
	// OperatorAddress serves operators over HTTP or HTTPS.
	OperatorAddress string
	// OperatorTLS makes the operator API use the TLS files.
	OperatorTLS  bool
	AdminAddress string
	// Operators maps operator names to their tokens.
	Operators map[string]string
	// OperatorRequestsPerSecond bounds the requests of each operator.
	OperatorRequestsPerSecond float64
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	TableAddress   string
	ObjectsAddress string
	ListAddress    string
	Timeout        time.Duration
}

// Membership holds the settings of heartbeats between agents.
type Membership struct {
	// Seeds are agent peer addresses that a new instance tries first.
	Seeds             []string
	HeartbeatInterval time.Duration
	SuspectAfter      time.Duration
	DeadAfter         time.Duration
}

// Admission holds the settings of pools.
type Admission struct {
	// Policy is owner_queue or one of the baselines random, round_robin and
	// least_of_two.
	Policy string
	// QueueLength bounds the waiting requests of a pool.
	QueueLength int
	// ExtraExecutions bounds hedges and retries as a part of all executions.
	ExtraExecutions float64
	// HedgeQuantile is the latency quantile after which an idempotent request
	// is hedged.
	HedgeQuantile float64
	// LongRouteSlots is the part of a pool's slots that routes known to be
	// long may hold.
	LongRouteSlots float64
	// MaxEjected bounds the part of a pool's upstreams that may be ejected.
	MaxEjected float64
}

// Policies of a pool; the first is the default.
var Policies = []string{"owner_queue", "random", "round_robin", "least_of_two"}

// LoadInstance reads and checks the settings file of an instance.
func LoadInstance(path string) (*Instance, error) {
	r, err := Load(path)
	if err != nil {
		return nil, err
	}
	return ReadInstance(r)
}

// ReadInstance reads and checks all sections of an instance.
func ReadInstance(r *Reader) (*Instance, error) {
	s := &Instance{
		ID:         r.String("instance", "id"),
		Region:     r.String("instance", "region"),
		Domain:     r.String("instance", "domain"),
		TLS:        readTLS(r),
		Entry:      readEntry(r),
		Agent:      readAgent(r),
		Platform:   readPlatform(r),
		Membership: readMembership(r),
		Admission:  readAdmission(r),
	}
	level := r.OneOf("log", "level", "info", "debug", "warn", "error")
	_ = s.LogLevel.UnmarshalText([]byte(level))
	if err := r.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func readTLS(r *Reader) TLS {
	return TLS{
		CertificateFile: r.String("tls", "certificate_file"),
		KeyFile:         r.String("tls", "key_file"),
		AuthorityFile:   r.String("tls", "authority_file"),
	}
}

func readEntry(r *Reader) Entry {
	peerAddress := r.Address("entry", "peer_address")
	return Entry{
		CallerAddress:           r.Address("entry", "caller_address"),
		PeerAddress:             peerAddress,
		AdvertisedAddress:       r.AddressOr("entry", "advertised_address", peerAddress),
		AdminAddress:            r.Address("entry", "admin_address"),
		MaxConcurrent:           r.Int("entry", "max_concurrent", 4096, 1, 1_000_000),
		CallerRequestsPerSecond: r.Float("entry", "caller_requests_per_second", 0, 0, 1_000_000),
		DrainGrace:              r.Duration("entry", "drain_grace", 5*time.Minute, 0, time.Hour),
	}
}

func readAgent(r *Reader) Agent {
	peerAddress := r.Address("agent", "peer_address")
	agent := Agent{
		PeerAddress:               peerAddress,
		AdvertisedAddress:         r.AddressOr("agent", "advertised_address", peerAddress),
		OperatorAddress:           r.Address("agent", "operator_address"),
		OperatorTLS:               r.OneOf("agent", "operator_tls", "yes", "no") == "yes",
		AdminAddress:              r.Address("agent", "admin_address"),
		OperatorRequestsPerSecond: r.Float("agent", "operator_requests_per_second", 20, 0.1, 10_000),
		Operators:                 r.Section("operators"),
	}
	for name, token := range agent.Operators {
		if len(token) < minTokenBytes {
			r.Fail("operators", name, "a token has at least %d characters", minTokenBytes)
		}
	}
	return agent
}

// minTokenBytes keeps operator tokens beyond guessing at the allowed request rate.
const minTokenBytes = 16

func readPlatform(r *Reader) Platform {
	return Platform{
		TableAddress:   r.Address("platform", "table_address"),
		ObjectsAddress: r.Address("platform", "objects_address"),
		ListAddress:    r.Address("platform", "list_address"),
		Timeout:        r.Duration("platform", "timeout", 2*time.Second, 10*time.Millisecond, time.Minute),
	}
}

func readMembership(r *Reader) Membership {
	m := Membership{
		Seeds:             r.Addresses("membership", "seeds"),
		HeartbeatInterval: r.Duration("membership", "heartbeat_interval", 500*time.Millisecond, 10*time.Millisecond, 10*time.Second),
		SuspectAfter:      r.Duration("membership", "suspect_after", 2*time.Second, 20*time.Millisecond, time.Minute),
		DeadAfter:         r.Duration("membership", "dead_after", 3*time.Second, 30*time.Millisecond, 2*time.Minute),
	}
	if m.SuspectAfter <= m.HeartbeatInterval || m.DeadAfter <= m.SuspectAfter {
		r.Fail("membership", "dead_after", "heartbeat_interval < suspect_after < dead_after is required")
	}
	return m
}

func readAdmission(r *Reader) Admission {
	return Admission{
		Policy:          r.OneOf("admission", "policy", Policies...),
		QueueLength:     r.Int("admission", "queue_length", 1024, 1, 1_000_000),
		ExtraExecutions: r.Float("admission", "extra_executions", 0.05, 0, 1),
		HedgeQuantile:   r.Float("admission", "hedge_quantile", 0.97, 0.5, 0.9999),
		LongRouteSlots:  r.Float("admission", "long_route_slots", 0.75, 0.05, 1),
		MaxEjected:      r.Float("admission", "max_ejected", 0.33, 0, 1),
	}
}
