package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/sequoiacove/sequoiacove/pkg/request"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// rawCall sends bytes to an entry and reads one answer; half closes the sending
// side after the bytes.
func rawCall(t *testing.T, base, text string, half bool) *fasthttp.Response {
	conn, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = io.WriteString(conn, text)
	require.NoError(t, err)
	if half {
		require.NoError(t, conn.(*net.TCPConn).CloseWrite())
	}
	var resp fasthttp.Response
	if resp.Read(bufio.NewReader(conn)) != nil {
		return nil
	}
	return &resp
}

// lone returns an entry that serves all traffic of a world of one domain.
func lone(t *testing.T) (*world, *fakeAdmission, string) {
	w := newWorld(t, map[string]string{"a1": "north-a"})
	w.setVersion(2, strings.NewReplacer(
		`"north-a": 0.5, "north-b": 0.5`, `"north-a": 1`, `"share": 0.5, "domains": {"south-a"`, `"share": 0, "domains": {"south-a"`,
		`"north": {"share": 0.5`, `"north": {"share": 1`, `0.02`, `0`).Replace(testDescription))
	w.push()
	w.advance(tickInterval)
	return w, w.adm["a1"], serve(t, w.entries["a1"])
}

// Guards against requests and answers that change on their way: forms that are
// encoded anew, lost or repeated headers, hop-by-hop and own headers.
func TestMessagesPassUnchanged(t *testing.T) {
	_, adm, base := lone(t)
	const form = "--b\r\nX-Odd:1\r\nContent-Disposition: form-data; name=\"a\"; filename=\"f\"\r\n\r\n1\r\n--b--\r\ntail"
	adm.set(func(context.Context, *request.Request) (*request.Response, error) {
		return &request.Response{Status: 207, Body: []byte("x"), Upstream: "u", Domain: "d", Header: []request.Field{
			{Name: "Content-Type", Value: "a/b"}, {Name: "Set-Cookie", Value: "k=1; Path=/a"}, {Name: "Set-Cookie", Value: "k=2"},
			{Name: "Vary", Value: "A"}, {Name: "Vary", Value: "B"}, {Name: "Server", Value: "s"}, {Name: "Connection", Value: "close"},
			{Name: "Sequoia-Code", Value: "9999"}, {Name: "Transfer-Encoding", Value: "chunked"},
		}}, nil
	})
	resp := rawCall(t, base, "POST /v1/services/calls/a%2Fb//c?q=%20 HTTP/1.1\r\nHost: h\r\nUser-Agent: ua\r\nCookie: a=1; b=2\r\n"+
		"Content-Type: multipart/form-data; boundary=b\r\nAccept: x\r\nAccept: y\r\nConnection: X-Hop\r\nX-Hop: 1\r\nSequoia-Execution: z\r\nAuthorization: t\r\n"+
		fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(form), form), false)
	require.NotNil(t, resp)
	req := adm.ran[0]
	require.Equal(t, form, string(req.Body))
	require.Equal(t, "/a%2Fb//c?q=%20", req.Path)
	require.ElementsMatch(t, []request.Field{
		{Name: "User-Agent", Value: "ua"}, {Name: "Cookie", Value: "a=1; b=2"}, {Name: "Content-Type", Value: "multipart/form-data; boundary=b"},
		{Name: "Accept", Value: "x"}, {Name: "Accept", Value: "y"}, {Name: "Authorization", Value: "t"},
	}, req.Header)
	got := resp.Header.String()
	for _, line := range []string{"HTTP/1.1 207", "Content-Type: a/b", "Set-Cookie: k=1; Path=/a", "Set-Cookie: k=2", "Vary: A", "Vary: B", "Server: s", "Date: ", "Sequoia-Code: 1000"} {
		require.Contains(t, got, line)
	}
	for _, line := range []string{"9999", "close", "chunked"} {
		require.NotContains(t, got, line)
	}
}

// Guards against a HEAD answer without the length of the body that it stands
// for, and against a body after it.
func TestHeadKeepsLength(t *testing.T) {
	_, adm, base := lone(t)
	adm.set(func(context.Context, *request.Request) (*request.Response, error) {
		return &request.Response{Status: 200, Header: []request.Field{{Name: "Content-Length", Value: "77"}}}, nil
	})
	resp := call(t, "HEAD", base+"/v1/services/calls/x", "")
	require.Equal(t, 77, resp.Header.ContentLength())
	require.Equal(t, 200, resp.StatusCode())
}

// Guards against an execution of a request whose body did not arrive whole, and
// against bodies beyond the limits.
func TestBrokenBodies(t *testing.T) {
	w, adm, base := lone(t)
	const head = "POST /v1/services/calls/x HTTP/1.1\r\nHost: h\r\n"
	long := strings.Repeat("x", request.MaxBodyBytes)
	cases := []struct {
		name, text string
		half       bool
		code       result.Code
	}{
		{"short body", head + "Content-Length: 20000\r\n\r\n" + strings.Repeat("x", 10000), true, result.BadRequest},
		{"short chunk", head + "Transfer-Encoding: chunked\r\n\r\n5000\r\n" + strings.Repeat("x", 9000), true, result.BadRequest},
		{"no last chunk", head + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n", true, result.BadRequest},
		{"declared too long", head + fmt.Sprintf("Content-Length: %d\r\n\r\n", request.MaxBodyBytes+1), false, result.BodyTooLarge},
		{"chunks too long", head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n1\r\nx\r\n0\r\n\r\n", len(long), long), false, result.BodyTooLarge},
		{"header too long", head + "X: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", false, result.BadRequest},
	}
	for _, c := range cases {
		resp := rawCall(t, base, c.text, c.half)
		if resp != nil {
			require.Equal(t, c.code, decode[refusal](t, resp.Body()).Code, c.name)
		}
		require.Zero(t, adm.count(), "%s: it ran", c.name)
	}
	resp := call(t, "POST", base+"/v1/services/calls/x", long)
	require.Equal(t, 200, resp.StatusCode())
	require.Len(t, adm.ran[0].Body, request.MaxBodyBytes)
	resp = rawCall(t, base, head+"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", false)
	require.Equal(t, 200, resp.StatusCode())
	require.Equal(t, "abcde", string(adm.ran[1].Body))
	require.Eventually(t, func() bool { return w.entries["a1"].bodies.bytes.Load() == 0 }, time.Second, time.Millisecond, "reserved bytes leak")
	w.entries["a1"].bodies.bytes.Store(maxBodiesBytes)
	resp = call(t, "POST", base+"/v1/services/calls/x", "x")
	require.Equal(t, result.TooManyRequests, decode[refusal](t, resp.Body()).Code)
	resp = call(t, "GET", base+"/v1/services/calls/x", "")
	require.Equal(t, 200, resp.StatusCode(), "requests without a body go on")
}
