package faultproxy

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startUDPEchoServer starts a UDP echo server and returns its address.
func startUDPEchoServer(t *testing.T) string {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	go func() {
		buffer := make([]byte, maxDatagramBytes)
		for {
			n, from, err := conn.ReadFromUDP(buffer)
			if err != nil {
				return
			}
			_, _ = conn.WriteToUDP(buffer[:n], from)
		}
	}()
	return conn.LocalAddr().String()
}

func newUDP(t *testing.T) *UDP {
	relay, err := NewUDP(startUDPEchoServer(t), 7)
	require.NoError(t, err)
	t.Cleanup(relay.Close)
	return relay
}

func dialUDP(t *testing.T, relay *UDP) net.Conn {
	conn, err := net.Dial("udp", relay.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn
}

func roundTripUDP(conn net.Conn, text string, timeout time.Duration) (string, error) {
	if _, err := conn.Write([]byte(text)); err != nil {
		return "", err
	}
	return readUDP(conn, timeout)
}

func readUDP(conn net.Conn, timeout time.Duration) (string, error) {
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
	buffer := make([]byte, maxDatagramBytes)
	n, err := conn.Read(buffer)
	return string(buffer[:n]), err
}

// Guards against a relay that sends a response to the wrong client.
func TestUDPFlowsAreIsolated(t *testing.T) {
	relay := newUDP(t)
	first, second := dialUDP(t, relay), dialUDP(t, relay)
	for i := range 20 {
		got, err := roundTripUDP(first, fmt.Sprint("first", i), testTimeout)
		require.NoError(t, err)
		require.Equal(t, fmt.Sprint("first", i), got)
		got, err = roundTripUDP(second, fmt.Sprint("second", i), testTimeout)
		require.NoError(t, err)
		require.Equal(t, fmt.Sprint("second", i), got)
	}
}

// Guards against a blackhole that affects new flows or misses an established one.
func TestUDPBlackholeDoesNotAffectNewFlows(t *testing.T) {
	relay := newUDP(t)
	old := dialUDP(t, relay)
	_, err := roundTripUDP(old, "before", testTimeout)
	require.NoError(t, err)
	require.Equal(t, 1, relay.BlackholeEstablished())
	_, err = roundTripUDP(old, "lost", 100*time.Millisecond)
	require.Error(t, err)
	_, err = roundTripUDP(dialUDP(t, relay), "new", testTimeout)
	require.NoError(t, err)
}

// Guards against a cut that persists after it is cleared.
func TestUDPCutAndHeal(t *testing.T) {
	relay := newUDP(t)
	conn := dialUDP(t, relay)
	relay.SetFaults(Faults{Cut: true})
	_, err := roundTripUDP(conn, "lost", 100*time.Millisecond)
	require.Error(t, err)
	relay.SetFaults(Faults{})
	got, err := roundTripUDP(conn, "after", testTimeout)
	require.NoError(t, err)
	require.Equal(t, "after", got)
}

// Guards against reordering that drops datagrams or leaves their order unchanged.
func TestUDPReorder(t *testing.T) {
	relay := newUDP(t)
	relay.SetReorderRatio(0.3)
	conn := dialUDP(t, relay)
	const count = 50
	for i := range count {
		_, err := conn.Write([]byte{byte(i)})
		require.NoError(t, err)
		time.Sleep(time.Millisecond)
	}
	seen, inversions, last := make(map[byte]bool), 0, byte(0)
	for range count {
		got, err := readUDP(conn, testTimeout)
		require.NoError(t, err)
		if got[0] < last {
			inversions++
		}
		last = got[0]
		seen[last] = true
	}
	require.Len(t, seen, count)
	require.Positive(t, inversions)
}

// Guards against a delay that is applied in only one direction.
func TestUDPDelay(t *testing.T) {
	relay := newUDP(t)
	relay.SetFaults(Faults{Delay: 30 * time.Millisecond})
	start := time.Now()
	_, err := roundTripUDP(dialUDP(t, relay), "x", testTimeout)
	require.NoError(t, err)
	require.GreaterOrEqual(t, time.Since(start), 60*time.Millisecond)
}

// Guards against a leak of the sockets of idle flows.
func TestUDPIdleFlowsAreClosed(t *testing.T) {
	target, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = target.Close() })
	relay, err := NewUDP(target.LocalAddr().String(), 1)
	require.NoError(t, err)
	t.Cleanup(relay.Close)
	client, err := net.Dial("udp", relay.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	_, err = client.Write([]byte("x"))
	require.NoError(t, err)
	flows := func() int {
		relay.mu.Lock()
		defer relay.mu.Unlock()
		return len(relay.flows)
	}
	require.Eventually(t, func() bool { return flows() == 1 }, time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return flows() == 0 }, 3*flowIdleTimeout, 10*time.Millisecond)
}
