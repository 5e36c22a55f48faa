package ingress

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/sequoiacove/sequoiacove/pkg/exchange"
)

const (
	acceptPause = 20 * time.Millisecond
	// maxAhead bounds the requests of one connection that are read before the
	// oldest is answered.
	maxAhead = 32
	// writeTimeout bounds how long a caller may take to receive an answer.
	writeTimeout = 10 * time.Second
	// lingerTimeout bounds the wait for the caller to close after a closing
	// answer; an earlier close could reset the connection and lose the answer.
	lingerTimeout = time.Second
	// bodyTimeout bounds how long a caller may take to send a body.
	bodyTimeout = 30 * time.Second
	// Limits in force before the first configuration.
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 1 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// readBufferBytes is the initial buffer of a connection.
	readBufferBytes = 4 << 10
)

// session is one caller's connection.
type session struct {
	server *Server
	conn   net.Conn
	reader *bufio.Reader
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// active counts the requests that are read and not yet answered.
	active int
	// waiting tells that the reader waits for the first byte of a request.
	waiting bool
	// closing tells that no further request is served.
	closing bool
	// answered tells that the closing answer was written.
	answered bool
	room     *sync.Cond
	// last is closed when the newest request is answered.
	last chan struct{}
}

func newSession(s *Server, c net.Conn) *session {
	x := &session{server: s, conn: c}
	header := s.config.Limits().HeaderBytes
	if header <= 0 {
		header = defaultHeaderBytes
	}
	x.reader = bufio.NewReaderSize(c, min(readBufferBytes, header))
	x.ctx, x.cancel = context.WithCancel(context.Background())
	x.room = sync.NewCond(&x.mu)
	x.last = make(chan struct{})
	close(x.last)
	return x
}

// run reads requests until the caller leaves or the connection closes.
func (x *session) run() {
	defer x.server.remove(x)
	defer x.finish()
	for x.await() {
		r, err := x.read()
		if err != nil {
			x.refuse(err)
			return
		}
		if !x.dispatch(r) {
			return
		}
	}
}

// finish ends the connection. The work for a caller that left is cancelled.
func (x *session) finish() {
	x.mu.Lock()
	closing, last := x.closing, x.last
	x.mu.Unlock()
	if closing {
		<-last
	}
	x.mu.Lock()
	answered := x.answered
	x.mu.Unlock()
	if answered {
		x.linger()
	}
	x.cancel()
	_ = x.conn.Close()
}

// linger reads until the caller has closed its end.
func (x *session) linger() {
	if half, ok := x.conn.(interface{ CloseWrite() error }); ok {
		if half.CloseWrite() != nil {
			return
		}
	}
	if x.conn.SetReadDeadline(x.server.config.Now().Add(lingerTimeout)) == nil {
		_, _ = io.Copy(io.Discard, x.conn)
	}
}

// await waits for the first byte of a request.
func (x *session) await() bool {
	x.mu.Lock()
	for x.active >= maxAhead && !x.closing {
		x.room.Wait()
	}
	if x.closing || (x.server.closed.Load() && x.active == 0) {
		x.mu.Unlock()
		return false
	}
	x.waiting = true
	x.setIdleDeadline()
	x.mu.Unlock()
	_, err := x.reader.Peek(1)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.waiting = false
	return err == nil && !x.closing
}

// setIdleDeadline bounds the wait for a request while none is in flight.
func (x *session) setIdleDeadline() {
	var deadline time.Time
	if x.active == 0 {
		idle := x.server.config.Limits().IdleTimeout
		if idle <= 0 {
			idle = defaultIdleTimeout
		}
		deadline = x.server.config.Now().Add(idle)
	}
	// An error means that the connection is closed, which the reader sees.
	_ = x.conn.SetReadDeadline(deadline)
}

