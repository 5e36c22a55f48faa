package load

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	dialTimeout     = time.Second
	idleTimeout     = 10 * time.Second
	idlePerInstance = 512
)

// clients holds one HTTP client per instance, so that all idle connections to
// an instance can be dropped at once.
type clients struct {
	mu        sync.Mutex
	byAddress map[string]*http.Client
}

func newClients() *clients { return &clients{byAddress: make(map[string]*http.Client)} }

func (c *clients) of(address string) *http.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.byAddress[address]
	if client == nil {
		client = newClient()
		c.byAddress[address] = client
	}
	return client
}

// retire drops the idle connections to an instance; requests in flight go on.
func (c *clients) retire(address string) { c.of(address).CloseIdleConnections() }

func (c *clients) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, client := range c.byAddress {
		client.CloseIdleConnections()
	}
}

func newClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idlePerInstance,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}

// neverSent tells whether err shows that no byte of a request left, because
// no connection could be opened.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
