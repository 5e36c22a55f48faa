package mesh

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/catalog"
	"github.com/sequoiacove/sequoiacove/pkg/slowdown"
)

// maxTransferTime is the longest time that a transfer may take: what has arrived by its
// deadline may take as long again to decode.
const maxTransferTime = dialTimeout + 2*snapshotTimeout

// Guards against time and memory without bound for a peer that sends without end, at full
// speed or slowly, in place of a snapshot.
func TestSnapshotWithoutEndIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		start, repeated string
		pause           time.Duration
	}{
		"bytes that are no CBOR":          {"", "\xff", 0},
		"a text that never ends":          {"\xa1\x01\x7f", "\x61x", 0},
		"a list that never ends":          {"\xa1\x01\x9f", "\x01", 0},
		"a text longer than the limit":    {"\xa1\x01\x7a\xff\xff\xff\xff", "x", 0},
		"a list of four billion elements": {"\xa1\x01\x9a\xff\xff\xff\xff", "\x01", 0},
		"compressed bytes that never end": {"\x28\xb5\x2f\xfd", "x", 0},
		"a text that arrives slowly":      {"\xa1\x01\x7f", "\x61x", 20 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = l.Close() }()
			sent := make(chan int, 1)
			go func() {
				peer, err := l.Accept()
				if err != nil {
					// The transfer ended before its connection was accepted.
					sent <- 0
					return
				}
				defer func() { _ = peer.Close() }()
				block := bytes.Repeat([]byte(c.repeated), 1<<14)
				if c.pause > 0 {
					block = []byte(c.repeated)
				}
				n, err := io.WriteString(peer, c.start)
				for err == nil {
					var k int
					k, err = peer.Write(block)
					n += k
					time.Sleep(c.pause)
				}
				sent <- n
			}()
			meter := slowdown.Start()
			start := time.Now()
			_, _, err = FetchSnapshot(context.Background(), l.Addr().String(), time.Now, KnownRevisions{}, nil)
			require.Error(t, err)
			took := time.Since(start)
			require.Less(t, took, meter.Scale(maxTransferTime))
			_ = l.Close()
			// The buffers of the connection come on top of what was read.
			require.Less(t, <-sent, maxSnapshotBytes+64<<20)
		})
	}
}

// Guards against requests for snapshots that never end and keep others from being served.
func TestSnapshotRequestWithoutEndIsRefused(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	go ServeSnapshots(l, time.Now, func(KnownRevisions) Changes { return Changes{VersionKnown: true} })
	for range 8 {
		c, err := net.Dial("tcp4", l.Addr().String())
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		go func() {
			_, err := io.WriteString(c, "\xa1\x01\x7f")
			for err == nil {
				_, err = io.WriteString(c, "\x61x")
				time.Sleep(10 * time.Millisecond)
			}
		}()
	}
	got, _, err := FetchSnapshot(context.Background(), l.Addr().String(), time.Now, KnownRevisions{}, nil)
	require.NoError(t, err)
	require.True(t, got.VersionKnown)
}

// Guards against an answer of another instance that broke off and is applied in part.
func TestSnapshotThatBrokeOffIsRefused(t *testing.T) {
	var changes Changes
	for n := range 50 {
		changes.Tables.Upstreams.Rows = append(changes.Tables.Upstreams.Rows, catalog.Row{Key: fmt.Sprint("u", n), Value: []byte("value"), Revision: at(int64(n))})
	}
	for _, compressed := range []bool{false, true} {
		answer, err := encodeChanges(changes, compressed)
		require.NoError(t, err)
		for length := range len(answer) {
			_, err := decodeChanges(bytes.NewReader(answer[:length]), func() error { return nil })
			require.Error(t, err, "%d of %d bytes, compressed %v", length, len(answer), compressed)
		}
		whole, err := decodeChanges(bytes.NewReader(answer), func() error { return nil })
		require.NoError(t, err)
		require.Equal(t, changes, whole)
	}
}
