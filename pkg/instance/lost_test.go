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

	"github.com/sequoiacove/sequoiacove/pkg/catalog"
	"github.com/sequoiacove/sequoiacove/pkg/exchange"
	"github.com/sequoiacove/sequoiacove/pkg/slowdown"
)

// lostResponses holds the ways in which an upstream that has executed a request fails to
// deliver the response. Each function may write to the connection; it is closed
// afterwards.
var lostResponses = map[string]func(r *http.Request, c net.Conn){
	"closed before the head": func(*http.Request, net.Conn) {},
	"reset before the head":  func(_ *http.Request, c net.Conn) { reset(c) },
	"closed in the head": func(r *http.Request, c net.Conn) {
		write(c, "HTTP/1.1 200 OK\r\nX-Id: "+r.Header.Get("X-Id")+"\r\nX-Sig")
	},
	"reset in the head": func(r *http.Request, c net.Conn) {
		write(c, "HTTP/1.1 200 OK\r\nX-Id: "+r.Header.Get("X-Id")+"\r\nX-Sig")
		reset(c)
	},
	"closed in the body": func(r *http.Request, c net.Conn) {
		response := okResponse(r, "a body of some length")
		write(c, response[:len(response)-5])
	},
	"reset in the body": func(r *http.Request, c net.Conn) {
		response := okResponse(r, "a body of some length")
		write(c, response[:len(response)-5])
		reset(c)
	},
	"last chunk missing": func(r *http.Request, c net.Conn) {
		write(c, "HTTP/1.1 200 OK\r\nX-Id: "+r.Header.Get("X-Id")+"\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n")
	},
	"silence": func(_ *http.Request, c net.Conn) {
		// The instance closes the connection when the time for the request is over.
		_, _ = c.Read(make([]byte, 1))
	},
	"status 000": func(r *http.Request, c net.Conn) {
		write(c, strings.Replace(okResponse(r, "first"), "200 OK", "000 OK", 1))
	},
	"invalid field name": func(r *http.Request, c net.Conn) {
		write(c, strings.Replace(okResponse(r, "first"), "X-Signature", "X Fill: 1\r\nX-Signature", 1))
	},
	"response to another request": func(_ *http.Request, c net.Conn) {
		write(c, "HTTP/1.1 503 Unavailable\r\nX-Id: another\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	},
}

func write(c net.Conn, s string) { _, _ = c.Write([]byte(s)) }

func reset(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) }

// Guards against work that is executed a second time after its response was lost, and
// against callers that are told that it has not run: for each way of loss, on new and on
// reused connections. Idempotent requests are answered by the other upstream if there is
// time left.
func TestRequestWhoseResponseIsLost(t *testing.T) {
	for name, lose := range lostResponses {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			upstreams := []*fakeUpstream{env.startUpstream("u1"), env.startUpstream("u2")}
			inst := env.start("i1")
			env.awaitReady(inst, 2)
			executions := func(id string) int { return upstreams[0].requestsWithID(id) + upstreams[1].requestsWithID(id) }
			caller := env.dialCaller(inst)
			for n := range 6 {
				// Both upstreams have a connection that was used before.
				r, _ := caller.do("GET", "/safe/x", fmt.Sprint("before", n), "")
				require.Equal(t, 200, r.StatusCode)
			}
			for _, u := range upstreams {
				u.setHandler(func(r *http.Request, c net.Conn) string {
					if executions(r.Header.Get("X-Id")) > 1 {
						return okResponse(r, "second")
					}
					lose(r, c)
					return ""
				})
			}
			r, _ := env.dialCaller(inst).do("POST", "/unsafe/x", "once", "body")
			require.Contains(t, []int{502, 504}, r.StatusCode, "the outcome is unknown")
			require.Equal(t, 1, executions("once"))
			meter, start := slowdown.Start(), time.Now()
			r, body := env.dialCaller(inst).do("GET", "/safe/x", "again", "")
			if strings.HasPrefix(name, "silence") {
				require.Equal(t, 504, r.StatusCode)
				took := time.Since(start)
				require.Less(t, took, meter.Scale(3*time.Second))
				return
			}
			require.Equal(t, 200, r.StatusCode)
			require.Equal(t, "second", body)
			require.Equal(t, 2, executions("again"))
		})
	}
}

// Guards against callers that are told that a request has not run, because an upstream
// refused it without saying so, or early, and ran it: callers would send it again.
func TestRefusalWithoutProofIsNotPassedOn(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for _, signature := range []string{"", "X-Signature: s\r\n"} {
			t.Run(fmt.Sprint(status, signature), func(t *testing.T) {
				env := newTestEnv(t)
				u := env.startUpstream("u1")
				inst := env.start("i1")
				env.awaitReady(inst, 1)
				u.setHandler(func(r *http.Request, _ net.Conn) string {
					return fmt.Sprintf("HTTP/1.1 %d Refused\r\nX-Id: %s\r\n%sContent-Length: 0\r\n\r\n", status, r.Header.Get("X-Id"), signature)
				})
				r := env.doUntilSent(inst, u, "POST", "/unsafe/x")
				require.Equal(t, http.StatusBadGateway, r.StatusCode)
				require.Empty(t, r.Header.Get("X-Signature"))
				r = env.doUntilSent(inst, u, "GET", "/safe/x")
				require.Equal(t, status, r.StatusCode, "an idempotent request may be sent again")
			})
		}
	}
}

// Guards against a request that tries one upstream after the other, and blames them, although
// its caller has left while a connection was being opened.
func TestCallerLeavesWhileAConnectionIsOpened(t *testing.T) {
	env := newTestEnv(t)
	// Nothing answers there, and connections to it are not refused.
	const unreachable = "192.0.2.1:80"
	for n := range 5 {
		env.store.write(catalog.Upstreams, fmt.Sprint("u", n), "shop "+unreachable+" n-a ready", false)
	}
	inst := env.newInstance("n", "i1")
	dialing := make(chan struct{}, 10)
	inst.client = exchange.NewClient(exchange.Config{Headers: inst.opt.Platform.Headers, Now: inst.opt.Now, Dial: func(ctx context.Context, _ string, _, _ time.Duration) (net.Conn, error) {
		dialing <- struct{}{}
		<-ctx.Done()
		return nil, ctx.Err()
	}})
	env.run(inst)
	env.awaitReady(inst, 5)
	caller := env.dialCaller(inst)
	caller.send(requestText("GET", "/safe/x", "left", ""))
	<-dialing
	require.NoError(t, caller.conn.Close())
	require.Eventually(t, func() bool { return strings.Contains(inst.log.String(), `"event":408`) }, testTimeout, 5*time.Millisecond)
	require.Empty(t, dialing, "no further upstream is tried")
	require.NotContains(t, inst.log.String(), `"event":409`)
	require.NotContains(t, inst.log.String(), `"event":502`)
}

// Guards against rejected requests whose line lacks what decided it.
func TestRequestWithoutRouteIsLoggedWithItsInputs(t *testing.T) {
	env := newTestEnv(t)
	inst := env.start("i1")
	env.awaitReady(inst, 0)
	r, _ := env.dialCaller(inst).do("GET", "/nowhere", "lost", "")
	require.Equal(t, http.StatusNotFound, r.StatusCode)
	require.Regexp(t, `"event":406,"request":"lost","status":404,"reason":"no_route".*"version":1,"directives_age_ms":\d+,"upstreams_age_ms":\d+`, inst.log.String())
}
