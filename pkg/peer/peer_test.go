package peer_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/peer"
	"github.com/sequoiacove/sequoiacove/pkg/peer/peertest"
	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/settings"
)

const testType = peer.Forward

func authority(t *testing.T) *peertest.Authority {
	a, err := peertest.NewAuthority(time.Hour)
	require.NoError(t, err)
	return a
}

// fixture is a server with one handler and a client that trusts it.
type fixture struct {
	server   *peer.Server
	client   *peer.Client
	registry metrics.Registry
}

func newFixture(t *testing.T, h peer.Handler, change func(*peer.ServerConfig)) *fixture {
	serverTLS, clientTLS, err := authority(t).TLS("test")
	require.NoError(t, err)
	cfg := peer.ServerConfig{Address: "127.0.0.1:0", TLS: serverTLS}
	if change != nil {
		change(&cfg)
	}
	server, err := peer.NewServer(cfg)
	require.NoError(t, err)
	server.Handle(testType, h)
	ctx, cancel := context.WithCancel(context.Background())
	go server.Serve(ctx)
	registry := metrics.NewRegistry()
	client := peer.NewClient(peer.ClientConfig{TLS: clientTLS, Registry: registry})
	t.Cleanup(func() { client.Close(); cancel() })
	return &fixture{server: server, client: client, registry: registry}
}

// call sends one message to the server and waits up to 5 s for its answer.
func (f *fixture) call(t *testing.T) error {
	return f.client.Call(within(t, 5*time.Second), f.server.Addr(), testType, "x", nil)
}

func echo(_ context.Context, body []byte) (any, error) {
	var s string
	err := peer.Decode(body, &s)
	return s, err
}

func within(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// Guards against answers that reach another call.
func TestConcurrentCallsGetTheirOwnAnswers(t *testing.T) {
	f := newFixture(t, echo, nil)
	var wg sync.WaitGroup
	errs := make(chan error, 200)
	for i := range 200 {
		wg.Go(func() {
			want, got := fmt.Sprint("message ", i), ""
			err := f.client.Call(within(t, 10*time.Second), f.server.Addr(), testType, want, &got)
			if err == nil && got != want {
				err = fmt.Errorf("got %q, want %q", got, want)
			}
			errs <- err
		})
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		require.NoError(t, err)
	}
}

// Guards against a handler's code being lost on the way to the sender.
func TestErrorRepliesCarryTheCode(t *testing.T) {
	f := newFixture(t, func(context.Context, []byte) (any, error) {
		return nil, result.New(result.QueueFull, "12 waiting")
	}, nil)
	err := f.call(t)
	require.Equal(t, result.QueueFull, result.CodeOf(err))
	require.Equal(t, "12 waiting", result.Detail(err))
	err = f.client.Call(within(t, 5*time.Second), f.server.Addr(), peer.Explain, "x", nil)
	require.Equal(t, result.PeerRefused, result.CodeOf(err), "a type without handler must be refused")
}

// Guards against a certificate of a foreign authority, or a missing one, being
// accepted.
func TestMutualTLS(t *testing.T) {
	f := newFixture(t, echo, nil)
	_, foreign, err := authority(t).TLS("foreign")
	require.NoError(t, err)
	foreign.InsecureSkipVerify = true
	for name, cfg := range map[string]*tls.Config{
		"foreign": foreign,
		"none":    {InsecureSkipVerify: true, NextProtos: foreign.NextProtos},
	} {
		client := peer.NewClient(peer.ClientConfig{TLS: cfg})
		defer client.Close()
		var got string
		err = client.Call(within(t, 5*time.Second), f.server.Addr(), testType, "x", &got)
		require.Error(t, err, "a client with certificate %s was served", name)
		require.Empty(t, got)
	}
}

// Guards against a call to an absent server being reported as possibly sent,
// which would keep callers from repeating it elsewhere.
func TestAbsentServerIsUnreachable(t *testing.T) {
	f := newFixture(t, echo, nil)
	err := f.client.Call(within(t, 5*time.Second), "127.0.0.1:9", testType, "x", nil)
	require.Equal(t, result.PeerUnreachable, result.CodeOf(err))
}

// Guards against a call that was cancelled before it was sent being reported as
// possibly run.
func TestCancelledBeforeSendingIsUnreachable(t *testing.T) {
	f := newFixture(t, echo, nil)
	require.NoError(t, f.call(t))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 20 {
		err := f.client.Call(ctx, f.server.Addr(), testType, "x", nil)
		require.Equal(t, result.PeerUnreachable, result.CodeOf(err))
	}
}

// Guards against a call being reported as not sent although its handler ran.
func TestLostAnswerIsNoAnswer(t *testing.T) {
	var ran atomic.Int32
	release := make(chan struct{})
	f := newFixture(t, func(context.Context, []byte) (any, error) {
		ran.Add(1)
		<-release
		return nil, nil
	}, nil)
	defer close(release)
	err := f.client.Call(within(t, 300*time.Millisecond), f.server.Addr(), testType, "x", nil)
	require.Equal(t, result.PeerNoAnswer, result.CodeOf(err))
	require.EqualValues(t, 1, ran.Load())
}

// Guards against handlers that keep working after the sender gave up.
func TestCancelReachesTheHandler(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	f := newFixture(t, func(ctx context.Context, _ []byte) (any, error) {
		close(started)
		<-ctx.Done()
		close(ended)
		return nil, ctx.Err()
	}, nil)
	ctx, cancel := context.WithCancel(context.Background())
	go f.client.Call(ctx, f.server.Addr(), testType, "x", nil)
	<-started
	cancel()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the handler's context did not end after the call was cancelled")
	}
}