// closeIfIdle closes the connection unless a request is in flight.
func (x *session) closeIfIdle() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.active == 0 && x.waiting {
		x.closing = true
		_ = x.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// refusal is an error that is answered before the connection closes.
type refusal struct {
	status int
	cause  error
}

// Error implements error.
func (r *refusal) Error() string { return r.cause.Error() }

func (x *session) read() (*Request, error) {
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
	if err := x.readHeader(message, limits.HeaderBytes); err != nil {
		return nil, err
	}
	r := x.convert(message, now)
	if r.Host == "" || r.URI == "" || r.URI[0] != '/' {
		return nil, &refusal{http.StatusBadRequest, errors.New("request without host or path")}
	}
	if message.Header.ContentLength() == -1 && hasField(message.Header.RawHeaders(), "content-length") {
		return nil, &refusal{http.StatusBadRequest, errors.New("two framings of the body")}
	}
	err := x.readBody(message, r, limits.BodyBytes)
	return r, err
}

// hasField tells whether raw header lines hold a field; name is in lower case.
func hasField(raw []byte, name string) bool {
	for line := range bytes.Lines(raw) {
		if len(line) > len(name) && line[len(name)] == ':' && equalFold(string(line[:len(name)]), name) {
			return true
		}
	}
	return false
}

// readHeader reads the request line and the header fields. A header longer
// than the buffer needs a larger buffer, up to the limit in force.
func (x *session) readHeader(message *fasthttp.Request, limit int) error {
	if limit <= 0 {
		limit = defaultHeaderBytes
	}
	err := message.Header.Read(x.reader)
	var small *fasthttp.ErrSmallBuffer
	if errors.As(err, &small) && x.reader.Size() < limit {
		x.reader = bufio.NewReaderSize(io.MultiReader(bytesOf(x.reader), x.conn), limit)
		err = message.Header.Read(x.reader)
	}
	switch {
	case err == nil:
		return nil
	case errors.As(err, &small):
		return &refusal{http.StatusRequestHeaderFieldsTooLarge, err}
	case errors.Is(err, io.EOF) || isNetError(err):
		return errors.Trace(err)
	}
	return &refusal{http.StatusBadRequest, err}
}

// bytesOf returns a reader of the bytes that are buffered in b.
func bytesOf(b *bufio.Reader) io.Reader {
	return io.LimitReader(b, int64(b.Buffered()))
}

func isNetError(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr)
}

func (x *session) readBody(message *fasthttp.Request, r *Request, limit int) error {
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	length := message.Header.ContentLength()
	if length == 0 || length == -2 {
		r.HasBody = length == 0 && len(message.Header.Peek("Content-Length")) > 0
		return nil
	}
	if length > limit {
		return &refusal{http.StatusRequestEntityTooLarge, errors.New("body exceeds the limit")}
	}
	if message.MayContinue() {
		if _, err := x.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return errors.Trace(err)
		}
	}
	if err := x.conn.SetReadDeadline(x.server.config.Now().Add(bodyTimeout)); err != nil {
		return errors.Trace(err)
	}
	if err := message.ContinueReadBody(x.reader, limit, false); err != nil {
		switch {
		case errors.Is(err, fasthttp.ErrBodyTooLarge):
			return &refusal{http.StatusRequestEntityTooLarge, err}
		case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isNetError(err):
			return errors.Trace(err)
		}
		return &refusal{http.StatusBadRequest, err}
	}
	r.Body = append([]byte(nil), message.Body()...)
	r.HasBody = true
	if x.server.buffered.Add(int64(len(r.Body))) > x.server.config.MaxBufferedBytes {
		x.server.buffered.Add(-int64(len(r.Body)))
		return &refusal{http.StatusServiceUnavailable, errors.New("too many bytes of bodies in memory")}
	}
	return nil
}

