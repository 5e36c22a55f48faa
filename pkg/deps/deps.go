//go:build deps

// Package deps keeps the module requirements while their importers are written.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alecthomas/kingpin/v2"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/quic-go/quic-go"
	_ "github.com/rcrowley/go-metrics"
	_ "github.com/valyala/fasthttp"
)
