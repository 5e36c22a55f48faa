package node

import (
	"context"
	"io"
	"log"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiacove/sequoiacove/pkg/admin"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/mesh"
)

const (
	// apiTimeout bounds a look-up or a readiness check.
	apiTimeout = 5 * time.Second
	// maxLookup bounds the addresses of a look-up answer.
	maxLookup = 64
)

// startHTTP serves look-ups, readiness checks, metrics and the state dump.
func (n *Node) startHTTP(ctx context.Context, l *listeners) {
	n.serveAPI(l.ready)
	if l.lookup != nil {
		n.serveAPI(l.lookup)
	}
	if l.admin != nil {
		go func() {
			if err := admin.ServeListener(ctx, l.admin, n.state, n.metrics.registry); err != nil {
				event.Log(n.logger, event.ListenerFailed, "address", l.admin.Addr().String(), "error", err.Error())
			}
		}()
	}
}

func (n *Node) serveAPI(l net.Listener) {
	server := &fasthttp.Server{Handler: n.api, ReadTimeout: apiTimeout, WriteTimeout: apiTimeout, IdleTimeout: apiTimeout * 4, GetOnly: true,
		NoDefaultServerHeader: true, ReduceMemoryUsage: true, ReadBufferSize: 4 << 10, Logger: log.New(io.Discard, "", 0)}
	go func() {
		if err := server.Serve(l); err != nil {
			event.Log(n.logger, event.ListenerFailed, "address", l.Addr().String(), "error", err.Error())
		}
	}()
}

func (n *Node) api(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case n.opt.Platform.Paths.Ready:
		if !n.ready() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	case n.opt.Platform.Paths.Lookup:
		args := ctx.QueryArgs()
		n.lookup(ctx, string(args.Peek(n.opt.Platform.Paths.LookupRegion)), string(args.Peek(n.opt.Platform.Paths.LookupDomain)))
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// lookup answers with the instances that should serve a caller: those of its
// region, or all if the region has none.
func (n *Node) lookup(ctx *fasthttp.RequestCtx, region, domain string) {
	if region == "" {
		region = n.settings.Regions[domain]
	}
	near, all := n.serving(region)
	if len(near) > 0 {
		all = near
	}
	if len(all) == 0 {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	for i := range all {
		j := i + int(n.opt.Random()*float64(len(all)-i))
		all[i], all[j] = all[j], all[i]
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(n.opt.Platform.LookupAnswer(all[:min(maxLookup, len(all))], min(lookupTTL, n.settings.Bounds.MaxLookupTTL)))
}

// serving returns the caller addresses of the serving instances of a region and
// of all regions.
func (n *Node) serving(region string) (near, all []string) {
	if n.ready() {
		all = append(all, n.settings.CallerAddress)
		if n.settings.Region == region {
			near = append(near, n.settings.CallerAddress)
		}
	}
	for _, m := range *n.live.Load() {
		if m.State != mesh.Serving {
			continue
		}
		all = append(all, m.Caller)
		if m.Region == region {
			near = append(near, m.Caller)
		}
	}
	return near, all
}

// stateDump is the state of an instance.
type stateDump struct {
	Instance       string        `json:"instance"`
	Region         string        `json:"region"`
	Domain         string        `json:"domain"`
	Version        int64         `json:"version"`
	Directives     int64         `json:"directives_revision"`
	Upstreams      int64         `json:"upstreams_revision"`
	StoreDown      bool          `json:"store_down"`
	StoreCalls     int64         `json:"store_calls"`
	Connections    int           `json:"connections"`
	InFlight       int           `json:"in_flight"`
	Members        []mesh.Member `json:"members"`
	Evacuated      []string      `json:"evacuated"`
	KnownUpstreams int           `json:"upstreams"`
	Dials          int64         `json:"upstream_connections_opened"`
}

func (n *Node) state() any {
	v := n.catalog.View()
	d, u := n.catalog.Revisions()
	s := stateDump{Instance: n.settings.ID, Region: n.settings.Region, Domain: n.settings.Domain, Directives: d, Upstreams: u,
		StoreDown: n.catalog.StoreDown(), StoreCalls: n.catalog.Calls(), Connections: n.ingress.Connections(), InFlight: n.ingress.Active(),
		Members: *n.live.Load(), KnownUpstreams: len(v.Upstreams), Dials: n.client.Dials()}
	if v.Config != nil {
		s.Version = int64(v.Config.Version)
	}
	for d := range v.Evacuated {
		s.Evacuated = append(s.Evacuated, d)
	}
	return s
}
