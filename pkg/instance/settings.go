package instance

import (
	"log/slog"
	"net"
	"net/netip"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/settings"
	"github.com/sequoiacove/sequoiacove/pkg/steering"
)

// Settings holds the content of an instance's settings file. Only Bounds and Seeds
// can change without a restart.
type Settings struct {
	ID     string
	Region string
	Domain string
	// Regions maps failure domains to their regions.
	Regions map[string]string

	CallerAddress    string
	ReadinessAddress string
	LookupAddress    string
	// MeshAddress serves the other instances over TCP and UDP.
	MeshAddress string
	// MeshAdvertised is the address at which other instances reach MeshAddress,
	// if it differs, for example behind NAT.
	MeshAdvertised string
	AdminAddress   string
	// MetricsAddress serves the metrics and the state dump to collectors.
	MetricsAddress string
	// Seeds are the mesh addresses of the instances to contact first.
	Seeds         []string
	StoreAddress  string
	MemoryLimitMB int
	// MaxFileDescriptors is the maximum number of open file descriptors.
	MaxFileDescriptors int
	// LinkMbps is the rate of the machine's link in Mbit/s, 0 if it is not stated.
	LinkMbps float64
	Bounds   steering.GlobalLimits
	// Operators maps the names of operators to their tokens. If it is empty, the
	// operator API is disabled.
	Operators map[string]string
	LogLevel  slog.Level
}

// ParseSettings parses and validates the content of a settings file.
func ParseSettings(content []byte) (*Settings, error) {
	r, err := settings.Parse(content)
	if err != nil {
		return nil, err
	}
	return readSettings(r)
}

// readSettings reads and validates all sections.
func readSettings(r *settings.Reader) (*Settings, error) {
	s := &Settings{
		ID:                 r.String("instance", "id"),
		Region:             r.String("instance", "region"),
		Domain:             r.String("instance", "domain"),
		Regions:            r.Section("regions"),
		CallerAddress:      r.Address("listen", "callers"),
		ReadinessAddress:   r.Address("listen", "readiness"),
		LookupAddress:      r.AddressOr("listen", "lookup", ""),
		MeshAddress:        r.Address("listen", "mesh"),
		MeshAdvertised:     r.AddressOr("mesh", "advertised", ""),
		AdminAddress:       r.AddressOr("listen", "admin", ""),
		MetricsAddress:     r.AddressOr("listen", "metrics", ""),
		StoreAddress:       r.Address("store", "address"),
		MemoryLimitMB:      r.Int("limits", "memory_mb", 256, 32, 1<<20),
		MaxFileDescriptors: r.Int("limits", "descriptors", 1024, 64, 1<<20),
		LinkMbps:           r.Float("limits", "link_mbps", 0, 0, 1e6),
		Bounds:             readBounds(r),
	}
	s.Operators = readOperators(r)
	level := r.OneOf("log", "level", "info", "debug", "warn", "error")
	// UnmarshalText cannot fail: OneOf returns only valid level names.
	_ = s.LogLevel.UnmarshalText([]byte(level))
	s.Seeds = withMeshPort(r.Addresses("mesh", "seeds"), s.MeshAddress)
	if _, ok := s.Regions[s.Domain]; !ok && s.Domain != "" {
		r.AddError("regions", s.Domain, "the failure domain of the instance has no region")
	}
	if s.MeshAdvertised == "" && isWildcard(s.MeshAddress) || isWildcard(s.MeshAdvertised) {
		r.AddError("mesh", "advertised", "must be the address at which other instances reach the mesh, not a wildcard")
	}
	return s, r.Err()
}

// advertisedMeshAddress returns the address at which other instances reach the
// mesh.
func (s *Settings) advertisedMeshAddress() string {
	if s.MeshAdvertised != "" {
		return s.MeshAdvertised
	}
	return s.MeshAddress
}

// meshSourceAddress returns the local address of the sockets that send to the
// mesh. The operating system chooses the port.
func (s *Settings) meshSourceAddress() string {
	host, _, err := net.SplitHostPort(s.MeshAddress)
	if err != nil {
		// This cannot happen with validated settings; a wildcard address would work
		// as well.
		host = ""
	}
	return net.JoinHostPort(host, "0")
}

// isWildcard reports whether an address has an unspecified IP address.
func isWildcard(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Addr().IsUnspecified()
}

// minTokenBytes is the minimum length of an operator's token.
const minTokenBytes = 16

func readOperators(r *settings.Reader) map[string]string {
	const section = "operators"
	tokens := r.Section(section)
	for name, token := range tokens {
		if len(token) < minTokenBytes {
			r.AddError(section, name, "a token must have at least %d characters", minTokenBytes)
		}
	}
	return tokens
}

// readBounds reads the bounds. The defaults are conservative.
func readBounds(r *settings.Reader) steering.GlobalLimits {
	const section = "bounds"
	return steering.GlobalLimits{
		MaxRetryRatio:       r.Float(section, "repeat_ratio", 0.1, 0, 10),
		ExtraRetries:        r.Float(section, "repeat_slack", 0, 0, 1e6),
		RetryWindow:         r.Duration(section, "repeat_window", 10*time.Second, time.Second, time.Hour),
		MaxRegionShift:      r.Float(section, "region_shift", 0.15, 0, 1),
		DrainTimeout:        r.Duration(section, "leave_time", 2500*time.Millisecond, 100*time.Millisecond, time.Minute),
		ShutdownGracePeriod: r.Duration(section, "stop_time", 6*time.Second, time.Second, time.Hour),
		MaxLookupTTL:        r.Duration(section, "lookup_ttl", 5*time.Second, 10*time.Millisecond, time.Hour),
	}
}

// withMeshPort returns the seeds with the port of own, this instance's mesh
// address, because all instances use the same mesh port.
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

// megabytesToBytes converts a number of MB to bytes.
func megabytesToBytes(n int) int64 { return int64(n) << 20 }
