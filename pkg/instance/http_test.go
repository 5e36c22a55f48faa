package instance

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/sequoiacove/sequoiacove/pkg/httpio/httpiotest"
)

// Guards against a lookup or a call of an operator with an invalid name of a field that is
// served, or that is read as two requests.
func TestCallWithInvalidFieldNameIsRefused(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	i := &Instance{logger: slog.New(slog.DiscardHandler)}
	i.serveHTTP(l, func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(http.StatusNoContent) }, true)
	send := func(fields string) (list []int) {
		c, err := net.Dial("tcp4", l.Addr().String())
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		_, err = io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\n"+fields+"\r\n")
		require.NoError(t, err)
		require.NoError(t, c.(*net.TCPConn).CloseWrite())
		for b := bufio.NewReader(c); ; {
			r, err := http.ReadResponse(b, nil)
			if err != nil {
				return list
			}
			list = append(list, r.StatusCode)
			_, _ = io.Copy(io.Discard, r.Body)
		}
	}
	require.Equal(t, []int{http.StatusNoContent}, send("X-A: 1,\r\n 2\r\nx-b:\r\n"))
	for _, name := range httpiotest.InvalidNames {
		require.Equal(t, []int{http.StatusBadRequest}, send(name+": 2\r\n"), "%q", name)
	}
}
