package load

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	dialTimeout        = time.Second
	idleTimeout        = 10 * time.Second
	maxIdlePerInstance = 512
)

// httpClients holds one HTTP client per instance, so that all idle connections to
// an instance can be closed together.
type httpClients struct {
	mu        sync.Mutex
	byAddress map[string]*http.Client
}

func newHTTPClients() *httpClients { return &httpClients{byAddress: make(map[string]*http.Client)} }

func (c *httpClients) get(address string) *http.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.byAddress[address]
	if client == nil {
		client = newHTTPClient()
		c.byAddress[address] = client
	}
	return client
}

// closeIdle closes the idle connections to an instance without interrupting
// requests in flight.
func (c *httpClients) closeIdle(address string) { c.get(address).CloseIdleConnections() }

func (c *httpClients) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, client := range c.byAddress {
		client.CloseIdleConnections()
	}
}

func newHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdlePerInstance,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}

// isDialError reports whether err means that no connection could be opened. No
// byte of the request was sent in that case.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
