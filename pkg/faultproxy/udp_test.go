package faultproxy

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func echoUDP(t *testing.T) string {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	go func() {
		buffer := make([]byte, maxDatagram)
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
	relay, err := NewUDP(echoUDP(t), 7)
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

func askUDP(conn net.Conn, text string, limit time.Duration) (string, error) {
	if _, err := conn.Write([]byte(text)); err != nil {
		return "", err
	}
	return readUDP(conn, limit)
}

func readUDP(conn net.Conn, limit time.Duration) (string, error) {
	_ = conn.SetReadDeadline(time.Now().Add(limit))
	buffer := make([]byte, maxDatagram)
	n, err := conn.Read(buffer)
	return string(buffer[:n]), err
}

// Guards against a relay that mixes up flows.
func TestUDPKeepsFlowsApart(t *testing.T) {
	relay := newUDP(t)
	first, second := dialUDP(t, relay), dialUDP(t, relay)
	for i := range 20 {
		got, err := askUDP(first, fmt.Sprint("first", i), wait)
		require.NoError(t, err)
		require.Equal(t, fmt.Sprint("first", i), got)
		got, err = askUDP(second, fmt.Sprint("second", i), wait)
		require.NoError(t, err)
		require.Equal(t, fmt.Sprint("second", i), got)
	}
}

// Guards against a silent fault that reaches new flows or misses an old one.
func TestUDPSilenceSparesNewFlows(t *testing.T) {
	relay := newUDP(t)
	old := dialUDP(t, relay)
	_, err := askUDP(old, "before", wait)
	require.NoError(t, err)
	require.Equal(t, 1, relay.BlackholeEstablished())
	_, err = askUDP(old, "lost", 100*time.Millisecond)
	require.Error(t, err)
	_, err = askUDP(dialUDP(t, relay), "new", wait)
	require.NoError(t, err)
}

// Guards against a cut that does not end when it is lifted.
func TestUDPCutAndHeal(t *testing.T) {
	relay := newUDP(t)
	conn := dialUDP(t, relay)
	relay.Set(Faults{Cut: true})
	_, err := askUDP(conn, "lost", 100*time.Millisecond)
	require.Error(t, err)
	relay.Set(Faults{})
	got, err := askUDP(conn, "after", wait)
	require.NoError(t, err)
	require.Equal(t, "after", got)
}

// Guards against reordering that loses datagrams or leaves their order alone.
func TestUDPReorder(t *testing.T) {
	relay := newUDP(t)
	relay.SetReorder(0.3)
	conn := dialUDP(t, relay)
	const count = 50
	for i := range count {
		_, err := conn.Write([]byte{byte(i)})
		require.NoError(t, err)
		time.Sleep(time.Millisecond)
	}
	seen, inversions, last := make(map[byte]bool), 0, byte(0)
	for range count {
		got, err := readUDP(conn, wait)
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

// Guards against a delay that is missing in one of the two directions.
func TestUDPDelay(t *testing.T) {
	relay := newUDP(t)
	relay.Set(Faults{Delay: 30 * time.Millisecond})
	start := time.Now()
	_, err := askUDP(dialUDP(t, relay), "x", wait)
	require.NoError(t, err)
	require.GreaterOrEqual(t, time.Since(start), 60*time.Millisecond)
}

// Guards against a relay that keeps the sockets of all flows that ever were.
func TestIdleFlowsEnd(t *testing.T) {
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
	require.Eventually(t, func() bool { return flows() == 0 }, 3*flowIdle, 10*time.Millisecond)
}
