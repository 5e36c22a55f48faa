package instance

import (
	"log/slog"
	"net"
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
	MeshAddress  string
	AdminAddress string
	// MetricsAddress serves the metrics and the state dump to collectors.
	MetricsAddress string
	// Seeds are mesh addresses of instances to try first.
	Seeds        []string
	StoreAddress string
	MemoryMB     int
	// Descriptors bounds the open sockets and files.
	Descriptors int
	Bounds      steering.Bounds
	LogLevel    slog.Level
}

// defaultRetryRatio applies where no bound on repeats is stated.
const defaultRetryRatio = 0.1

// BoundsParser reads the text of the bounds.
type BoundsParser func(text string) (steering.Bounds, error)

// LoadSettings reads and checks a settings file.
func LoadSettings(path string, parse BoundsParser) (*Settings, error) {
	r, err := settings.Load(path)
	if err != nil {
		return nil, err
	}
	return ReadSettings(r, parse)
}

// ReadSettings reads and checks all sections.
func ReadSettings(r *settings.Reader, parse BoundsParser) (*Settings, error) {
	s := &Settings{
		ID:             r.String("instance", "id"),
		Region:         r.String("instance", "region"),
		Domain:         r.String("instance", "domain"),
		Regions:        r.Section("regions"),
		CallerAddress:  r.Address("listen", "callers"),
		ReadyAddress:   r.Address("listen", "readiness"),
		LookupAddress:  r.AddressOr("listen", "lookup", ""),
		MeshAddress:    r.Address("listen", "mesh"),
		AdminAddress:   r.AddressOr("listen", "admin", ""),
		MetricsAddress: r.AddressOr("listen", "metrics", ""),
		StoreAddress:   r.Address("store", "address"),
		MemoryMB:       r.Int("limits", "memory_mb", 256, 32, 1<<20),
		Descriptors:    r.Int("limits", "descriptors", 1024, 64, 1<<20),
	}
	level := r.OneOf("log", "level", "info", "debug", "warn", "error")
	// OneOf returns only names that the level knows.
	_ = s.LogLevel.UnmarshalText([]byte(level))
	s.Seeds = meshAddresses(r.Addresses("mesh", "seeds"), s.MeshAddress)
	if _, ok := s.Regions[s.Domain]; !ok && s.Domain != "" {
		r.Fail("regions", s.Domain, "the own failure domain has no region")
	}
	s.Bounds = readBounds(r, parse)
	return s, r.Err()
}

// readBounds reads the bounds and gives those that are not stated a value that
// breaks no usual one.
func readBounds(r *settings.Reader, parse BoundsParser) steering.Bounds {
	b, err := parse(r.StringOr("bounds", "platform", "{}"))
	if err != nil {
		r.Fail("bounds", "platform", "%v", err)
	}
	if b.RetryRatio <= 0 && b.RetrySlack <= 0 {
		b.RetryRatio = defaultRetryRatio
	}
	if b.RetryWindow <= 0 {
		b.RetryWindow = 10 * time.Second
	}
	if b.MaxShift <= 0 {
		b.MaxShift = 0.15
	}
	if b.MaxLookupTTL <= 0 {
		b.MaxLookupTTL = 5 * time.Second
	}
	if b.Grace <= 0 {
		b.Grace = 6 * time.Second
	}
	return b
}

// meshAddresses gives every seed the port of the own mesh address: all
// instances use the same port.
func meshAddresses(seeds []string, own string) []string {
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
