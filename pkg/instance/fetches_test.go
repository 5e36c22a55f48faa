package instance

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newTestFetches returns fetches with a clock that the test advances.
func newTestFetches() (*fetches, func(time.Duration)) {
	now := time.Unix(100, 0)
	return newFetches(func() time.Time { return now }), func(d time.Duration) { now = now.Add(d) }
}

// Guards against two transfers of the same state that share a small link.
func TestNoSecondFetchWhileTheFirstMakesProgress(t *testing.T) {
	f, advance := newTestFetches()
	require.True(t, f.begin("a"))
	for range 10 {
		advance(noProgressTime - 1)
		f.advance("a")
		require.False(t, f.begin("b"))
	}
	f.end("a", nil)
	require.True(t, f.begin("b"))
}

// Guards against a peer that hangs and keeps the instance from asking another one.
func TestSecondFetchWhileTheFirstHangs(t *testing.T) {
	f, advance := newTestFetches()
	require.True(t, f.begin("a"))
	advance(noProgressTime)
	require.False(t, f.begin("a"), "the same peer")
	require.True(t, f.begin("b"))
	advance(noProgressTime)
	require.False(t, f.begin("c"), "more than maxFetches")
}

// Guards against a peer that fails and is asked again without a pause.
func TestFailedPeerIsNotAskedAtOnce(t *testing.T) {
	f, advance := newTestFetches()
	for _, backoff := range []time.Duration{minFetchBackoff, 2 * minFetchBackoff, 4 * minFetchBackoff, maxFetchBackoff, maxFetchBackoff} {
		require.True(t, f.begin("a"))
		f.end("a", errors.New("failed"))
		advance(backoff - 1)
		require.False(t, f.begin("a"))
		require.True(t, f.begin("b"))
		f.end("b", nil)
		advance(1)
	}
	require.True(t, f.begin("a"))
	f.end("a", nil)
	require.True(t, f.begin("a"), "an answer ends the backoff")
}
