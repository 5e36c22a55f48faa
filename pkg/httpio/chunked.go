package httpio

import (
	"bufio"
	"io"
	"net/http/httputil"
)

// chunkedReader reads a chunked body with its trailer.
type chunkedReader struct {
	b      *bufio.Reader
	chunks io.Reader
	// err is the error of all reads after the last chunk.
	err error
}

// NewChunkedReader returns a reader of the content of a chunked body. It returns io.EOF once
// it has read the last chunk and a valid trailer, which it drops, and io.ErrUnexpectedEOF if b
// ends before.
func NewChunkedReader(b *bufio.Reader) io.Reader {
	return &chunkedReader{b: b, chunks: httputil.NewChunkedReader(b)}
}

// Read implements io.Reader. It returns content or an error, not both.
func (r *chunkedReader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.chunks.Read(p)
	if n > 0 {
		// The next call returns the error.
		return n, nil
	}
	if err == io.EOF {
		r.err = r.skipTrailer()
		err = r.err
	}
	return 0, err
}

func (r *chunkedReader) skipTrailer() error {
	trailer, err := peekTrailer(r.b)
	switch {
	case err == io.EOF:
		return io.ErrUnexpectedEOF
	case err != nil:
		return err
	}
	if _, err := r.b.Discard(len(trailer)); err != nil {
		return err
	}
	return io.EOF
}
