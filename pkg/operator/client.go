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

	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/wait"
)

const (
	defaultAttemptTimeout = 10 * time.Second
	// maxReplyBytes is enough for 3,300 member records with their shares.
	maxReplyBytes = 64 << 20
	// maxPatchRounds is how often a patch goes through all addresses while its
	// outcome is unknown.
	maxPatchRounds = 3
	// patchBackoffBase doubles with each round: 1 s before the second and 2 s before
	// the third.
	patchBackoffBase = 500 * time.Millisecond
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Addresses are the admin addresses of instances, tried in order.
	Addresses []string
	Token     string
	// Timeout bounds each attempt.
	Timeout time.Duration
	// Sleep waits between rounds of a patch; tests replace it.
	Sleep func(ctx context.Context, d time.Duration) error
}

// Client calls the operator API of any of several instances.
type Client struct {
	cfg  ClientConfig
	http *fasthttp.Client
}

// NewClient returns a client; it connects with the first call.
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
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// attempt sends one request to one instance. PeerUnreachable means that nothing
// was sent.
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

// dialError marks a failure before anything was sent.
type dialError struct{ error }

func (e dialError) Unwrap() error { return e.error }

// transportError tells a request that was not sent from one without an answer.
func transportError(addr string, err error) error {
	var dialErr dialError
	if errors.As(err, &dialErr) {
		return result.New(result.PeerUnreachable, "%s: %v", addr, dialErr.error)
	}
	if errors.Is(err, fasthttp.ErrConnectionClosed) {
		return result.New(result.PeerNoAnswer, "%s: connection closed without an answer", addr)
	}
	return result.New(result.PeerNoAnswer, "%s: %v", addr, err)
}

// remoteError returns the refusal in the body of an answer.
func remoteError(addr string, status int, body []byte) error {
	var e ErrorBody
	if err := json.Unmarshal(body, &e); err != nil || e.Code == result.OK || e.Code == 0 {
		return result.New(result.PeerProtocol, "%s: status %d without an error body", addr, status)
	}
	return &RemoteError{Body: e, Address: addr}
}

// Retryable reports whether another instance, or the same one later, may succeed
// where a call failed.
func Retryable(err error) bool {
	return result.Lookup(result.CodeOf(err)).HTTPStatus >= 500
}

func errNoAddress() error {
	return result.New(result.PeerUnreachable, "no address of an instance is given")
}

// callAny tries the instances in order until one answers or refuses for good.
func (c *Client) callAny(ctx context.Context, method, path string, body []byte, reply any) error {
	lastErr := errNoAddress()
	for _, addr := range c.cfg.Addresses {
		answer, err := c.attempt(ctx, addr, method, path, body)
		if err == nil {
			return decode(addr, answer, reply)
		}
		lastErr = err
		if !Retryable(err) || ctx.Err() != nil {
			break
		}
	}
	return lastErr
}

func decode(addr string, body []byte, reply any) error {
	if raw, ok := reply.(*json.RawMessage); ok {
		*raw = body
		return nil
	}
	if err := json.Unmarshal(body, reply); err != nil {
		return result.New(result.PeerProtocol, "%s: the answer cannot be decoded: %v", addr, err)
	}
	return nil
}

// Validate returns what a patch would change.
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

// Versions returns up to limit versions below before, newest first; before 0
// starts at the current version.
func (c *Client) Versions(ctx context.Context, before uint64, limit int) (reply VersionsReply, err error) {
	args := url.Values{"limit": {strconv.Itoa(limit)}}
	if before > 0 {
		args.Set("before", strconv.FormatUint(before, 10))
	}
	err = c.get(ctx, PathVersions+"?"+args.Encode(), &reply)
	return reply, err
}

// Members returns the live instances as one of them sees it.
func (c *Client) Members(ctx context.Context) (reply MembersReply, err error) {
	err = c.get(ctx, PathMembers, &reply)
	return reply, err
}

// Move returns the shares of a service.
func (c *Client) Move(ctx context.Context, service string) (reply Move, err error) {
	err = c.get(ctx, PathMoves+url.PathEscape(service), &reply)
	return reply, err
}

// Drain returns the state of an upstream or instance.
func (c *Client) Drain(ctx context.Context, id string) (reply Drain, err error) {
	err = c.get(ctx, PathDrains+url.PathEscape(id), &reply)
	return reply, err
}

// Explain returns where a request to a service would go, as JSON.
func (c *Client) Explain(ctx context.Context, service string) (reply json.RawMessage, err error) {
	err = c.get(ctx, PathExplain+"?"+url.Values{"service": {service}}.Encode(), &reply)
	return reply, err
}

// Request returns how a request ended, as JSON. Only the instance that served
// the request knows, so all are asked until one answers.
func (c *Client) Request(ctx context.Context, id string) (json.RawMessage, error) {
	lastErr := errNoAddress()
	for _, addr := range c.cfg.Addresses {
		answer, err := c.attempt(ctx, addr, fasthttp.MethodGet, PathRequests+url.PathEscape(id), nil)
		if err == nil {
			return answer, nil
		}
		if ctx.Err() != nil {
			return nil, err
		}
		lastErr = err
	}
	return nil, lastErr
}

// State returns the state dump of an instance, as JSON.
func (c *Client) State(ctx context.Context) (reply json.RawMessage, err error) {
	err = c.get(ctx, PathState, &reply)
	return reply, err
}
