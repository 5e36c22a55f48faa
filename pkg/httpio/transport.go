package httpio

import (
	"bufio"
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

// Transport implements fasthttp.RoundTripper. It sends each request once, with the timeout of
// the request, and reads the response with ReadResponse.
type Transport struct {
	// Now is the clock of the deadlines.
	Now func() time.Time
}

var errNoTimeout = errors.New("request without timeout")

// RoundTrip implements fasthttp.RoundTripper. It never asks for a retry.
func (t Transport) RoundTrip(hc *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response) (retry bool, err error) {
	timeout := req.GetTimeOut()
	if timeout <= 0 {
		return false, errNoTimeout
	}
	deadline := t.Now().Add(timeout)
	c, err := hc.AcquireConn(timeout, req.ConnectionClose())
	if err != nil {
		return false, err
	}
	if hc.DisableHeaderNamesNormalizing {
		resp.Header.DisableNormalizing()
	}
	b := hc.AcquireReader(c.Conn())
	defer hc.ReleaseReader(b)
	err = send(hc, c.Conn(), req, deadline)
	if err == nil {
		err = receive(hc, c.Conn(), b, req, resp, deadline)
	}
	if err != nil || req.ConnectionClose() || resp.ConnectionClose() || b.Buffered() > 0 {
		// Bytes behind the response would be taken for the next one.
		hc.CloseConn(c)
		return false, err
	}
	hc.ReleaseConn(c)
	return false, nil
}

func send(hc *fasthttp.HostClient, c net.Conn, req *fasthttp.Request, deadline time.Time) error {
	if err := c.SetWriteDeadline(deadline); err != nil {
		return err
	}
	w := hc.AcquireWriter(c)
	defer hc.ReleaseWriter(w)
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// receive reads the response. The whole request has been written before, so an error of the
// connection is reported here and not to a concurrent write.
func receive(hc *fasthttp.HostClient, c net.Conn, b *bufio.Reader, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) error {
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}
	_, err := ReadResponse(b, resp, string(req.Header.Method()), hc.MaxResponseBodySize)
	return err
}
