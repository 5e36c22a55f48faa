package platform

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// Limits of the table service.
const (
	MaxKeyBytes   = 512
	MaxValueBytes = 256 << 10
	MaxListRows   = 1000
	// MaxObjectBytes leaves room above description.MaxBytes.
	MaxObjectBytes = 2 << 20
	// MaxInstances bounds the instance list.
	MaxInstances = 100_000
)

const (
	defaultTimeout = 2 * time.Second
	// The default rates let 100 clients together stay within the platform's
	// 2,000 reads and several hundred writes per second.
	defaultReadsPerSecond  = 20
	defaultWritesPerSecond = 3
	// burstSeconds is the time at the full rate that the burst holds.
	burstSeconds = 1
	// minBurst lets a bootstrap read its rows and objects without a wait.
	minBurst = 8
	// fleetReadsPerSecond and fleetWritesPerSecond are shared by all clients;
	// they are below the platform's limits of 2,000 and 300.
	fleetReadsPerSecond  = 1500
	fleetWritesPerSecond = 200
	// minRate is the rate per second that a client keeps however many there are.
	minRate = 0.05
	// An outage leaves tokens for the acceptance of one patch, which takes two
	// writes and three reads besides the call that found the store up.
	keepReads  = 3
	keepWrites = 2
)

// ClientConfig configures a Client. Zero values of the optional fields select
// defaults.
type ClientConfig struct {
	TableAddress   string
	ObjectsAddress string
	ListAddress    string
	// Timeout bounds each call, including the wait for the rate limit.
	Timeout         time.Duration
	ReadsPerSecond  float64
	WritesPerSecond float64
	Now             func() time.Time
	Sleep           func(ctx context.Context, d time.Duration) error
	// Random returns numbers from 0 to below 1; calls may be concurrent.
	Random  func() float64
	Metrics metrics.Registry
	Logger  *slog.Logger
}

func (c *ClientConfig) setDefaults() {
	if c.Timeout <= 0 {
		c.Timeout = defaultTimeout
	}
	if c.ReadsPerSecond <= 0 {
		c.ReadsPerSecond = defaultReadsPerSecond
	}
	if c.WritesPerSecond <= 0 {
		c.WritesPerSecond = defaultWritesPerSecond
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Sleep == nil {
		c.Sleep = Sleep
	}
	if c.Random == nil {
		c.Random = rand.Float64
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.Logger == nil {
		c.Logger = event.Discard()
	}
}

// Client reaches the platform over HTTP. It implements Table and Lister;
// Objects returns its object store.
type Client struct {
	config      ClientConfig
	table       *endpoint
	objects     *endpoint
	list        *endpoint
	readTokens  *bucket
	writeTokens *bucket
}

// NewClient returns a client; it connects with the first call.
func NewClient(config ClientConfig) *Client {
	config.setDefaults()
	now := config.Now()
	c := &Client{config: config}
	c.readTokens = newBucket(config.ReadsPerSecond, burst(config.ReadsPerSecond), now)
	c.writeTokens = newBucket(config.WritesPerSecond, burst(config.WritesPerSecond), now)
	c.table = newEndpoint(c, "table", config.TableAddress)
	c.objects = newEndpoint(c, "objects", config.ObjectsAddress)
	c.list = newEndpoint(c, "list", config.ListAddress)
	return c
}

func burst(rate float64) float64 { return max(minBurst, rate*burstSeconds) }

// SetLive limits the rates to this client's part of the platform's limits when
// live clients share them.
func (c *Client) SetLive(live int) {
	now, n := c.config.Now(), float64(max(live, 1))
	c.readTokens.setRate(now, max(minRate, min(c.config.ReadsPerSecond, fleetReadsPerSecond/n)))
	c.writeTokens.setRate(now, max(minRate, min(c.config.WritesPerSecond, fleetWritesPerSecond/n)))
}

// Down tells whether the table or the object store is known to be down.
func (c *Client) Down() bool { return c.table.health.isDown() || c.objects.health.isDown() }

// Objects returns the object store.
func (c *Client) Objects() Objects { return objectStore{c.objects} }

// drainTokens makes calls after an outage start without a burst.
func (c *Client) drainTokens() {
	now := c.config.Now()
	c.readTokens.drain(now, keepReads)
	c.writeTokens.drain(now, keepWrites)
}

// Get implements Table.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	if err := checkKey(key); err != nil {
		return Row{}, err
	}
	got, err := c.table.exchange(ctx, false, func(req *fasthttp.Request) {
		req.URI().SetPath("/table/rows")
		req.URI().QueryArgs().Set("key", key)
	})
	if err != nil {
		return Row{}, err
	}
	return decodeRow(key, got)
}

// List implements Table.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	limit = max(1, min(limit, MaxListRows))
	got, err := c.table.exchange(ctx, false, func(req *fasthttp.Request) {
		req.URI().SetPath("/table/list")
		args := req.URI().QueryArgs()
		args.Set("prefix", prefix)
		args.Set("after", after)
		args.SetUint("limit", limit)
	})
	if err != nil {
		return nil, err
	}
	return decodeList(prefix, after, limit, got)
}

// Transact implements Table.
func (c *Client) Transact(ctx context.Context, tx Transaction) (uint64, error) {
	body, err := encodeTransaction(tx)
	if err != nil {
		return 0, err
	}
	got, err := c.table.exchange(ctx, true, func(req *fasthttp.Request) {
		req.Header.SetMethod(fasthttp.MethodPost)
		req.URI().SetPath("/table/transactions")
		req.Header.SetContentType("application/json")
		req.SetBody(body)
	})
	if err != nil {
		return 0, err
	}
	return decodeTransaction(got)
}

// Instances implements Lister.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	got, err := c.list.exchange(ctx, false, func(req *fasthttp.Request) {
		req.URI().SetPath("/instances")
	})
	if err != nil {
		return nil, err
	}
	return decodeInstances(got)
}

func checkKey(key string) error {
	if key == "" || len(key) > MaxKeyBytes {
		return result.New(result.BadRequest, "a key has 1 to %d bytes", MaxKeyBytes)
	}
	return nil
}
