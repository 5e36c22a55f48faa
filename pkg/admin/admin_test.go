package admin

import (
	"context"
	"encoding/json"
	"math"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/sequoiacove/sequoiacove/pkg/result"
)

func serve(t *testing.T, state func() any, registry metrics.Registry) (url string, stop func() error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- ServeListener(ctx, listener, state, registry) }()
	t.Cleanup(cancel)
	return "http://" + listener.Addr().String(), func() error {
		cancel()
		select {
		case err := <-done:
			return err
		case <-time.After(5 * time.Second):
			return context.DeadlineExceeded
		}
	}
}

// Guards against metrics or state missing from the admin address, and against
// a listener that stays open after the process was told to stop.
func TestMetricsAndState(t *testing.T) {
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("calls", registry).Inc(3)
	url, stop := serve(t, func() any { return map[string]int{"version": 7} }, registry)

	status, body, err := fasthttp.Get(nil, url+"/metrics")
	require.NoError(t, err)
	require.Equal(t, 200, status)
	var values map[string]map[string]any
	require.NoError(t, json.Unmarshal(body, &values))
	require.EqualValues(t, 3, values["calls"]["count"])

	_, body, err = fasthttp.Get(nil, url+"/state")
	require.NoError(t, err)
	require.JSONEq(t, `{"version": 7}`, string(body))

	status, _, err = fasthttp.Get(nil, url+"/other")
	require.NoError(t, err)
	require.Equal(t, 404, status)
	require.NoError(t, stop())
}

// Guards against a state that JSON cannot hold ending the process.
func TestStateThatCannotBeEncoded(t *testing.T) {
	url, _ := serve(t, func() any { return math.NaN() }, metrics.NewRegistry())
	status, _, err := fasthttp.Get(nil, url+"/state")
	require.NoError(t, err)
	require.Equal(t, 500, status)
}

// Guards against an address in use going unnoticed.
func TestAddressInUse(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	err = Serve(context.Background(), listener.Addr().String(), func() any { return nil }, metrics.NewRegistry())
	require.Equal(t, result.SettingsInvalid, result.CodeOf(err))
}
