package exchange

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http/httpguts"
)

// FuzzResponse guards against a panic on malformed upstream responses, and
// against accepting a successful response that lacks the signature or belongs
// to another request, or one with an invalid status or field name.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{signedResponse("1", "x"), signedResponse("2", "y") + signedResponse("1", "x"), "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n" + signedResponse("1", ""),
		"HTTP/1.1 503 No\r\nX-Id: 1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n", "HTTP/1.1 200", "\x00",
		"HTTP/1.1 000 X\r\nX-Id: 1\r\nX-Signature: s\r\nContent-Length: 1\r\n\r\nx", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\nX Y: 1\r\n\nX: 1\r\n\r\nx"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c := NewClient(Config{Headers: testHeaders, Now: time.Now, Dial: func(context.Context, string, time.Duration, time.Duration) (net.Conn, error) {
			local, remote := net.Pipe()
			go func() {
				b := make([]byte, 4096)
				// The Client may close the connection before it has read everything.
				if _, err := remote.Read(b); err == nil {
					_, _ = remote.Write(data)
				}
				_ = remote.Close()
			}()
			return local, nil
		}})
		r := c.Do(context.Background(), Target{ID: "u", Address: "a"}, testRequest("1"), time.Now().Add(time.Second))
		if r.Outcome == Answered && r.Status < 300 {
			require.True(t, r.Signed)
			require.Contains(t, r.Header, Field{"X-Id", "1"})
		}
		if r.Outcome == Answered {
			require.True(t, r.Status >= 200 && r.Status <= 999, r.Status)
			for _, field := range r.Header {
				require.True(t, httpguts.ValidHeaderFieldName(field.Name), "%q", field.Name)
				require.True(t, httpguts.ValidHeaderFieldValue(field.Value), "%q", field.Value)
			}
		}
		if r.Outcome == NotRun {
			require.Contains(t, []Reason{Shed, Misdirected}, r.Reason, "a request that was sent may only be reported as not executed if the upstream said so")
		}
	})
}
