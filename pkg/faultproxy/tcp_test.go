package faultproxy

import (
	"bufio"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const testTimeout = 5 * time.Second

// startLineServer starts a server that responds to every line with "answer:" and
// the line.
func startLineServer(t *testing.T) (addr string, linesReceived *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	linesReceived = new(atomic.Int64)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				lines := bufio.NewScanner(conn)
				for lines.Scan() {
					linesReceived.Add(1)
					_, _ = io.WriteString(conn, "answer:"+lines.Text()+"\n")
				}
			}()
		}
	}()
	return listener.Addr().String(), linesReceived
}

func newTCP(t *testing.T) (*TCP, *atomic.Int64) {
	addr, linesReceived := startLineServer(t)
	relay, err := NewTCP(addr)
	require.NoError(t, err)
	t.Cleanup(relay.Close)
	return relay, linesReceived
}

type client struct {
	net.Conn
	lines *bufio.Reader
}

func dial(t *testing.T, addr string) *client {
	conn, err := net.DialTimeout("tcp", addr, testTimeout)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return &client{Conn: conn, lines: bufio.NewReader(conn)}
}

func (c *client) roundTrip(line string, timeout time.Duration) (string, error) {
	if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
		return "", err
	}
	if _, err := io.WriteString(c, line+"\n"); err != nil {
		return "", err
	}
	return c.lines.ReadString('\n')
}

// Guards against a relay that alters or delays traffic when no fault is set.
func TestTCPPassesTraffic(t *testing.T) {
	relay, _ := newTCP(t)
	c := dial(t, relay.Addr())
	for _, line := range []string{"a", "b", strings.Repeat("c", 60_000)} {
		got, err := c.roundTrip(line, testTimeout)
		require.NoError(t, err)
		require.Equal(t, "answer:"+line+"\n", got)
	}
}

// Guards against a delay that is applied in only one direction.
func TestTCPDelay(t *testing.T) {
	relay, _ := newTCP(t)
	relay.SetFaults(Faults{Delay: 40 * time.Millisecond})
	c := dial(t, relay.Addr())
	start := time.Now()
	_, err := c.roundTrip("x", testTimeout)
	require.NoError(t, err)
	require.GreaterOrEqual(t, time.Since(start), 80*time.Millisecond)
}

// Guards against a bandwidth limit that is not enforced.
func TestTCPBandwidth(t *testing.T) {
	relay, _ := newTCP(t)
	relay.SetFaults(Faults{BytesPerSecond: 100_000})
	c := dial(t, relay.Addr())
	start := time.Now()
	_, err := c.roundTrip(strings.Repeat("x", 10_000), testTimeout)
	require.NoError(t, err)
	require.GreaterOrEqual(t, time.Since(start), 190*time.Millisecond, "10,000 bytes each way at 100,000 bytes/s")
}

// Guards against a blackhole that closes established connections or affects new
// ones.
func TestTCPBlackholeDoesNotAffectNewConnections(t *testing.T) {
	relay, _ := newTCP(t)
	old := dial(t, relay.Addr())
	_, err := old.roundTrip("before", testTimeout)
	require.NoError(t, err)
	require.Equal(t, 1, relay.BlackholeEstablished())
	_, err = old.roundTrip("lost", 100*time.Millisecond)
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	require.True(t, timeout.Timeout(), "the connection must stay open without data, got %v", err)
	_, err = dial(t, relay.Addr()).roundTrip("new", testTimeout)
	require.NoError(t, err)
}

// Guards against a cut that leaves connections open, or that persists after it
// is cleared.
func TestTCPCutAndHeal(t *testing.T) {
	relay, _ := newTCP(t)
	c := dial(t, relay.Addr())
	_, err := c.roundTrip("before", testTimeout)
	require.NoError(t, err)
	relay.SetFaults(Faults{Cut: true})
	_, err = c.roundTrip("during", testTimeout)
	require.Error(t, err)
	require.Error(t, roundTripFrom("", relay.Addr()))
	relay.SetFaults(Faults{})
	_, err = dial(t, relay.Addr()).roundTrip("after", testTimeout)
	require.NoError(t, err)
}

// Guards against a cut that affects sources other than those it lists.
func TestTCPCutBySource(t *testing.T) {
	relay, _ := newTCP(t)
	relay.SetFaults(Faults{Cut: true, Sources: []netip.Addr{netip.MustParseAddr("127.0.7.1")}})
	require.NoError(t, roundTripFrom("127.0.6.1", relay.Addr()))
	require.Error(t, roundTripFrom("127.0.7.1", relay.Addr()))
}

// roundTripFrom opens a connection from a local address and sends one request. If a
// cut applies, dialing may fail already.
func roundTripFrom(local, addr string) error {
	dialer := net.Dialer{Timeout: testTimeout}
	if local != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(local)}
	}
	conn, err := dialer.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	_, err = (&client{Conn: conn, lines: bufio.NewReader(conn)}).roundTrip("x", testTimeout)
	return err
}

// Guards against a truncation that forwards the whole response, or that truncates
// more responses than TruncateResponses was called for.
func TestTCPTruncatedResponse(t *testing.T) {
	relay, _ := newTCP(t)
	relay.TruncateResponses(1, 4)
	got, err := dial(t, relay.Addr()).roundTrip("x", testTimeout)
	require.ErrorIs(t, err, io.EOF)
	require.Equal(t, "answ", got)
	_, err = dial(t, relay.Addr()).roundTrip("y", testTimeout)
	require.NoError(t, err)
}

// Guards against a dropped response whose request did not reach the target.
func TestTCPDroppedResponseAfterEffect(t *testing.T) {
	relay, linesReceived := newTCP(t)
	relay.DropResponses(1)
	got, err := dial(t, relay.Addr()).roundTrip("x", testTimeout)
	require.Error(t, err)
	require.Empty(t, got)
	require.EqualValues(t, 1, linesReceived.Load())
}

// Guards against dropping the response to a request without the given prefix.
func TestTCPDroppedResponsesByPrefix(t *testing.T) {
	relay, linesReceived := newTCP(t)
	relay.DropResponsesTo("write", 1)
	c := dial(t, relay.Addr())
	for _, line := range []string{"read 1", "read 2"} {
		_, err := c.roundTrip(line, testTimeout)
		require.NoError(t, err)
	}
	_, err := c.roundTrip("write 1", testTimeout)
	require.Error(t, err)
	require.EqualValues(t, 3, linesReceived.Load())
	_, err = dial(t, relay.Addr()).roundTrip("write 2", testTimeout)
	require.NoError(t, err)
}
