package peer_test

import (
	"context"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/faultproxy"
	"github.com/sequoiacove/sequoiacove/pkg/peer"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

func newRelay(t *testing.T, target string) *faultproxy.UDP {
	relay, err := faultproxy.NewUDP(target, 1)
	require.NoError(t, err)
	t.Cleanup(relay.Close)
	return relay
}

// Guards against a connection that went silent holding up calls: they must fail
// within the ping bounds, and the next call must work at once.
func TestSilentConnectionIsReplaced(t *testing.T) {
	hang := make(chan struct{})
	f := newFixture(t, func(ctx context.Context, body []byte) (any, error) {
		var s string
		if err := peer.Decode(body, &s); err != nil {
			return nil, err
		}
		if s == "hang" {
			<-hang
		}
		return s, nil
	}, nil)
	defer close(hang)
	r := newRelay(t, f.server.Addr())
	require.NoError(t, f.client.Call(within(t, 5*time.Second), r.Addr(), testType, "x", nil))

	failed := make(chan error, 1)
	go func() { failed <- f.client.Call(within(t, 30*time.Second), r.Addr(), testType, "hang", nil) }()
	time.Sleep(50 * time.Millisecond)
	require.Equal(t, 1, r.Silence())
	start := time.Now()
	err := <-failed
	require.Equal(t, result.PeerNoAnswer, result.CodeOf(err))
	require.Less(t, time.Since(start), 2*time.Second, "calls on a silent connection must fail within 2 s")
	require.NoError(t, f.client.Call(within(t, time.Second), r.Addr(), testType, "x", nil), "a new connection must work at once")
	replaced := f.registry.Get("peer.client.connections_replaced").(metrics.Counter)
	require.EqualValues(t, 1, replaced.Count())
}

// Guards against a connection that went silent while it was idle holding up the
// first call after that for longer than one with calls in flight.
func TestSilenceOfAnIdleConnection(t *testing.T) {
	f := newFixture(t, echo, nil)
	r := newRelay(t, f.server.Addr())
	require.NoError(t, f.client.Call(within(t, 5*time.Second), r.Addr(), testType, "x", nil))
	require.Equal(t, 1, r.Silence())
	time.Sleep(300 * time.Millisecond)
	start := time.Now()
	err := f.client.Call(within(t, 30*time.Second), r.Addr(), testType, "x", nil)
	require.Equal(t, result.PeerNoAnswer, result.CodeOf(err))
	require.NoError(t, f.client.Call(within(t, time.Second), r.Addr(), testType, "x", nil))
	require.Less(t, time.Since(start), 2*time.Second)
}

// Guards against pings that outnumber the messages on idle connections.
func TestIdlePings(t *testing.T) {
	f := newFixture(t, echo, nil)
	require.NoError(t, f.call(t))
	time.Sleep(3 * time.Second)
	pings := f.registry.Get("peer.client.ping.messages").(metrics.Counter).Count()
	require.GreaterOrEqual(t, pings, int64(1))
	require.LessOrEqual(t, pings, int64(3))
}

// Guards against long calls on a healthy connection being taken for silence.
func TestLongCallSurvivesPings(t *testing.T) {
	f := newFixture(t, func(context.Context, []byte) (any, error) {
		time.Sleep(2500 * time.Millisecond)
		return nil, nil
	}, nil)
	require.NoError(t, f.client.Call(within(t, 10*time.Second), f.server.Addr(), testType, "x", nil))
}

// Guards against a long call being cut off because no other call uses its
// connection, and against unused connections that stay open.
func TestLongCallKeepsItsConnection(t *testing.T) {
	f := newFixture(t, func(context.Context, []byte) (any, error) {
		time.Sleep(1500 * time.Millisecond)
		return nil, nil
	}, nil)
	f.client.SetLimits(10, 300*time.Millisecond)
	require.NoError(t, f.client.Call(within(t, 10*time.Second), f.server.Addr(), testType, "x", nil))
	opened := f.registry.Get("peer.client.connections_opened").(metrics.Counter)
	require.EqualValues(t, 1, opened.Count())
	time.Sleep(time.Second)
	require.NoError(t, f.client.Call(within(t, 10*time.Second), f.server.Addr(), testType, "x", nil))
	require.EqualValues(t, 2, opened.Count(), "the unused connection must have been closed")
}

// Guards against calls beyond the bound holding up pings and the calls in
// flight, or waiting instead of being refused as not run.
func TestBoundOfCallsInFlight(t *testing.T) {
	started, release := make(chan struct{}, 20), make(chan struct{})
	f := newFixture(t, func(context.Context, []byte) (any, error) {
		started <- struct{}{}
		<-release
		return nil, nil
	}, nil)
	f.client.SetLimits(20, time.Minute)
	results := make(chan error, 20)
	for range 20 {
		go func() { results <- f.client.Call(within(t, 20*time.Second), f.server.Addr(), testType, "x", nil) }()
	}
	for range 20 {
		<-started
	}
	err := f.client.Call(within(t, 20*time.Second), f.server.Addr(), testType, "x", nil)
	require.Equal(t, result.PeerUnreachable, result.CodeOf(err))
	close(release)
	for range 20 {
		require.NoError(t, <-results)
	}
	require.NoError(t, f.client.Call(within(t, 20*time.Second), f.server.Addr(), testType, "x", nil))
}

// Guards against lost datagrams ending connections that still work.
func TestLostDatagrams(t *testing.T) {
	f := newFixture(t, echo, nil)
	r := newRelay(t, f.server.Addr())
	require.NoError(t, f.client.Call(within(t, 5*time.Second), r.Addr(), testType, "x", nil))
	r.SetLoss(0.05)
	for range 50 {
		require.NoError(t, f.client.Call(within(t, 5*time.Second), r.Addr(), testType, "x", nil))
	}
}

// Guards against a restarted server being taken for a silent one: its reset
// must end the old connection before the ping does.
func TestRestartedServerIsNoticedAtOnce(t *testing.T) {
	serverTLS, clientTLS, err := authority(t).TLS("test")
	require.NoError(t, err)
	start := func(addr string) (*peer.Server, context.CancelFunc) {
		var server *peer.Server
		require.Eventually(t, func() bool {
			server, err = peer.NewServer(peer.ServerConfig{Address: addr, TLS: serverTLS})
			return err == nil
		}, 5*time.Second, 10*time.Millisecond)
		server.Handle(testType, echo)
		ctx, cancel := context.WithCancel(context.Background())
		go server.Serve(ctx)
		return server, cancel
	}
	first, stopFirst := start("127.0.0.1:0")
	r := newRelay(t, first.Addr())
	client := peer.NewClient(peer.ClientConfig{TLS: clientTLS})
	defer client.Close()
	require.NoError(t, client.Call(within(t, 5*time.Second), r.Addr(), testType, "x", nil))
	r.SetLoss(1)
	stopFirst()
	require.Eventually(t, func() bool { return first.Closed() }, 5*time.Second, time.Millisecond)
	second, stopSecond := start(first.Addr())
	defer stopSecond()
	defer second.Close(within(t, time.Second))
	r.SetLoss(0)
	began := time.Now()
	require.Eventually(t, func() bool {
		return client.Call(within(t, 5*time.Second), r.Addr(), testType, "x", nil) == nil
	}, 5*time.Second, time.Millisecond)
	require.Less(t, time.Since(began), time.Second)
}
