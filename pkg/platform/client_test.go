package platform

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// rawServer answers every connection with respond and counts connections.
func rawServer(t *testing.T, respond func(net.Conn)) (address string, connections *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	connections = new(atomic.Int64)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				defer conn.Close()
				_, _ = conn.Read(make([]byte, 4096))
				respond(conn)
			}()
		}
	}()
	return listener.Addr().String(), connections
}

func testClient(address string, now func() time.Time) *Client {
	return NewClient(ClientConfig{
		TableAddress: address, ObjectsAddress: address, ListAddress: address,
		Timeout: 200 * time.Millisecond, ReadsPerSecond: 1e6, WritesPerSecond: 1e6,
		Now: now, Random: func() float64 { return 0.5 },
	})
}

const hashOfB = "3e23e8160039594a33894f6564e1b1348bbd7a0088d42c4acb73eeaed59c009d"

var oneWrite = Transaction{Writes: []Write{{Key: "k", Value: []byte("v")}}}

func frozen() time.Time { return time.Unix(1000, 0) }

// Guards against the HTTP library repeating a call whose answer was lost.
func TestCallsAreSentOnce(t *testing.T) {
	address, connections := rawServer(t, func(net.Conn) {})
	client := testClient(address, frozen)
	_, err := client.Get(context.Background(), "k")
	require.Equal(t, result.StoreUnavailable, result.CodeOf(err))
	require.EqualValues(t, 1, connections.Load(), "GET was repeated")
	err = client.Objects().Put(context.Background(), hashOfB, []byte("b"))
	require.Equal(t, result.StoreNoAnswer, result.CodeOf(err))
	require.EqualValues(t, 2, connections.Load(), "PUT was repeated")
	_, err = client.Transact(context.Background(), oneWrite)
	require.Equal(t, result.StoreNoAnswer, result.CodeOf(err))
	require.EqualValues(t, 3, connections.Load(), "POST was repeated")
}

