// Package healthcheck asks upstreams for their health. Instances learn the state of upstreams
// from the platform's store and from each other; one that is cut off from both asks the
// upstreams themselves.
package healthcheck

import (
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/sequoiacove/sequoiacove/pkg/exchange"
	"github.com/sequoiacove/sequoiacove/pkg/httpio"
)

const (
	// maxIdleTime is how long a connection is kept for the next check.
	maxIdleTime      = 2 * time.Second
	maxResponseBytes = 16 << 10
	// maxColdRemaining bounds the rest of a warm-up that an upstream states.
	maxColdRemaining = time.Minute
)

// Target is the upstream to check.
type Target struct {
	ID      string
	Address string
	// Path is the path of the health check of the upstream's service.
	Path string
}

// Health is what an upstream has stated in its answer to a health check.
type Health struct {
	// ColdRemaining is the rest of its warm-up, 0 if it is not cold.
	ColdRemaining time.Duration
}

// Client checks the health of upstreams.
type Client struct {
	http    fasthttp.Client
	headers exchange.Headers
}

// NewClient returns a Client that reads the given header fields.
func NewClient(headers exchange.Headers) *Client {
	return &Client{headers: headers, http: fasthttp.Client{
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: true,
		MaxConnsPerHost:               1,
		MaxIdleConnDuration:           maxIdleTime,
		Transport:                     httpio.Transport{Now: time.Now},
		MaxIdemponentCallAttempts:     1,
		MaxResponseBodySize:           maxResponseBytes,
	}}
}

// Check asks an upstream for its health. It returns an error if there is no answer within
// timeout, if another upstream answers, or if the answer is not readable. The status is not
// judged: an upstream that says that it is ill may still state that it is cold.
func (c *Client) Check(t Target, timeout time.Duration) (Health, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + t.Address + t.Path)
	if err := c.http.DoTimeout(req, resp, timeout); err != nil {
		return Health{}, errors.Trace(err)
	}
	if id := string(resp.Header.Peek(c.headers.Upstream)); id != t.ID {
		return Health{}, errors.Errorf("upstream %q answers at the address of %q", id, t.ID)
	}
	text := strings.TrimSpace(string(resp.Header.Peek(c.headers.ColdRemaining)))
	if text == "" {
		return Health{}, nil
	}
	cold, err := parseColdRemaining(text)
	return Health{ColdRemaining: cold}, err
}

// parseColdRemaining parses a duration such as "1200ms", or a number of milliseconds.
func parseColdRemaining(text string) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil {
		ms, numberErr := strconv.ParseFloat(text, 64)
		if numberErr != nil || !(ms >= 0 && ms <= float64(maxColdRemaining.Milliseconds())) {
			return 0, errors.Errorf("rest of the warm-up %q is not a duration", text)
		}
		d = time.Duration(ms * float64(time.Millisecond))
	}
	return min(max(d, 0), maxColdRemaining), nil
}