// Guards against messages above the bound being sent or accepted, and against
// large ones below it failing.
func TestMessageSizeBound(t *testing.T) {
	f := newFixture(t, func(_ context.Context, body []byte) (any, error) { return len(body), nil }, nil)
	var n int
	large := bytes.Repeat([]byte{7}, 20<<20)
	require.NoError(t, f.client.Call(within(t, 30*time.Second), f.server.Addr(), testType, large, &n))
	require.Greater(t, n, len(large))
	err := f.client.Call(within(t, 5*time.Second), f.server.Addr(), testType, make([]byte, peer.MaxMessageBytes), nil)
	require.Equal(t, result.PeerRefused, result.CodeOf(err))
}

// Guards against connections beyond the bound being served, and against their
// calls being reported as possibly run.
func TestConnectionBound(t *testing.T) {
	f := newFixture(t, echo, func(cfg *peer.ServerConfig) { cfg.MaxConnections = 1 })
	require.NoError(t, f.call(t))
	extra := newClientLike(t, f)
	err := extra.Call(within(t, 5*time.Second), f.server.Addr(), testType, "x", nil)
	require.Equal(t, result.PeerUnreachable, result.CodeOf(err))
}

func newClientLike(t *testing.T, f *fixture) *peer.Client {
	client := peer.NewClient(peer.ClientConfig{TLS: f.client.TLS()})
	t.Cleanup(client.Close)
	return client
}

// Guards against a stop that cuts off running handlers or accepts new ones.
func TestCloseLetsHandlersFinish(t *testing.T) {
	started, release := make(chan struct{}, 1), make(chan struct{})
	f := newFixture(t, func(context.Context, []byte) (any, error) {
		started <- struct{}{}
		<-release
		return "whole", nil
	}, nil)
	var got string
	answered := make(chan error, 1)
	go func() {
		answered <- f.client.Call(within(t, 10*time.Second), f.server.Addr(), testType, "x", &got)
	}()
	<-started
	closed := make(chan error, 1)
	go func() { closed <- f.server.Close(within(t, 10*time.Second)) }()
	require.Eventually(t, func() bool {
		err := f.client.Call(within(t, 5*time.Second), f.server.Addr(), testType, "y", nil)
		return result.CodeOf(err) == result.PeerRefused
	}, 5*time.Second, 10*time.Millisecond, "a stopping server must refuse new messages as not run")
	close(release)
	require.NoError(t, <-answered)
	require.Equal(t, "whole", got)
	require.NoError(t, <-closed)
}

// Guards against the loss of PEM files' contents between writing and loading.
func TestPEMFilesRoundTrip(t *testing.T) {
	files, err := authority(t).WritePEM(t.TempDir(), "peer")
	require.NoError(t, err)
	serverTLS, clientTLS, err := peer.LoadTLS(files)
	require.NoError(t, err)
	f := newFixture(t, echo, func(cfg *peer.ServerConfig) { cfg.TLS = serverTLS })
	client := peer.NewClient(peer.ClientConfig{TLS: clientTLS})
	defer client.Close()
	require.NoError(t, client.Call(within(t, 5*time.Second), f.server.Addr(), testType, "x", nil))
	_, _, err = peer.LoadTLS(settings.TLS{CertificateFile: "absent"})
	require.Equal(t, result.SettingsInvalid, result.CodeOf(err))
}