// Guards against a claim that nothing was written although bytes left, and
// against an unknown outcome where certainly nothing was written.
func TestClassification(t *testing.T) {
	reply := func(text string) func(net.Conn) {
		return func(c net.Conn) { _, _ = c.Write([]byte(text)) }
	}
	answers := map[string]struct {
		respond     func(net.Conn)
		read, write result.Code
	}{
		"silent":       {func(net.Conn) { time.Sleep(time.Second) }, result.StoreUnavailable, result.StoreNoAnswer},
		"closed":       {func(net.Conn) {}, result.StoreUnavailable, result.StoreNoAnswer},
		"not run":      {reply("HTTP/1.1 503 X\r\nSequoia-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), result.StoreUnavailable, result.StoreUnavailable},
		"server error": {reply("HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"), result.StoreUnavailable, result.StoreNoAnswer},
		"not JSON":     {reply("HTTP/1.1 200 X\r\nContent-Length: 1\r\n\r\n{"), result.StoreProtocol, result.StoreProtocol},
		"other row":    {reply("HTTP/1.1 200 X\r\nContent-Length: 23\r\n\r\n{\"key\":\"x\",\"revision\":1}"), result.StoreProtocol, result.StoreProtocol},
		"conflict":     {reply("HTTP/1.1 409 X\r\nContent-Length: 24\r\n\r\n{\"key\":\"k\",\"revision\":1}"), result.StoreProtocol, result.StoreConflict},
		"half":         {reply("HTTP/1.1 200 X\r\nContent-Length: 99\r\n\r\n{"), result.StoreUnavailable, result.StoreNoAnswer},
	}
	for name, c := range answers {
		address, _ := rawServer(t, c.respond)
		client := testClient(address, frozen)
		_, err := client.Get(context.Background(), "k")
		require.Equal(t, c.read, result.CodeOf(err), "%s: read: %v", name, err)
		_, err = client.Transact(context.Background(), oneWrite)
		require.Equal(t, c.write, result.CodeOf(err), "%s: write: %v", name, err)
	}
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	_, err = testClient(closed.Addr().String(), frozen).Transact(context.Background(), oneWrite)
	require.Equal(t, result.StoreUnavailable, result.CodeOf(err), "no connection: nothing was sent")
}

// Guards against a late answer that is taken as the answer to the next call.
func TestLateAnswerIsDiscarded(t *testing.T) {
	var answered atomic.Bool
	address, _ := rawServer(t, func(c net.Conn) {
		if !answered.Swap(true) {
			time.Sleep(250 * time.Millisecond)
		}
		_, _ = c.Write([]byte("HTTP/1.1 200 X\r\nContent-Length: 24\r\n\r\n{\"key\":\"k\",\"revision\":7}"))
		_, _ = c.Read(make([]byte, 4096))
		_, _ = c.Write([]byte("HTTP/1.1 200 X\r\nContent-Length: 24\r\n\r\n{\"key\":\"k\",\"revision\":8}"))
	})
	client := testClient(address, frozen)
	_, err := client.Get(context.Background(), "k")
	require.Equal(t, result.StoreUnavailable, result.CodeOf(err))
	time.Sleep(100 * time.Millisecond)
	row, err := client.Get(context.Background(), "k")
	require.NoError(t, err)
	require.EqualValues(t, 7, row.Revision, "the second call is the first on a new connection")
}

// Guards against pressing a store that is down, and against staying away after it returns.
func TestDownAndUp(t *testing.T) {
	now := frozen()
	var up atomic.Bool
	address, connections := rawServer(t, func(c net.Conn) {
		if up.Load() {
			_, _ = c.Write([]byte("HTTP/1.1 200 X\r\nContent-Length: 24\r\nConnection: close\r\n\r\n{\"key\":\"k\",\"revision\":0}"))
		}
	})
	client := testClient(address, func() time.Time { return now })
	for range 50 {
		_, err := client.Get(context.Background(), "k")
		require.Equal(t, result.StoreUnavailable, result.CodeOf(err))
	}
	require.EqualValues(t, failuresUntilDown, connections.Load())
	require.True(t, client.Down())

	now = now.Add(backoffBase / 2)
	for range 5 {
		_, _ = client.Get(context.Background(), "k")
	}
	require.EqualValues(t, failuresUntilDown+1, connections.Load(), "one probe for each backoff")

	up.Store(true)
	now = now.Add(backoffMax)
	_, err := client.Get(context.Background(), "k")
	require.NoError(t, err)
	require.False(t, client.Down())
}

// Guards against several probes at once of a store that is down, and against
// an old answer that ends the backoff.
func TestOneProbeAtATime(t *testing.T) {
	now := frozen()
	h := health{random: func() float64 { return 0.5 }}
	for range failuresUntilDown {
		h.failed(now, false)
	}
	now = now.Add(backoffMax)
	ok, probe := h.admit(now)
	require.True(t, ok && probe)
	for range 3 {
		ok, _ = h.admit(now)
		require.False(t, ok)
	}
	require.False(t, h.succeeded(false))
	require.True(t, h.isDown(), "a call from before the outage was answered")
	h.abandon(true)
	ok, probe = h.admit(now)
	require.True(t, ok && probe, "a probe that was not sent frees its place")
	require.True(t, h.succeeded(true))
}

// Guards against a backoff above its limit or without spread.
func TestFullJitter(t *testing.T) {
	require.Equal(t, backoffBase/2, fullJitter(0, 0.5))
	require.Equal(t, time.Duration(0), fullJitter(20, 0))
	for attempt := range 100 {
		require.LessOrEqual(t, fullJitter(attempt, 0.999), backoffMax)
	}
	require.Equal(t, backoffMax/2, fullJitter(60, 0.5))
}

// Guards against a surge when the store returns: the first second after an
// outage must stay at the sustained rate.
func TestBucketStartsEmptyAfterOutage(t *testing.T) {
	now := frozen()
	b := newBucket(10, 50, now)
	b.drain(now, 0)
	admitted := 0
	for range 100 {
		if wait, ok := b.reserve(now, time.Second); ok {
			admitted++
			require.LessOrEqual(t, wait, time.Second)
		}
	}
	require.Equal(t, 10, admitted)
	_, ok := b.reserve(now.Add(time.Second), 0)
	require.False(t, ok, "waiting calls hold the tokens of the next second")
	_, ok = b.reserve(now.Add(3*time.Second), 0)
	require.True(t, ok)
}
