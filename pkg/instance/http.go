package instance

import (
	"encoding/json"
	"io"
	"log"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/httpio"
	"github.com/sequoiacove/sequoiacove/pkg/mesh"
	"github.com/sequoiacove/sequoiacove/pkg/operator"
)

const (
	// httpTimeout limits reading a request and writing its response.
	httpTimeout = 5 * time.Second
	// maxLookupAddresses is the maximum number of addresses in a lookup response.
	maxLookupAddresses = 64
)

// startHTTP starts the HTTP servers for lookups, readiness checks, the operator
// API, metrics and the state dump.
func (i *Instance) startHTTP(l *listeners) {
	i.serveHTTP(l.readiness, i.publicAPI, true)
	i.serveHTTP(l.lookup, i.publicAPI, true)
	i.serveHTTP(l.admin, i.adminAPI, false)
	i.serveHTTP(l.metrics, i.diagnosticsAPI, true)
}

// serveHTTP serves a listener in the background; a nil listener is skipped. A
// read-only server accepts only GET and HEAD requests, without a body.
func (i *Instance) serveHTTP(l net.Listener, handler fasthttp.RequestHandler, readOnly bool) {
	if l == nil {
		return
	}
	server := &fasthttp.Server{Handler: refuseInvalidFields(handler), ReadTimeout: httpTimeout, WriteTimeout: httpTimeout, IdleTimeout: httpTimeout * 4, GetOnly: readOnly, MaxRequestBodySize: operator.MaxBodyBytes,
		NoDefaultServerHeader: true, ReduceMemoryUsage: true, ReadBufferSize: 4 << 10, Logger: log.New(io.Discard, "", 0)}
	go func() {
		if err := server.Serve(l); err != nil {
			event.Log(i.logger, event.ListenerFailed, "address", l.Addr().String(), "error", err.Error())
		}
	}()
}

// refuseInvalidFields returns a handler that refuses requests with an invalid field name or end
// of the head, as package ingress does.
func refuseInvalidFields(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if err := httpio.CheckRequest(&ctx.Request.Header); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			ctx.SetConnectionClose()
			return
		}
		handler(ctx)
	}
}

// publicAPI serves readiness checks and lookups.
func (i *Instance) publicAPI(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case i.opt.Platform.Paths.Readiness:
		if !i.ready() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	case i.opt.Platform.Paths.Lookup:
		args := ctx.QueryArgs()
		i.lookup(ctx, string(args.Peek(i.opt.Platform.Paths.LookupRegion)), string(args.Peek(i.opt.Platform.Paths.LookupDomain)))
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// adminAPI serves the operator API, the metrics and the state dump.
func (i *Instance) adminAPI(ctx *fasthttp.RequestCtx) {
	if len(i.settings.Operators) > 0 && strings.HasPrefix(string(ctx.Path()), operator.PathPrefix) {
		i.operator.Handle(ctx)
		return
	}
	i.diagnosticsAPI(ctx)
}

// diagnosticsAPI serves the metrics and the state dump.
func (i *Instance) diagnosticsAPI(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/metrics":
		ctx.SetContentType("text/plain; version=0.0.4")
		ctx.SetBody(i.metricsText())
	case "/state":
		body, err := json.Marshal(i.state())
		if err != nil {
			ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
			return
		}
		ctx.SetContentType("application/json")
		ctx.SetBody(body)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// lookup responds with the addresses of the instances that should serve a
// caller, in random order: those of its region, or all if the region has none.
func (i *Instance) lookup(ctx *fasthttp.RequestCtx, region, domain string) {
	if region == "" {
		region = i.settings.Regions[domain]
	}
	inRegion, all := i.servingAddresses(region)
	if len(inRegion) > 0 {
		all = inRegion
	}
	if len(all) == 0 {
		i.metrics.count("lookups", "outcome", "no_instance")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	i.metrics.count("lookups", "outcome", "answered")
	for n := range all {
		swap := n + int(i.opt.Random()*float64(len(all)-n))
		all[n], all[swap] = all[swap], all[n]
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(i.opt.Platform.EncodeLookup(all[:min(maxLookupAddresses, len(all))], i.lookupTTL()))
}

// lookupTTL returns the time for which callers may cache a lookup response: the
// smallest of the default, the bound in the settings and the description's TTL.
func (i *Instance) lookupTTL() time.Duration {
	ttl := min(defaultLookupTTL, i.bounds.Load().MaxLookupTTL)
	if configured := i.policy.Description().Lookup.TTL(); configured > 0 {
		ttl = min(ttl, configured)
	}
	return ttl
}

// servingAddresses returns the caller addresses of the serving instances of a
// region and of all regions.
func (i *Instance) servingAddresses(region string) (inRegion, all []string) {
	if i.ready() && !i.drained() {
		all = append(all, i.settings.CallerAddress)
		if i.settings.Region == region {
			inRegion = append(inRegion, i.settings.CallerAddress)
		}
	}
	for _, m := range i.mesh.Live() {
		if m.State != mesh.Serving {
			continue
		}
		all = append(all, m.CallerAddress)
		if m.Region == region {
			inRegion = append(inRegion, m.CallerAddress)
		}
	}
	return inRegion, all
}

// stateDump is the JSON document served at /state.
type stateDump struct {
	Instance           string        `json:"instance"`
	Region             string        `json:"region"`
	Domain             string        `json:"domain"`
	ConfigVersion      int64         `json:"version"`
	DescriptionVersion uint64        `json:"description"`
	Shares             any           `json:"shares,omitempty"`
	DirectivesRevision string        `json:"directives_revision"`
	UpstreamsRevision  string        `json:"upstreams_revision"`
	StoreDown          bool          `json:"store_down"`
	StoreCalls         int64         `json:"store_calls"`
	Connections        int           `json:"connections"`
	InFlight           int           `json:"in_flight"`
	Members            []mesh.Member `json:"members"`
	Evacuated          []string      `json:"evacuated"`
	UpstreamCount      int           `json:"upstreams"`
	Dials              int64         `json:"upstream_connections_opened"`
}

func (i *Instance) state() any {
	v := i.catalog.View()
	d, u := i.catalog.Revisions()
	s := stateDump{Instance: i.settings.ID, Region: i.settings.Region, Domain: i.settings.Domain, DirectivesRevision: d.String(), UpstreamsRevision: u.String(),
		StoreDown: i.catalog.StoreDown(), StoreCalls: i.catalog.StoreCallCount(), Connections: i.ingress.Connections(), InFlight: i.ingress.InFlight(),
		Members: i.mesh.Live(), UpstreamCount: len(v.Upstreams), Dials: i.client.Dials(), DescriptionVersion: i.policy.Current().Number, Shares: i.policy.Shares()}
	if v.Config != nil {
		s.ConfigVersion = int64(v.Config.Version)
	}
	for d := range v.EvacuatedDomains {
		s.Evacuated = append(s.Evacuated, d)
	}
	return s
}
