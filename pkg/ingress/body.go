package ingress

import (
	"io"
	"net/http"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/sequoiacove/sequoiacove/pkg/httpio"
)

const (
	// minBodyBytes is the size up to which a request body is read even if the memory for
	// bodies is used up, so that long and slow bodies do not fail short ones.
	minBodyBytes = 16 << 10
	// firstBodyBytes is the size of the first buffer of a body; it doubles as bytes arrive.
	firstBodyBytes = 4 << 10
)

var errBodyTooLarge = &requestError{http.StatusRequestEntityTooLarge, errors.New("request body exceeds the size limit")}

// readBody reads the body of a request.
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
		return errBodyTooLarge
	}
	if message.MayContinue() {
		if _, err := x.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return errors.Trace(err)
		}
	}
	if err := x.conn.SetReadDeadline(x.server.config.Now().Add(bodyTimeout)); err != nil {
		return errors.Trace(err)
	}
	var err error
	if length < 0 {
		r.Body, err = x.server.receiveBody(httpio.NewChunkedReader(x.reader), length, limit)
	} else if err = message.ContinueReadBodyStream(x.reader, limit, false); err == nil {
		r.Body, err = x.server.receiveBody(message.BodyStream(), length, limit)
	}
	r.HasBody = err == nil
	return bodyError(err)
}

// bodyError returns the error of a request whose body could not be read.
func bodyError(err error) error {
	var refused *requestError
	switch {
	case err == nil, errors.As(err, &refused):
		return err
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isNetError(err):
		return errors.Trace(err)
	}
	return &requestError{http.StatusBadRequest, err}
}

// receiveBody reads a body of the given length, or a chunked one if length is negative.
// Memory is reserved as the bytes arrive: a caller that announces a long body and does not
// send it takes none. The memory of the returned body stays reserved.
func (s *Server) receiveBody(stream io.Reader, length, limit int) ([]byte, error) {
	var body []byte
	reserved := int64(0)
	fail := func(err error) ([]byte, error) {
		s.bufferedBodyBytes.Add(-reserved)
		return nil, err
	}
	for {
		if len(body) == limit {
			if n, err := stream.Read(make([]byte, 1)); n > 0 || err != io.EOF {
				if err == nil {
					err = errBodyTooLarge
				}
				return fail(err)
			}
			return body, nil
		}
		if len(body) == cap(body) {
			capacity := min(max(firstBodyBytes, 2*cap(body)), limit)
			if !s.reserveBodyBytes(int64(capacity)-reserved, capacity <= minBodyBytes) {
				return fail(&requestError{http.StatusServiceUnavailable, errors.New("memory limit for request bodies reached")})
			}
			reserved = int64(capacity)
			body = append(make([]byte, 0, capacity), body...)
		}
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF && length >= 0 && len(body) < length:
			return fail(io.ErrUnexpectedEOF)
		case err == io.EOF:
			s.bufferedBodyBytes.Add(int64(len(body)) - reserved)
			return body, nil
		case err != nil:
			return fail(err)
		}
	}
}

// reserveBodyBytes reserves n more bytes for a request body and reports whether the memory
// for bodies allows it. With force, it reserves them in any case.
func (s *Server) reserveBodyBytes(n int64, force bool) bool {
	if s.bufferedBodyBytes.Add(n) > s.config.MaxBufferedBodyBytes && !force {
		s.bufferedBodyBytes.Add(-n)
		return false
	}
	return true
}
