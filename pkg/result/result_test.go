package result

import (
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

// Guards against the loss of the result code when an error is annotated.
func TestAnnotatedErrorKeepsCode(t *testing.T) {
	err := errors.Annotate(New(RegionLimit, "pool %s", "a"), "forwarding")
	require.Equal(t, RegionLimit, CodeOf(err))
	require.Equal(t, NotRun, OutcomeOf(err))
	require.Equal(t, "pool a", Detail(err))
	require.Equal(t, Unknown, OutcomeOf(errors.New("plain")), "an error without a code must not report that the request was not executed")
}
