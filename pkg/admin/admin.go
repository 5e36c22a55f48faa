// Package admin serves the metrics and the state dump of a process over HTTP
// on its admin address, which should be a loopback address.
package admin

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"github.com/sequoiacove/sequoiacove/pkg/result"
)

const (
	// maxConnections is enough for a few collectors of metrics.
	maxConnections = 64
	// ioTimeout bounds one request and one answer.
	ioTimeout = 10 * time.Second
	// maxRequestBytes is enough for a request without body.
	maxRequestBytes = 4 << 10
	// shutdownTimeout bounds the wait for answers in flight when ctx ends.
	shutdownTimeout = time.Second
)

// Serve answers GET /metrics with the registry and GET /state with the value
// of state, both as JSON, until ctx ends.
func Serve(ctx context.Context, addr string, state func() any, registry metrics.Registry) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return result.New(result.SettingsInvalid, "admin address %q: %v", addr, err)
	}
	return ServeListener(ctx, listener, state, registry)
}

// ServeListener is Serve on an open listener, which it closes.
func ServeListener(ctx context.Context, listener net.Listener, state func() any, registry metrics.Registry) error {
	server := &fasthttp.Server{
		Name:               "sequoia-admin",
		Handler:            handler(state, registry),
		Concurrency:        maxConnections,
		ReadTimeout:        ioTimeout,
		WriteTimeout:       ioTimeout,
		IdleTimeout:        ioTimeout,
		ReadBufferSize:     maxRequestBytes,
		MaxRequestBodySize: maxRequestBytes,
		GetOnly:            true,
		CloseOnShutdown:    true,
		// The server would log every malformed request.
		Logger: log.New(io.Discard, "", 0),
	}
	stop := context.AfterFunc(ctx, func() {
		bounded, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.ShutdownWithContext(bounded)
	})
	defer stop()
	return server.Serve(listener)
}

func handler(state func() any, registry metrics.Registry) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case "/metrics":
			writeJSON(ctx, registry)
		case "/state":
			writeJSON(ctx, state())
		default:
			ctx.Error("not found", fasthttp.StatusNotFound)
		}
	}
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
