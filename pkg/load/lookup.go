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
	lookupTimeout    = time.Second
	maxResponseBytes = 16 << 20
)

// LookupResponse is the decoded response to a lookup.
type LookupResponse struct {
	// Addresses are the addresses at which instances accept requests.
	Addresses []string
	TTL       time.Duration
}

// lookupCache caches the lookup response of one caller for its TTL.
type lookupCache struct {
	httpClients     *httpClients
	host            string
	region          string
	lookupAddresses []string
	// fixedAddresses are the addresses to use instead of lookups, if not nil.
	fixedAddresses []string

	// refreshMutex is held during a refresh, so that refreshes do not run concurrently.
	refreshMutex sync.Mutex

	mu               sync.Mutex
	response         LookupResponse
	fetchedAt        time.Time
	nextAddressIndex int
}

// addresses returns the cached addresses. It refreshes them in the background
// before they expire, so that requests rarely wait for a lookup. If no instance
// responds, it returns the expired addresses because there are no better ones.
func (c *lookupCache) addresses() []string {
	if c.fixedAddresses != nil {
		return c.fixedAddresses
	}
	response, age := c.cached()
	switch {
	case age >= response.TTL:
		c.refreshMutex.Lock()
		if refreshed, age := c.cached(); age >= refreshed.TTL {
			c.refresh()
		}
		c.refreshMutex.Unlock()
	case age >= response.TTL*3/4 && c.refreshMutex.TryLock():
		go func() {
			defer c.refreshMutex.Unlock()
			c.refresh()
		}()
	}
	response, _ = c.cached()
	return response.Addresses
}

func (c *lookupCache) cached() (LookupResponse, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.response, time.Since(c.fetchedAt)
}

// refresh queries the lookup addresses in turn, starting after the last one that
// failed.
func (c *lookupCache) refresh() {
	for range c.lookupAddresses {
		c.mu.Lock()
		address := c.lookupAddresses[c.nextAddressIndex%len(c.lookupAddresses)]
		c.mu.Unlock()
		response, err := QueryLookup(c.httpClients.get(address), address, c.host, c.region)
		c.mu.Lock()
		if err == nil {
			c.response, c.fetchedAt = response, time.Now()
			c.mu.Unlock()
			return
		}
		c.nextAddressIndex++
		c.mu.Unlock()
	}
}

// QueryLookup sends one lookup to the instance at address.
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
