package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"
)

const (
	lookupTimeout = time.Second
	maxAnswer     = 16 << 20
)

// Target is an entry instance in a look-up answer.
type Target struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Region  string `json:"region"`
	Domain  string `json:"domain"`
}

// Lookup is a look-up answer.
type Lookup struct {
	TTLMS     int      `json:"ttl_ms"`
	Version   uint64   `json:"version"`
	Instances []Target `json:"instances"`
}

// cache holds the look-up answer of one caller for its lifetime.
type cache struct {
	clients *clients
	service string
	block   string
	entries []string
	// fixed replaces look-ups.
	fixed []Target

	// refreshing admits one look-up at a time.
	refreshing sync.Mutex

	mu      sync.Mutex
	answer  Lookup
	fetched time.Time
	next    int
}

// targets returns the cached answer. It refreshes the answer in the background
// before it expires, so that requests rarely wait for a look-up. When no
// instance answers, the expired one is returned: a caller has nothing better.
func (c *cache) targets() []Target {
	if c.fixed != nil {
		return c.fixed
	}
	answer, age := c.cached()
	lifetime := time.Duration(answer.TTLMS) * time.Millisecond
	switch {
	case age >= lifetime:
		c.refreshing.Lock()
		if again, age := c.cached(); age >= time.Duration(again.TTLMS)*time.Millisecond {
			c.refresh()
		}
		c.refreshing.Unlock()
	case age >= lifetime*3/4 && c.refreshing.TryLock():
		go func() {
			defer c.refreshing.Unlock()
			c.refresh()
		}()
	}
	answer, _ = c.cached()
	return answer.Instances
}

func (c *cache) cached() (Lookup, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answer, time.Since(c.fetched)
}

func (c *cache) refresh() {
	for _, address := range c.sources() {
		answer, err := Ask(c.clients.of(address), address, c.service, c.block)
		c.mu.Lock()
		if err == nil && len(answer.Instances) > 0 {
			c.answer, c.fetched = answer, time.Now()
			c.mu.Unlock()
			return
		}
		c.next++
		c.mu.Unlock()
	}
}

// sources lists the addresses to ask: known instances and configured
// ones, starting behind the last one that failed.
func (c *cache) sources() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for _, t := range c.answer.Instances {
		list = append(list, t.Address)
	}
	list = append(list, c.entries...)
	if len(list) == 0 {
		return nil
	}
	first := c.next % len(list)
	return append(list[first:], list[:first]...)
}

// Ask sends one look-up to an entry instance.
func Ask(client *http.Client, address, service, block string) (Lookup, error) {
	query := url.Values{"service": {service}}
	if block != "" {
		query.Set("block", block)
	}
	var answer Lookup
	err := getJSON(client, http.MethodGet, "http://"+address+"/v1/lookup?"+query.Encode(), &answer)
	return answer, err
}

func getJSON(client *http.Client, method, target string, into any) error {
	ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, target, strings.NewReader(""))
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %.200s", resp.StatusCode, body)
	}
	return json.Unmarshal(body, into)
}
