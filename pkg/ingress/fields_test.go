package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/httpio/httpiotest"
)

const (
	requestHead    = "GET /a HTTP/1.1\r\nHost: h\r\n"
	chunkedRequest = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n"
)

// statuses sends bytes on a new connection and returns the statuses of the responses.
func statuses(t *testing.T, h Handler, sent string) (list []int) {
	_, _, c := serve(t, h)
	_, err := io.WriteString(c, sent)
	require.NoError(t, err)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	for b := bufio.NewReader(c); ; {
		r, err := http.ReadResponse(b, nil)
		if err != nil {
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
			return list
		}
		list = append(list, r.StatusCode)
	}
}

// Guards against a request with an invalid name of a field that is passed on with it, or that
// is read as two requests: an upstream would read another request than the caller sent.
func TestRequestWithInvalidFieldNameIsRefused(t *testing.T) {
	cases := map[string]string{
		"line without a colon":         requestHead + "X-Fill\r\n\r\n",
		"head that ends with CR LF LF": requestHead + "\n" + requestHead + "\r\n",
		"head that ends with LF LF":    requestHead + "X-A: 1\n\n" + requestHead + "\r\n",
		"trailer that ends with LF":    chunkedRequest + "\n" + requestHead + "\r\n",
		"trailer without a colon":      chunkedRequest + "X-Fill\r\n\r\n",
	}
	for _, name := range httpiotest.InvalidNames {
		line := name + ": 2\r\n"
		quoted := strconv.Quote(name)
		cases[quoted+" in the head"] = requestHead + line + "\r\n"
		cases[quoted+" before the host"] = "GET /a HTTP/1.1\r\n" + line + "Host: h\r\n\r\n"
		cases[quoted+" in the trailer"] = chunkedRequest + line + "\r\n"
		cases[quoted+" second in the trailer"] = chunkedRequest + "X-Sum: 1\r\n" + line + "\r\n"
	}
	for name, sent := range cases {
		t.Run(name, func(t *testing.T) {
			h := &countingHandler{make(chan string, 4)}
			require.Equal(t, []int{http.StatusBadRequest}, statuses(t, h, sent))
			require.Empty(t, h.requests)
		})
	}
}

// Guards against unusual but valid requests that the checks refuse.
func TestUnusualRequestsAreServed(t *testing.T) {
	for name, sent := range map[string]string{
		"all bytes of a name":    requestHead + "!#$%&'*+-.^_`|~09azAZ: x\r\n\r\n",
		"values":                 requestHead + "X-A:\r\nX-B: caf\xe9 \xff \"q\" a:b\tc\t\r\nX-C:b\r\nX-C: c\r\n\r\n",
		"folded value":           requestHead + "X-A: 1,\r\n 2\r\n\t3\r\n\r\n",
		"lines that end with LF": "GET /a HTTP/1.1\nHost: h\nX-A: 1\r\n\r\n",
		"empty lines before":     "\r\n\r\n" + requestHead + "\r\n",
		"names in other case":    "GET /a HTTP/1.1\r\nhOST: h\r\nx-ID: 1\r\n\r\n",
		"chunks":                 chunkedRequest + "\r\n",
		"trailer":                chunkedRequest + "X-Sum: 1\r\nx-other:\r\n\r\n",
		"chunk extensions":       "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: Chunked\r\n\r\n00A;a=\"b\";c\r\n0123456789\r\n0;d\r\n\r\n",
		"length with zeros":      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0003\r\n\r\nabc",
	} {
		t.Run(name, func(t *testing.T) {
			h := &countingHandler{make(chan string, 4)}
			// A request without a host is refused, and shows where the one before ended.
			last := "GET /b HTTP/1.1\r\n\r\n"
			require.Equal(t, []int{http.StatusOK, http.StatusBadRequest}, statuses(t, h, sent+last))
			require.Len(t, h.requests, 1)
		})
	}
}

// Guards against a chunked body that is cut at the size limit, or refused there.
func TestChunkedBodyAtTheSizeLimit(t *testing.T) {
	const head = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	body := strings.Repeat("a", defaultBodyBytes-1)
	for sent, want := range map[string]int{
		fmt.Sprintf("%s%x\r\n%s\r\n1\r\nb\r\n0\r\n\r\n", head, len(body), body):             http.StatusOK,
		fmt.Sprintf("%s%x\r\n%s\r\n2\r\nbc\r\n0\r\n\r\n", head, len(body), body):            http.StatusRequestEntityTooLarge,
		fmt.Sprintf("%s%x\r\n%s\r\n1\r\nb\r\n1\r\nc\r\n0\r\n\r\n", head, len(body), body):   http.StatusRequestEntityTooLarge,
		fmt.Sprintf("%s%x\r\n%s\r\n1\r\nb\r\n0\r\nX Y: z\r\n\r\n", head, len(body), body):   http.StatusBadRequest,
		fmt.Sprintf("%s%x\r\n%s\r\n1\r\nb\r\n0\r\nX-Sum: z\r\n\r\n", head, len(body), body): http.StatusOK,
	} {
		h := &countingHandler{make(chan string, 4)}
		require.Equal(t, want, statuses(t, h, sent+"GET /b HTTP/1.1\r\n\r\n")[0], "%s", sent[len(sent)-40:])
	}
}

// Guards against a request that broke off and is served, at each of its lengths.
func TestRequestThatBrokeOffIsNotServed(t *testing.T) {
	for _, request := range []string{chunkedRequest + "X-Sum: 1\r\n\r\n", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"} {
		for length := range len(request) {
			h := &countingHandler{make(chan string, 4)}
			s, _, c := serve(t, h)
			_, err := io.WriteString(c, request[:length])
			require.NoError(t, err)
			require.NoError(t, c.(*net.TCPConn).CloseWrite())
			require.Eventually(t, func() bool { return s.Connections() == 0 && s.InFlight() == 0 }, 5*time.Second, time.Millisecond)
			require.Empty(t, h.requests, "%q", request[:length])
		}
	}
}
