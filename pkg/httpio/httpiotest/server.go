package httpiotest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Serve answers each request that it has read with the text that respond returns, and then
// ends the sending side of the connection. It returns its address and stops with the test.
func Serve(t testing.TB, respond func(r *http.Request) string) (address string) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveOne(c.(*net.TCPConn), respond)
		}
	}()
	return l.Addr().String()
}

// lingerTimeout bounds the wait for the end of the connection by its peer.
const lingerTimeout = 5 * time.Second

func serveOne(c *net.TCPConn, respond func(r *http.Request) string) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if _, err := io.WriteString(c, respond(r)); err != nil || c.CloseWrite() != nil {
		return
	}
	if c.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		_, _ = io.Copy(io.Discard, c)
	}
}
