// Package operatorapi serves the operator API described in docs/protocols.md:
// patches and versions of the description, members, traffic shifts (moves), drains,
// routing explanations, request outcomes and the state dump of an instance.
//
// The API reads and writes versions through the configuration store and obtains
// everything else from the instance that it runs in.
package operatorapi

import (
	"context"
	"encoding/json"
	"log/slog"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/configstore"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/operator"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// apiCallTimeout limits the processing of one operator request. It exceeds the time
// needed to accept a patch when the store is slow.
const apiCallTimeout = 15 * time.Second

// LocalInstance is the instance that the API runs in.
type LocalInstance interface {
	// Current returns the version in force without reading the store.
	Current() cluster.Version
	// ApplyVersion puts an accepted version into force and starts its distribution
	// to the other instances, without waiting for it to complete.
	ApplyVersion(v cluster.Version)
	Members() []cluster.Member
	DrainStatus(id string) (operator.DrainReply, error)
	// Explain returns how a request to a service would be routed, and why.
	Explain(service string) (any, error)
	State() (json.RawMessage, error)
	// RequestOutcome returns the recorded outcome of a request that was rejected, failed,
	// abandoned or late.
	RequestOutcome(id string) (any, error)
}

// Config configures an API.
type Config struct {
	// InstanceID is the id of the instance that the API runs in.
	InstanceID    string
	Store         *configstore.Store
	LocalInstance LocalInstance
	// Operators maps the names of operators to their tokens.
	Operators map[string]string
	// MaxRequestsPerSecond is the rate limit of each operator.
	MaxRequestsPerSecond float64
	Now                  func() time.Time
	Logger               *slog.Logger
	Registry             metrics.Registry
}

// API serves the operator API.
type API struct {
	config         Config
	localInstance  LocalInstance
	authorizer     *authorizer
	requestCounter metrics.Counter
	refusalCounter metrics.Counter
}

// New returns an API.
func New(c Config) *API {
	return &API{
		config:         c,
		localInstance:  c.LocalInstance,
		authorizer:     newAuthorizer(c.Operators, c.MaxRequestsPerSecond, c.Now),
		requestCounter: metrics.GetOrRegisterCounter("operator.requests", c.Registry),
		refusalCounter: metrics.GetOrRegisterCounter("operator.refusals", c.Registry),
	}
}

// SetOperators replaces the operators and their tokens.
func (a *API) SetOperators(tokens map[string]string) { a.authorizer.setTokens(tokens) }

// writeError writes an error response with the result code of err and the HTTP
// status of that code. current is the number of the current version, or 0 to omit it.
func writeError(ctx *fasthttp.RequestCtx, err error, current uint64) {
	body, _ := json.Marshal(operator.NewErrorBody(err, current))
	ctx.SetStatusCode(result.Lookup(result.CodeOf(err)).HTTPStatus)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// call is one operator request.
type call struct {
	httpCtx *fasthttp.RequestCtx
	ctx     context.Context
	// operator is the name of the authorized operator.
	operator string
	// pathArg is the part of the path that identifies an item, such as a service or
	// an id. It is empty if the path contains no such part.
	pathArg string
	// currentVersion is set on a version conflict and returned in the error body.
	currentVersion uint64
}

func (c *call) query(name string) string { return string(c.httpCtx.QueryArgs().Peek(name)) }

// Handle authorizes and processes a request and writes the response.
func (p *API) Handle(httpCtx *fasthttp.RequestCtx) {
	p.requestCounter.Inc(1)
	name, err := p.authorizer.authorize(string(httpCtx.Request.Header.Peek("Authorization")))
	if err != nil {
		p.rejectOperator(httpCtx, name, err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), apiCallTimeout)
	defer cancel()
	c := &call{httpCtx: httpCtx, ctx: ctx, operator: name}
	reply, err := p.route(c)
	if err != nil {
		p.refusalCounter.Inc(1)
		writeError(httpCtx, err, c.currentVersion)
		return
	}
	body, err := json.Marshal(reply)
	if err != nil {
		writeError(httpCtx, result.New(result.Internal, "encoding the response: %v", err), 0)
		return
	}
	httpCtx.SetContentType("application/json")
	httpCtx.SetBody(body)
}

// rejectOperator writes the error response for a request that failed authorization
// or exceeded the rate limit. It logs the rejection if refusalLogLimiter allows it.
func (p *API) rejectOperator(httpCtx *fasthttp.RequestCtx, name string, err error) {
	p.refusalCounter.Inc(1)
	if p.authorizer.refusalLogLimiter.AllowN(p.authorizer.now(), 1) {
		event.Log(p.config.Logger, event.OperatorRequestRejected, "operator", name, "remote", httpCtx.RemoteAddr().String(), "error", result.Detail(err))
	}
	writeError(httpCtx, err, 0)
}

// handler processes the calls of one path and returns the response body.
type handler func(*call) (any, error)

// route passes a request to its handler, selected by method and path.
func (p *API) route(c *call) (any, error) {
	path := string(c.httpCtx.Path())
	if c.httpCtx.IsPost() {
		switch path {
		case operator.PathPatches:
			return p.patch(c)
		case operator.PathValidate:
			return p.validate(c)
		}
		return nil, result.New(result.NotFound, "no such resource: POST %s", truncate(path))
	}
	if !c.httpCtx.IsGet() {
		return nil, result.New(result.BadRequest, "method %s is not supported; use GET or POST", truncate(string(c.httpCtx.Method())))
	}
	handlersByPath := map[string]handler{
		operator.PathCurrent:  p.current,
		operator.PathVersions: p.versions,
		operator.PathMembers:  p.members,
		operator.PathExplain:  p.explain,
		operator.PathState:    p.state,
	}
	if handle, ok := handlersByPath[path]; ok {
		return handle(c)
	}
	handlersByPrefix := map[string]handler{
		operator.PathVersions + "/": p.version,
		operator.PathMoves:          p.move,
		operator.PathDrains:         p.drain,
		operator.PathRequests:       p.request,
	}
	for prefix, handle := range handlersByPrefix {
		if pathArg, ok := strings.CutPrefix(path, prefix); ok && pathArg != "" {
			c.pathArg = pathArg
			return handle(c)
		}
	}
	return nil, result.New(result.NotFound, "no such resource: GET %s", truncate(path))
}

// maxEchoedBytes limits text from a request that is copied into a response or log
// record.
const maxEchoedBytes = 128

func truncate(s string) string { return s[:min(len(s), maxEchoedBytes)] }
