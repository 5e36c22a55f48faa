package instance

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/catalog"
	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/description"
	"github.com/sequoiacove/sequoiacove/pkg/transfer"
)

// largeVersion returns a version of a large description.
func largeVersion(number int) cluster.Version {
	body := func(number int) []byte {
		var b bytes.Buffer
		fmt.Fprintf(&b, "version %d", number)
		for n := range 2000 {
			fmt.Fprintf(&b, ", part %d of %d", n*7919%10007, n%13)
		}
		return b.Bytes()
	}
	return cluster.Version{Number: uint64(number), Hash: description.Hash(body(number)), Body: body(number), PreviousBody: body(number - 1)}
}

// Guards against patches that cost the size of the description between instances.
func TestPeerGetsTheDifferenceOfALargeDescription(t *testing.T) {
	var d transfer.DiffCache
	current, next := largeVersion(4), largeVersion(5)
	stated := versionFor(next, current.Hash, &d)
	require.Less(t, len(stated.Body)+len(stated.PreviousBody), 200)
	got, err := restoreVersion(stated, current)
	require.NoError(t, err)
	require.Equal(t, next, got)
}

// Guards against a description that is restored from another one than its difference is
// made for.
func TestDescriptionWhoseDifferenceDoesNotFitIsFetchedWhole(t *testing.T) {
	var d transfer.DiffCache
	next := largeVersion(5)
	require.Equal(t, next, versionFor(next, largeVersion(3).Hash, &d), "the peer has another version")
	require.Equal(t, next, versionFor(next, "", &d), "an older release")
	stated := versionFor(next, largeVersion(4).Hash, &d)
	_, err := restoreVersion(stated, largeVersion(3))
	require.ErrorIs(t, err, catalog.ErrDifference)
	stated.Body = stated.Body[1:]
	_, err = restoreVersion(stated, largeVersion(4))
	require.ErrorIs(t, err, catalog.ErrDifference)
}
