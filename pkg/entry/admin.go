package entry

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

const adminTimeout = 5 * time.Second

// newAdminServer returns the HTTP server of /metrics and /state.
func (e *Entry) newAdminServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:      e.serveAdmin,
		GetOnly:      true,
		Concurrency:  16,
		ReadTimeout:  adminTimeout,
		WriteTimeout: adminTimeout,
		IdleTimeout:  adminTimeout,
		Logger:       silent{},
	}
}

func (e *Entry) serveAdmin(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/metrics":
		ctx.SetContentType("application/json")
		gometrics.WriteJSONOnce(e.metrics.registry, ctx)
	case "/state":
		body, err := e.State()
		if err != nil {
			refuse(ctx, err)
			return
		}
		ctx.SetContentType("application/json")
		ctx.SetBody(body)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}
