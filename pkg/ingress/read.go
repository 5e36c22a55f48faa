package ingress

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/sequoiacove/sequoiacove/pkg/exchange"
	"github.com/sequoiacove/sequoiacove/pkg/httpio"
)

// requestError is an error that is reported to the caller with an HTTP status
// before the connection is closed.
type requestError struct {
	status int
	cause  error
}

// Error implements error.
func (r *requestError) Error() string { return r.cause.Error() }

// readRequest reads a request with its body.
func (x *session) readRequest() (*Request, error) {
	limits := x.server.config.Limits()
	timeout := limits.HeaderTimeout
	if timeout <= 0 {
		timeout = defaultHeaderTimeout
	}
	now := x.server.config.Now()
	if err := x.conn.SetReadDeadline(now.Add(timeout)); err != nil {
		return nil, errors.Trace(err)
	}
	message := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(message)
	message.Header.DisableNormalizing()
	if err := x.readHeader(message, limits.MaxHeaderBytes); err != nil {
		return nil, err
	}
	r := x.toRequest(message, now)
	if r.Host == "" || r.URI == "" || r.URI[0] != '/' {
		return nil, &requestError{http.StatusBadRequest, errors.New("request without host or path")}
	}
	if message.Header.ContentLength() == -1 && hasField(message.Header.RawHeaders(), "content-length") {
		return nil, &requestError{http.StatusBadRequest, errors.New("request has both Content-Length and Transfer-Encoding")}
	}
	err := x.readBody(message, r, limits.MaxBodyBytes)
	return r, err
}

// hasField reports whether the raw header lines contain a field; name must be in
// lower case.
func hasField(raw []byte, name string) bool {
	for line := range bytes.Lines(raw) {
		if len(line) > len(name) && line[len(name)] == ':' && strings.EqualFold(string(line[:len(name)]), name) {
			return true
		}
	}
	return false
}

// readHeader reads the request line and the header fields. If they do not fit
// into the read buffer, the buffer is replaced by one of limit bytes.
func (x *session) readHeader(message *fasthttp.Request, limit int) error {
	if limit <= 0 {
		limit = defaultHeaderBytes
	}
	err := message.Header.Read(x.reader)
	var small *fasthttp.ErrSmallBuffer
	if errors.As(err, &small) && x.reader.Size() < limit {
		x.reader = bufio.NewReaderSize(io.MultiReader(bufferedBytes(x.reader), x.conn), limit)
		err = message.Header.Read(x.reader)
	}
	if err == nil {
		// The names of the fields are passed on to upstreams as they are.
		err = httpio.CheckRequest(&message.Header)
	}
	switch {
	case err == nil:
		return nil
	case errors.As(err, &small):
		return &requestError{http.StatusRequestHeaderFieldsTooLarge, err}
	case errors.Is(err, io.EOF) || isNetError(err):
		return errors.Trace(err)
	}
	return &requestError{http.StatusBadRequest, err}
}

// bufferedBytes returns a reader for the bytes that are buffered in b.
func bufferedBytes(b *bufio.Reader) io.Reader {
	return io.LimitReader(b, int64(b.Buffered()))
}

func isNetError(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr)
}

// toRequest returns a Request with the fields of the parsed header. Its Head lacks
// the hop-by-hop fields and the fields that are set per attempt.
func (x *session) toRequest(message *fasthttp.Request, now time.Time) *Request {
	h := &x.server.config.Headers
	header := &message.Header
	r := &Request{Host: string(header.Host()), URI: string(header.RequestURI()), ArrivedAt: now}
	r.Method = string(header.Method())
	head := make([]byte, 0, 256)
	head = append(head, r.Method...)
	head = append(head, ' ')
	head = append(head, r.URI...)
	head = append(head, " HTTP/1.1\r\n"...)
	for key, value := range header.All() {
		name := string(key)
		switch {
		case strings.EqualFold(name, h.RequestID):
			r.ID = string(value)
		case strings.EqualFold(name, h.AffinityKey):
			r.AffinityKey = string(value)
		case strings.EqualFold(name, h.Deadline):
			r.Timeout = parseMillis(value)
			continue
		case strings.EqualFold(name, h.Target), !exchange.IsEndToEnd(name):
			continue
		}
		head = append(head, name...)
		head = append(head, ": "...)
		head = append(head, value...)
		head = append(head, "\r\n"...)
	}
	r.Head = head
	return r
}

func parseMillis(value []byte) time.Duration {
	n, err := strconv.ParseInt(string(value), 10, 32)
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}
