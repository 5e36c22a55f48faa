package transfer

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/slowdown"
)

// connect returns both ends of a TCP connection.
func connect(t *testing.T) (client, server net.Conn) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	client, err = net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	server, err = l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = client.Close(), server.Close() })
	return client, server
}

// Guards against transfers that are ended although they make progress.
func TestTransferWithProgressOutlastsItsDeadline(t *testing.T) {
	client, server := connect(t)
	const blocks, pause = 12, 50 * time.Millisecond
	go func() {
		for range blocks {
			_, _ = server.Write(make([]byte, minProgress))
			time.Sleep(pause)
		}
		_ = server.Close()
	}()
	c := NewConn(client, time.Now)
	require.NoError(t, c.SetDeadline(time.Now().Add(4*pause)))
	got, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Len(t, got, blocks*minProgress)
}

// Guards against transfers that hang when nothing arrives any more.
func TestTransferWithoutProgressEnds(t *testing.T) {
	client, server := connect(t)
	_, err := server.Write(make([]byte, 3*minProgress))
	require.NoError(t, err)
	c := NewConn(client, time.Now)
	meter := slowdown.Start()
	start := time.Now()
	require.NoError(t, c.SetDeadline(start.Add(100*time.Millisecond)))
	got, err := io.ReadAll(c)
	took := time.Since(start)
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	require.True(t, timeout.Timeout())
	require.Contains(t, err.Error(), "no progress after 12288 bytes")
	require.Len(t, got, 3*minProgress)
	require.Less(t, took, meter.Scale(2*stallTimeout))
}

// Guards against transfers that are kept open by a few bytes now and then.
func TestTrickleIsNoProgress(t *testing.T) {
	p := progress{}
	start := time.Unix(100, 0)
	p.start(start.Add(time.Second), start)
	for n := range minProgress - 1 {
		require.False(t, p.advance(1, start.Add(time.Duration(n)*time.Millisecond)))
	}
	require.Equal(t, start.Add(time.Second), p.deadline)
}

// Guards against transfers without end: their deadline does not move beyond its limit.
func TestTransferHasALimit(t *testing.T) {
	p := progress{}
	start := time.Unix(100, 0)
	p.start(start.Add(time.Second), start)
	for n := range 100 {
		p.advance(minProgress, start.Add(time.Duration(n)*100*time.Millisecond))
	}
	require.Equal(t, start.Add(time.Second+maxExtension), p.deadline)
}

// Guards against writers that never end because their peer does not read.
func TestWriteToAPeerThatDoesNotReadEnds(t *testing.T) {
	client, _ := connect(t)
	c := NewConn(client, time.Now)
	require.NoError(t, c.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
	meter := slowdown.Start()
	start := time.Now()
	_, err := c.Write(make([]byte, 64<<20))
	require.Error(t, err)
	require.Less(t, time.Since(start), meter.Scale(3*stallTimeout))
}

// randomText returns text that does not compress well.
func randomText(r *rand.Rand, n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(r.UintN(256))
	}
	return b
}

// Guards against differences that restore something else than their target, or that grow
// with the state instead of the change.
func TestDiffRestoresItsTarget(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	base := randomText(r, 1<<20)
	changed := bytes.Clone(base)
	copy(changed[500_000:], "changed")
	for name, target := range map[string][]byte{
		"the same":   base,
		"a change":   changed,
		"an end":     append(bytes.Clone(base), "more"...),
		"a start":    append([]byte("more"), base...),
		"a part":     base[100_000:900_000],
		"empty":      {},
		"all new":    randomText(r, 1<<20),
		"repetition": []byte(strings.Repeat("a", 1<<20)),
	} {
		t.Run(name, func(t *testing.T) {
			diff, err := Diff(base, target)
			require.NoError(t, err)
			got, err := Patch(base, diff, Digest(target))
			require.NoError(t, err)
			require.True(t, bytes.Equal(target, got))
			if name != "all new" {
				require.Less(t, len(diff), 2000)
			}
		})
	}
}

// Guards against a state that was restored from a base that the difference does not fit.
func TestDiffIsNotAppliedToAnotherBase(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	base, other := randomText(r, 100_000), randomText(r, 100_000)
	target := append(bytes.Clone(base), "more"...)
	diff, err := Diff(base, target)
	require.NoError(t, err)
	for name, wrong := range map[string][]byte{"another": other, "shorter": base[:50_000], "empty": {}} {
		_, err = Patch(wrong, diff, Digest(target))
		require.Error(t, err, name)
	}
	_, err = Patch(base, diff[:len(diff)-1], Digest(target))
	require.Error(t, err, "cut off")
}

// Guards against memory without bound for a small message that claims a large state.
func TestDecompressLimitsMemory(t *testing.T) {
	_, err := Decompress(Compress(make([]byte, maxStateBytes+1)))
	require.Error(t, err)
}
