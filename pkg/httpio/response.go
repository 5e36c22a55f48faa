// Package httpio reads HTTP/1.1 messages. It parses them with fasthttp, but first checks and
// rejects what fasthttp would read as something that the sender did not say.
//
// All responses are read by ReadResponse: those of upstreams in package exchange, and those of
// fasthttp clients, whose Transport has to be that of this package.
package httpio

import (
	"bufio"
	"net/http"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

const (
	// maxInterimResponses is the maximum number of 1xx responses before the final one, the
	// same as that of the clients of fasthttp.
	maxInterimResponses = 100
	// chunkedLength and closeDelimitedLength are the content lengths that fasthttp reports for
	// a chunked response and for one that ends with its connection.
	chunkedLength        = -1
	closeDelimitedLength = -2
)

// ReadResponse reads the final response to a request with the given method, and the interim
// responses before it. It fails if the body exceeds maxBodyBytes. closeDelimited reports
// whether the body ended with the connection, so that it is complete only if that ended in
// order. An invalid head or trailer is a NotValid error of juju/errors. Errors of b are
// returned as they are, io.EOF also for a head that broke off.
func ReadResponse(b *bufio.Reader, response *fasthttp.Response, method string, maxBodyBytes int) (closeDelimited bool, err error) {
	if err := readHead(b, response); err != nil {
		return false, err
	}
	status := response.StatusCode()
	if method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified {
		return false, nil
	}
	length := response.Header.ContentLength()
	if err := response.ReadBody(b, maxBodyBytes); err != nil {
		return false, err
	}
	if length == chunkedLength {
		if _, err := peekTrailer(b); err != nil {
			return false, err
		}
		return false, errors.WithType(response.Header.ReadTrailer(b), errors.NotValid)
	}
	return length == closeDelimitedLength, nil
}

// readHead reads the head of the final response.
func readHead(b *bufio.Reader, response *fasthttp.Response) error {
	for range maxInterimResponses + 1 {
		head, err := peekSection(b, headEnd)
		if err != nil {
			return err
		}
		if err := checkResponseHead(head); err != nil {
			return err
		}
		// The whole head is buffered, so that an error is one of the parser.
		if err := response.Header.Read(b); err != nil {
			return errors.WithType(err, errors.NotValid)
		}
		status := response.StatusCode()
		if status == http.StatusSwitchingProtocols {
			return errors.NotValidf("unexpected 101 Switching Protocols response")
		}
		if status >= http.StatusOK {
			return nil
		}
	}
	return errors.NotValidf("number of interim responses")
}
