package instance

import (
	"log/slog"
	"net"
	"net/netip"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/settings"
	"github.com/sequoiacove/sequoiacove/pkg/steering"
)

// Settings holds the start-up settings of an instance.
type Settings struct {
	ID     string
	Region string
	Domain string
	// Regions maps failure domains to their regions.
	Regions map[string]string

	CallerAddress string
	ReadyAddress  string
	LookupAddress string
	// MeshAddress serves the other instances over TCP and UDP.
	MeshAddress string
	// MeshAdvertised is where the others reach MeshAddress, if it differs as
	// behind an address translation.
	MeshAdvertised string
	AdminAddress   string
	// MetricsAddress serves the metrics and the state dump to collectors.
	MetricsAddress string
	// Seeds are mesh addresses of instances to try first.
	Seeds        []string
	StoreAddress string
	MemoryMB     int
	// Descriptors bounds the open sockets and files.
	Descriptors int
	Bounds      steering.Bounds
	// Operators maps the names of operators to their tokens; without any, the
	// operator API is not served.
	Operators map[string]string
	LogLevel  slog.Level
}

// ParseSettings reads and checks the text of a settings file.
func ParseSettings(content []byte) (*Settings, error) {
	r, err := settings.Parse(content)
	if err != nil {
		return nil, err
	}
	return readSettings(r)
}

// readSettings reads and checks all sections.
func readSettings(r *settings.Reader) (*Settings, error) {
	s := &Settings{
		ID:             r.String("instance", "id"),
		Region:         r.String("instance", "region"),
		Domain:         r.String("instance", "domain"),
		Regions:        r.Section("regions"),
		CallerAddress:  r.Address("listen", "callers"),
		ReadyAddress:   r.Address("listen", "readiness"),
		LookupAddress:  r.AddressOr("listen", "lookup", ""),
		MeshAddress:    r.Address("listen", "mesh"),
		MeshAdvertised: r.AddressOr("mesh", "advertised", ""),
		AdminAddress:   r.AddressOr("listen", "admin", ""),
		MetricsAddress: r.AddressOr("listen", "metrics", ""),
		StoreAddress:   r.Address("store", "address"),
		MemoryMB:       r.Int("limits", "memory_mb", 256, 32, 1<<20),
		Descriptors:    r.Int("limits", "descriptors", 1024, 64, 1<<20),
		Bounds:         readBounds(r),
	}
	s.Operators = readOperators(r)
	level := r.OneOf("log", "level", "info", "debug", "warn", "error")
	// OneOf returns only names that the level knows.
	_ = s.LogLevel.UnmarshalText([]byte(level))
	s.Seeds = withMeshPort(r.Addresses("mesh", "seeds"), s.MeshAddress)
	if _, ok := s.Regions[s.Domain]; !ok && s.Domain != "" {
		r.AddError("regions", s.Domain, "the own failure domain has no region")
	}
	if s.MeshAdvertised == "" && isWildcard(s.MeshAddress) || isWildcard(s.MeshAdvertised) {
		r.AddError("mesh", "advertised", "must name the host at which the others reach the mesh")
	}
	return s, r.Err()
}

// reachedAt returns where the other instances reach the mesh.
func (s *Settings) advertisedMeshAddress() string {
	if s.MeshAdvertised != "" {
		return s.MeshAdvertised
	}
	return s.MeshAddress
}

// sendAddress returns the address of sockets that send to the mesh; the system
// chooses the port.
func (s *Settings) meshSourceAddress() string {
	host, _, err := net.SplitHostPort(s.MeshAddress)
	if err != nil {
		// Settings were checked; a wildcard serves as well.
		host = ""
	}
	return net.JoinHostPort(host, "0")
}

// wildcard tells whether an address names no host.
func isWildcard(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Addr().IsUnspecified()
}

// minTokenBytes is the shortest token of an operator.
const minTokenBytes = 16

func readOperators(r *settings.Reader) map[string]string {
	const section = "operators"
	tokens := r.Section(section)
	for name, token := range tokens {
		if len(token) < minTokenBytes {
			r.AddError(section, name, "a token has at least %d characters", minTokenBytes)
		}
	}
	return tokens
}

// readBounds reads the bounds; the defaults are cautious ones.
func readBounds(r *settings.Reader) steering.Bounds {
	const section = "bounds"
	return steering.Bounds{
		RetryRatio:    r.Float(section, "repeat_ratio", 0.1, 0, 10),
		RetrySlack:    r.Float(section, "repeat_slack", 0, 0, 1e6),
		RetryWindow:   r.Duration(section, "repeat_window", 10*time.Second, time.Second, time.Hour),
		MaxShift:      r.Float(section, "region_shift", 0.15, 0, 1),
		DrainDeadline: r.Duration(section, "leave_time", 2500*time.Millisecond, 100*time.Millisecond, time.Minute),
		GracePeriod:   r.Duration(section, "stop_time", 6*time.Second, time.Second, time.Hour),
		MaxLookupTTL:  r.Duration(section, "lookup_ttl", 5*time.Second, 10*time.Millisecond, time.Hour),
	}
}

// meshAddresses gives every seed the port of the own mesh address: all
// instances use the same port.
func withMeshPort(seeds []string, own string) []string {
	_, port, err := net.SplitHostPort(own)
	if err != nil {
		return nil
	}
	list := make([]string, 0, len(seeds))
	for _, s := range seeds {
		if host, _, err := net.SplitHostPort(s); err == nil {
			list = append(list, net.JoinHostPort(host, port))
		}
	}
	return list
}

// megabytes converts a number of MB to bytes.
func megabytes(n int) int64 { return int64(n) << 20 }
