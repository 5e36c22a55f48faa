package exchange

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	earlyHead = "HTTP/1.1 200 OK\r\n" + signedFields
	// uploadBytes is more than the buffers of a connection take, so that the write of the
	// request still runs when the response is read.
	uploadBytes = 16 << 20
)

// upload sends a long request to an upstream that passes the connection, of which it has read
// the start of the request, to respond.
func upload(t *testing.T, respond func(c *net.TCPConn)) *Result {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	done := make(chan struct{})
	go func() {
		defer close(done)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		if _, err := io.ReadFull(c, make([]byte, 4<<10)); err == nil {
			respond(c.(*net.TCPConn))
		}
	}()
	req := testRequest("1")
	req.Method, req.HasBody, req.Body = http.MethodPost, true, bytes.Repeat([]byte("u"), uploadBytes)
	req.Head = bytes.Replace(req.Head, []byte("GET"), []byte("POST"), 1)
	c := testClient()
	target := Target{ID: "u", Address: l.Addr().String(), SameRegion: true}
	r := c.Do(context.Background(), target, req, time.Now().Add(5*time.Second))
	require.Empty(t, c.pool(target).idle, "the rest of the upload would be read as a request")
	<-done
	return r
}

// Guards against a response without a length that is cut by a reset and taken for complete,
// because the write of the request has received the error of the reset.
func TestResponseThatIsResetDuringTheUploadIsNotComplete(t *testing.T) {
	for name, respond := range map[string]func(c *net.TCPConn){
		"nothing more is read": func(c *net.TCPConn) {
			_, _ = io.WriteString(c, earlyHead+"\r\npart")
			time.Sleep(20 * time.Millisecond) // the write has filled the buffers
		},
		"at once": func(c *net.TCPConn) { _, _ = io.WriteString(c, earlyHead+"\r\npart") },
		"the upload is read on": func(c *net.TCPConn) {
			_, _ = io.WriteString(c, earlyHead+"\r\npart")
			_, _ = io.CopyN(io.Discard, c, uploadBytes/2)
		},
		"an empty part": func(c *net.TCPConn) {
			_, _ = io.WriteString(c, earlyHead+"\r\n")
			time.Sleep(20 * time.Millisecond)
		},
		"in parts": func(c *net.TCPConn) {
			for _, part := range []string{earlyHead, "\r\npa", "rt"} {
				_, _ = io.WriteString(c, part)
				time.Sleep(5 * time.Millisecond)
			}
		},
		"HTTP/1.0": func(c *net.TCPConn) {
			_, _ = io.WriteString(c, "HTTP/1.0 200 OK\r\n"+signedFields+"\r\npart")
			time.Sleep(20 * time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			for range 5 {
				r := upload(t, func(c *net.TCPConn) {
					respond(c)
					resetOnClose(c)
				})
				require.Equal(t, Unknown, r.Outcome, "status %d, body %q", r.Status, r.Body)
				require.Equal(t, ConnectionLost, r.Reason, "%v", r.Err)
				require.Empty(t, r.Body)
			}
		})
	}
}

// Guards against complete responses to a request that is still being written and that are
// refused, or that wait for the end of the write.
func TestCompleteResponseDuringTheUploadIsAnAnswer(t *testing.T) {
	closeWrite := func(c *net.TCPConn) { _ = c.CloseWrite() }
	for name, tc := range map[string]struct {
		response string
		end      func(c *net.TCPConn)
	}{
		"without a length, then idle": {earlyHead + "\r\nbody", func(c *net.TCPConn) {
			closeWrite(c)
			time.Sleep(200 * time.Millisecond)
		}},
		"without a length, the upload is read on": {earlyHead + "\r\nbody", func(c *net.TCPConn) {
			closeWrite(c)
			_, _ = io.Copy(io.Discard, c)
		}},
		"without a length, then a reset": {earlyHead + "\r\nbody", func(c *net.TCPConn) {
			closeWrite(c)
			resetOnClose(c)
		}},
		"without a length, a reset later": {earlyHead + "\r\nbody", func(c *net.TCPConn) {
			closeWrite(c)
			time.Sleep(20 * time.Millisecond)
			resetOnClose(c)
		}},
		"with a length, then a reset": {fmt.Sprintf("%sContent-Length: 4\r\n\r\nbody", earlyHead), resetAfterDelivery},
		"in chunks, then a reset":     {earlyHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", resetAfterDelivery},
	} {
		t.Run(name, func(t *testing.T) {
			for range 5 {
				r := upload(t, func(c *net.TCPConn) {
					_, _ = io.WriteString(c, tc.response)
					tc.end(c)
				})
				require.Equal(t, Answered, r.Outcome, "%v", r.Err)
				require.Equal(t, "body", string(r.Body))
				require.Less(t, r.Elapsed, 2*time.Second)
			}
		})
	}
}

// resetAfterDelivery resets the connection once the bytes that were sent have been read.
func resetAfterDelivery(c *net.TCPConn) {
	time.Sleep(20 * time.Millisecond)
	resetOnClose(c)
}
