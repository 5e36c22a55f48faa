package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/sequoiacove/sequoiacove/pkg/httpio"
	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/wait"
)

const (
	defaultAttemptTimeout = 10 * time.Second
	// maxReplyBytes is large enough for 3,300 member records with their shares.
	maxReplyBytes = 64 << 20
	// maxPatchRounds is the maximum number of times that a patch is submitted to
	// all addresses while its outcome is unknown.
	maxPatchRounds = 3
	// patchBackoffBase is doubled in each round: the delay is 1 s before the second
	// round and 2 s before the third.
	patchBackoffBase = 500 * time.Millisecond
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Addresses are the admin addresses of instances, tried in order.
	Addresses []string
	Token     string
	// Timeout limits each attempt; 0 means 10 s.
	Timeout time.Duration
	// Sleep waits between the rounds of a patch; tests replace it. The default is
	// wait.For.
	Sleep func(ctx context.Context, d time.Duration) error
}

// Client calls the operator API. For each call it tries its instances in order until
// one can serve the call.
type Client struct {
	cfg  ClientConfig
	http *fasthttp.Client
}

// NewClient returns a client. It does not connect before the first call.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultAttemptTimeout
	}
	if cfg.Sleep == nil {
		cfg.Sleep = wait.For
	}
	return &Client{cfg: cfg, http: &fasthttp.Client{
		Name:                      "sequoiactl",
		Dial:                      dial,
		MaxResponseBodySize:       maxReplyBytes,
		Transport:                 httpio.Transport{Now: time.Now},
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// attempt sends one request to one instance. The error PeerUnreachable means that the
// request was not sent.
func (c *Client) attempt(ctx context.Context, addr, method, path string, body []byte) ([]byte, error) {
	if len(body) > MaxBodyBytes {
		return nil, result.New(result.DescriptionTooLarge, "request of %d bytes exceeds %d", len(body), MaxBodyBytes)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + path)
	req.Header.SetMethod(method)
	req.Header.Set("Authorization", "Bearer "+c.cfg.Token)
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBody(body)
	}
	deadline := time.Now().Add(c.cfg.Timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return nil, transportError(addr, err)
	}
	if resp.StatusCode() == fasthttp.StatusOK {
		return append([]byte(nil), resp.Body()...), nil
	}
	return nil, remoteError(addr, resp.StatusCode(), resp.Body())
}

// dialError marks a connection failure; the request was not sent.
type dialError struct{ error }

func (e dialError) Unwrap() error { return e.error }

// transportError converts an error of the HTTP client: to PeerUnreachable if the
// request was not sent, and to PeerNoAnswer if it may have been sent.
func transportError(addr string, err error) error {
	var dialErr dialError
	if errors.As(err, &dialErr) {
		return result.New(result.PeerUnreachable, "%s: %v", addr, dialErr.error)
	}
	if errors.Is(err, fasthttp.ErrConnectionClosed) {
		return result.New(result.PeerNoAnswer, "%s: connection closed before the response", addr)
	}
	return result.New(result.PeerNoAnswer, "%s: %v", addr, err)
}

// remoteError returns the error in the body of a response, or PeerProtocol if the
// body holds no error.
func remoteError(addr string, status int, body []byte) error {
	var e ErrorBody
	if err := json.Unmarshal(body, &e); err != nil || e.Code == result.OK || e.Code == 0 {
		return result.New(result.PeerProtocol, "%s: status %d without an error body", addr, status)
	}
	return &RemoteError{Body: e, Address: addr}
}

// Retryable reports whether a failed call may succeed on another instance, or later
// on the same one.
func Retryable(err error) bool {
	return result.Lookup(result.CodeOf(err)).HTTPStatus >= 500
}

func errNoAddress() error {
	return result.New(result.PeerUnreachable, "no instance address given")
}

// callAny calls the instances in order until one succeeds or returns an error that
// is not retryable.
func (c *Client) callAny(ctx context.Context, method, path string, body []byte, reply any) error {
	lastErr := errNoAddress()
	for _, addr := range c.cfg.Addresses {
		respBody, err := c.attempt(ctx, addr, method, path, body)
		if err == nil {
			return decode(addr, respBody, reply)
		}
		lastErr = err
		if !Retryable(err) || ctx.Err() != nil {
			break
		}
	}
	return lastErr
}

// decode unmarshals a response body into reply. A *json.RawMessage receives the body
// unchanged.
func decode(addr string, body []byte, reply any) error {
	if raw, ok := reply.(*json.RawMessage); ok {
		*raw = body
		return nil
	}
	if err := json.Unmarshal(body, reply); err != nil {
		return result.New(result.PeerProtocol, "%s: decoding the response: %v", addr, err)
	}
	return nil
}

// Validate returns the changes that a patch would make.
func (c *Client) Validate(ctx context.Context, patch PatchRequest) (reply ValidateReply, err error) {
	body, err := json.Marshal(patch)
	if err != nil {
		return reply, result.New(result.PatchMalformed, "%v", err)
	}
	err = c.callAny(ctx, fasthttp.MethodPost, PathValidate, body, &reply)
	return reply, err
}

func (c *Client) get(ctx context.Context, path string, reply any) error {
	return c.callAny(ctx, fasthttp.MethodGet, path, nil, reply)
}

// Current returns the version in force with its description.
func (c *Client) Current(ctx context.Context) (reply Version, err error) {
	err = c.get(ctx, PathCurrent, &reply)
	return reply, err
}

// Version returns one version with its description.
func (c *Client) Version(ctx context.Context, number uint64) (reply Version, err error) {
	err = c.get(ctx, fmt.Sprintf("%s/%d", PathVersions, number), &reply)
	return reply, err
}

// Versions returns up to limit versions lower than before, newest first, without
// their descriptions. If before is 0, the list starts at the current version.
func (c *Client) Versions(ctx context.Context, before uint64, limit int) (reply VersionsReply, err error) {
	args := url.Values{"limit": {strconv.Itoa(limit)}}
	if before > 0 {
		args.Set("before", strconv.FormatUint(before, 10))
	}
	err = c.get(ctx, PathVersions+"?"+args.Encode(), &reply)
	return reply, err
}

// Members returns the live instances as seen by the instance that is called.
func (c *Client) Members(ctx context.Context) (reply MembersReply, err error) {
	err = c.get(ctx, PathMembers, &reply)
	return reply, err
}

// MoveStatus returns the target shares of a service and those in effect on each instance.
func (c *Client) MoveStatus(ctx context.Context, service string) (reply MoveReply, err error) {
	err = c.get(ctx, PathMoves+url.PathEscape(service), &reply)
	return reply, err
}

// DrainStatus returns the drain state of an upstream or instance.
func (c *Client) DrainStatus(ctx context.Context, id string) (reply DrainReply, err error) {
	err = c.get(ctx, PathDrains+url.PathEscape(id), &reply)
	return reply, err
}

// Explain returns as JSON how a request to a service would be routed, and why.
func (c *Client) Explain(ctx context.Context, service string) (reply json.RawMessage, err error) {
	err = c.get(ctx, PathExplain+"?"+url.Values{"service": {service}}.Encode(), &reply)
	return reply, err
}

// RequestOutcome returns the recorded outcome of a request as JSON. Only the instance that
// served the request has the record, so the instances are queried in turn until one
// returns it.
func (c *Client) RequestOutcome(ctx context.Context, id string) (json.RawMessage, error) {
	lastErr := errNoAddress()
	for _, addr := range c.cfg.Addresses {
		respBody, err := c.attempt(ctx, addr, fasthttp.MethodGet, PathRequests+url.PathEscape(id), nil)
		if err == nil {
			return respBody, nil
		}
		if ctx.Err() != nil {
			return nil, err
		}
		lastErr = err
	}
	return nil, lastErr
}

// State returns the state dump of an instance as JSON.
func (c *Client) State(ctx context.Context) (reply json.RawMessage, err error) {
	err = c.get(ctx, PathState, &reply)
	return reply, err
}
