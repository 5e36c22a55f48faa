package entry

import (
	"errors"
	"io"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"github.com/sequoiacove/sequoiacove/pkg/request"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

const (
	// maxBodiesBytes bounds the request bodies in memory. Without it, the
	// connections that are allowed could send 64 GiB.
	maxBodiesBytes = 256 << 20
	// bodyStep is the part of a body that is reserved at a time, so that slow
	// senders reserve little.
	bodyStep = 64 << 10
)

// bodies counts the bytes of the request bodies in memory.
type bodies struct{ bytes atomic.Int64 }

func (b *bodies) reserve(n int) bool {
	if b.bytes.Add(int64(n)) > maxBodiesBytes {
		b.bytes.Add(-int64(n))
		return false
	}
	return true
}

func (b *bodies) release(n int) { b.bytes.Add(-int64(n)) }

// read reads the body of a request. The reserved bytes must be released when
// the request has ended, also after an error.
func (b *bodies) read(ctx *fasthttp.RequestCtx) (body []byte, reserved int, err error) {
	length := ctx.Request.Header.ContentLength()
	stream := ctx.RequestBodyStream()
	if stream == nil || length == 0 {
		return nil, 0, nil
	}
	if length > request.MaxBodyBytes {
		return nil, 0, tooLarge()
	}
	for {
		if len(body) == cap(body) {
			step := bodyStep
			if length >= 0 {
				step = min(step, length-len(body)+1)
			}
			if !b.reserve(step) {
				return nil, reserved, result.New(result.TooManyRequests, "the request bodies in memory are at their limit")
			}
			reserved += step
			body = append(make([]byte, 0, len(body)+step), body...)
		}
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > request.MaxBodyBytes:
			return nil, reserved, tooLarge()
		case errors.Is(err, io.EOF) && (length < 0 || len(body) == length):
			return body, reserved, nil
		case err != nil:
			return nil, reserved, result.New(result.BadRequest, "the body ended after %d bytes", len(body))
		}
	}
}

func tooLarge() error {
	return result.New(result.BodyTooLarge, "the body exceeds %d bytes", request.MaxBodyBytes)
}