func (x *session) convert(message *fasthttp.Request, now time.Time) *Request {
	h := &x.server.config.Headers
	header := &message.Header
	r := &Request{Host: string(header.Host()), URI: string(header.RequestURI()), Arrived: now}
	r.Method = string(header.Method())
	head := make([]byte, 0, 256)
	head = append(head, r.Method...)
	head = append(head, ' ')
	head = append(head, r.URI...)
	head = append(head, " HTTP/1.1\r\n"...)
	for key, value := range header.All() {
		name := string(key)
		switch {
		case equalFold(name, h.RequestID):
			r.ID = string(value)
		case equalFold(name, h.AffinityKey):
			r.AffinityKey = string(value)
		case equalFold(name, h.Deadline):
			r.Wait = parseMillis(value)
			continue
		case equalFold(name, h.Target), !exchange.Passed(name):
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

// dispatch starts a request; false tells that no further one is read.
func (x *session) dispatch(r *Request) bool {
	r.Idempotent = x.server.config.Handler.Idempotent(r)
	x.mu.Lock()
	previous, done := x.last, make(chan struct{})
	x.last = done
	x.active++
	x.mu.Unlock()
	x.server.begin()
	go x.serve(r, previous, done)
	return true
}

func (x *session) serve(r *Request, previous <-chan struct{}, done chan<- struct{}) {
	defer close(done)
	defer x.server.end()
	defer x.server.buffered.Add(-int64(len(r.Body)))
	if !r.Idempotent {
		<-previous
	}
	x.mu.Lock()
	dropped := x.closing
	x.mu.Unlock()
	if dropped {
		x.release(false)
		return
	}
	resp := x.server.config.Handler.Serve(x.ctx, r)
	<-previous
	x.respond(resp, r.Method)
}

// respond writes an answer in its turn.
func (x *session) respond(resp *Response, method string) {
	x.mu.Lock()
	if x.closing || resp == nil {
		// An older answer closed the connection, or the caller has left.
		x.mu.Unlock()
		x.release(false)
		return
	}
	closing := x.server.draining.Load() && x.active == 1
	x.closing, x.answered = closing, closing
	x.mu.Unlock()
	err := x.conn.SetWriteDeadline(x.server.config.Now().Add(writeTimeout))
	if err == nil {
		_, err = x.conn.Write(encode(resp, method, closing))
	}
	if err != nil {
		x.cancel()
		_ = x.conn.Close()
	}
	x.release(closing)
}

// release counts a request out and wakes the reader where needed.
func (x *session) release(closing bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.active--
	x.room.Signal()
	switch {
	case closing:
		// Ends the wait of the reader, which then lingers.
		_ = x.conn.SetReadDeadline(time.Unix(1, 0))
	case x.waiting:
		x.setIdleDeadline()
	}
}

// refuse answers a request that could not be read.
func (x *session) refuse(err error) {
	var r *refusal
	if !errors.As(err, &r) {
		return
	}
	x.mu.Lock()
	last := x.last
	x.mu.Unlock()
	<-last
	x.mu.Lock()
	closing := x.closing
	x.closing, x.answered = true, true
	x.mu.Unlock()
	if closing {
		return
	}
	if x.conn.SetWriteDeadline(x.server.config.Now().Add(writeTimeout)) == nil {
		_, _ = x.conn.Write(encode(&Response{Status: r.status}, http.MethodGet, true))
	}
}

// encode renders an answer.
func encode(resp *Response, method string, closing bool) []byte {
	b := make([]byte, 0, len(resp.Body)+512)
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(resp.Status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(resp.Status)...)
	b = append(b, "\r\n"...)
	for _, f := range resp.Header {
		b = append(b, f.Name...)
		b = append(b, ": "...)
		b = append(b, f.Value...)
		b = append(b, "\r\n"...)
	}
	if resp.RetryAfter > 0 {
		b = append(b, "Retry-After: "...)
		b = strconv.AppendFloat(b, resp.RetryAfter.Seconds(), 'f', 3, 64)
		b = append(b, "\r\n"...)
	}
	if closing {
		b = append(b, "Connection: close\r\n"...)
	}
	if resp.Status != http.StatusNoContent && resp.Status != http.StatusNotModified {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(resp.Body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	if method == http.MethodHead {
		return b
	}
	return append(b, resp.Body...)
}

func parseMillis(value []byte) time.Duration {
	n, err := strconv.ParseInt(string(value), 10, 32)
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

func equalFold(a, b string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := 0; i < len(a); i++ {
		x, y := a[i], b[i]
		if x|0x20 != y|0x20 {
			return false
		}
	}
	return true
}
