package instance

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestGracefulStop(t *testing.T) {
	env := newTestEnv(t)
	u := env.startUpstream("u1")
	a := env.start("i1")
	b := env.start("i2", a.settings.MeshAddress)
	env.awaitReady(a, 1)
	env.awaitReady(b, 1)
	lookup := func() string { _, body := env.httpGet(b.settings.LookupAddress, "/lookup?region=n"); return body }
	require.Eventually(t, func() bool { return strings.Contains(lookup(), a.settings.CallerAddress) }, testTimeout, 10*time.Millisecond)
	started, finish := make(chan struct{}), make(chan struct{})
	u.setHandler(func(r *http.Request, _ net.Conn) string { close(started); <-finish; return okResponse(r, "done") })
	c := env.dialCaller(a)
	c.send(requestText("POST", "/unsafe/x", "1", "b"))
	<-started
	a.stop()
	require.Eventually(t, func() bool { return !strings.Contains(lookup(), a.settings.CallerAddress) }, testTimeout, time.Millisecond)
	status, _ := env.httpGet(a.settings.ReadinessAddress, "/ready")
	require.Equal(t, 503, status)
	close(finish)
	r, body := c.receive()
	require.Equal(t, 200, r.StatusCode)
	require.Equal(t, "done", body)
	require.True(t, r.Close, "the response does not tell the caller to reconnect elsewhere")
	select {
	case <-a.done:
	case <-time.After(testTimeout):
		t.Fatal("the instance did not end")
	}
}

func TestIdleConnectionsDoNotDelayShutdown(t *testing.T) {
	env := newTestEnv(t)
	env.startUpstream("u1")
	inst := env.start("i1")
	env.awaitReady(inst, 1)
	for range 20 {
		env.dialCaller(inst)
	}
	start := time.Now()
	inst.stop()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	select {
	case <-inst.done:
	case <-ctx.Done():
		t.Fatal("the instance did not end")
	}
	require.Less(t, time.Since(start), inst.settings.Bounds.ShutdownGracePeriod)
}

func TestShutdownUsesMonotonicClock(t *testing.T) {
	env := newTestEnv(t)
	env.startUpstream("u1")
	inst := env.start("i1")
	env.awaitReady(inst, 1)
	inst.stop()
	require.Eventually(t, func() bool { return inst.shutdown.Load() != nil }, testTimeout, time.Millisecond)
	shutdown := inst.shutdown.Load()
	require.Contains(t, shutdown.startedAt.String(), "m=", "the time has no monotonic clock reading")
	require.Contains(t, shutdown.deadline.String(), "m=")
}

// Guards against requests that come late in the grace period, are passed on, and are cut off
// without an answer when it ends, among them requests that may not be repeated.
func TestRequestLateInGracePeriodIsNotCutOff(t *testing.T) {
	for _, tc := range []struct {
		name string
		// sentAfter is the time from the stop signal to the request, and left the time from
		// the caller's deadline to the end of the shutdown.
		sentAfter, left time.Duration
	}{
		{"deadline after the end", 2 * time.Second, -time.Second},
		{"deadline shortly before the end", 1500 * time.Millisecond, 10 * time.Millisecond},
		{"deadline that leaves time for the answer", 1500 * time.Millisecond, answerMargin + 10*time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			env := newTestEnv(t)
			u := env.startUpstream("u1")
			inst := env.start("i1")
			env.awaitReady(inst, 1)
			// The upstream sends a response without end until its connection is closed.
			u.setHandler(func(r *http.Request, c net.Conn) string {
				_, err := c.Write([]byte("HTTP/1.1 200 OK\r\nX-Id: " + r.Header.Get("X-Id") + "\r\nX-Signature: s\r\n\r\n"))
				for err == nil {
					time.Sleep(5 * time.Millisecond)
					_, err = c.Write([]byte("x"))
				}
				return ""
			})
			callers := []*callerConn{env.dialCaller(inst), env.dialCaller(inst)}
			inst.stop()
			require.Eventually(t, func() bool { return inst.shutdown.Load() != nil }, testTimeout, time.Millisecond)
			shutdown := inst.shutdown.Load()
			time.Sleep(time.Until(shutdown.startedAt.Add(tc.sentAfter)))
			for i, path := range []string{"/safe/x", "/unsafe/x"} {
				callers[i].send(fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h.example\r\nX-Id: %d\r\nX-Deadline: %d\r\n\r\n", path, i, time.Until(shutdown.deadline.Add(-tc.left)).Milliseconds()))
			}
			for _, c := range callers {
				r, _ := c.receive()
				require.Contains(t, []int{http.StatusServiceUnavailable, http.StatusGatewayTimeout}, r.StatusCode)
			}
			<-inst.done
			answered := strings.LastIndex(inst.log.String(), `"reason":`)
			stopped := strings.Index(inst.log.String(), `"event":102,"in_flight":0`)
			require.Greater(t, stopped, answered, "the process ended before it answered the requests")
		})
	}
}

// Guards against requests that are admitted late in the grace period and whose answer, due just
// before its end, comes too late on a loaded machine.
func TestRequestWithoutTimeForItsAnswerIsNotAdmitted(t *testing.T) {
	env := newTestEnv(t)
	inst := env.newInstance("n", "i1")
	stoppedAt := time.Unix(1000, 0)
	times := newShutdownTimes(stoppedAt, inst.settings.Bounds.ShutdownGracePeriod)
	inst.shutdown.Store(times)
	inst.opt.Now = func() time.Time { return times.admitAllUntil.Add(time.Millisecond) }
	admitted := func(left time.Duration) bool {
		return inst.admits(&dispatch{instance: inst.Instance, deadline: times.deadline.Add(-left)})
	}
	require.True(t, admitted(answerMargin+time.Millisecond))
	require.False(t, admitted(answerMargin))
	require.False(t, admitted(time.Millisecond))
}
