package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/sequoiacove/sequoiacove/platform"
	"github.com/sequoiacove/sequoiacove/platform/platformtest"
)

const (
	lookupTimeout = time.Second
	maxResponseBytes     = 16 << 20
)

// LookupResponse is a look-up answer.
type LookupResponse struct {
	// Addresses are caller addresses of instances.
	Addresses []string
	TTL       time.Duration
}

// lookupCache holds the look-up answer of one caller for its lifetime.
type lookupCache struct {
	clients     *clients
	host        string
	region      string
	lookupAddresses []string
	// fixedAddresses replaces look-ups.
	fixedAddresses []string

	// refreshing admits one look-up at a time.
	refreshing sync.Mutex

	mu      sync.Mutex
	response  LookupResponse
	fetched time.Time
	nextAddress    int
}

// targets returns the cached answer. It refreshes the answer in the background
// before it expires, so that requests rarely wait for a look-up. When no
// instance answers, the expired one is returned: a caller has nothing better.
func (c *lookupCache) targets() []string {
	if c.fixedAddresses != nil {
		return c.fixedAddresses
	}
	answer, age := c.cached()
	switch {
	case age >= answer.TTL:
		c.refreshing.Lock()
		if again, age := c.cached(); age >= again.TTL {
			c.refresh()
		}
		c.refreshing.Unlock()
	case age >= answer.TTL*3/4 && c.refreshing.TryLock():
		go func() {
			defer c.refreshing.Unlock()
			c.refresh()
		}()
	}
	answer, _ = c.cached()
	return answer.Addresses
}

func (c *lookupCache) cached() (LookupResponse, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.response, time.Since(c.fetched)
}

// refresh asks the directories in turn, starting behind the last one that
// failed.
func (c *lookupCache) refresh() {
	for range c.lookupAddresses {
		c.mu.Lock()
		address := c.lookupAddresses[c.nextAddress%len(c.lookupAddresses)]
		c.mu.Unlock()
		answer, err := QueryLookup(c.clients.get(address), address, c.host, c.region)
		c.mu.Lock()
		if err == nil {
			c.response, c.fetched = answer, time.Now()
			c.mu.Unlock()
			return
		}
		c.nextAddress++
		c.mu.Unlock()
	}
}

// QueryLookup sends one look-up to the directory at an address.
func QueryLookup(client *http.Client, address, host, region string) (LookupResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout)
	defer cancel()
	paths := platform.Paths()
	query := url.Values{"name": {host}, paths.LookupRegion: {region}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+paths.Lookup+"?"+query.Encode(), nil)
	if err != nil {
		return LookupResponse{}, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return LookupResponse{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return LookupResponse{}, err
	}
	if resp.StatusCode != http.StatusOK {
		return LookupResponse{}, fmt.Errorf("status %d: %.200s", resp.StatusCode, body)
	}
	addresses, ttl, err := platformtest.DecodeLookup(body)
	return LookupResponse{Addresses: addresses, TTL: ttl}, err
}
