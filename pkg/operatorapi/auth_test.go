package operatorapi

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// Guards against one operator overloading the API or consuming the rate limit of
// another.
func TestOperatorRateLimit(t *testing.T) {
	now := time.Unix(0, 0)
	a := newAuthorizer(map[string]string{"ana": "a-token-of-some-length", "bo": "another-token-of-length"}, 2, func() time.Time { return now })
	allowed := 0
	for range 10 {
		if _, err := a.authorize("Bearer a-token-of-some-length"); err == nil {
			allowed++
		} else {
			require.Equal(t, result.RateLimited, result.CodeOf(err))
		}
	}
	require.Equal(t, 2, allowed)
	name, err := a.authorize("Bearer another-token-of-length")
	require.NoError(t, err)
	require.Equal(t, "bo", name)
	now = now.Add(time.Second)
	_, err = a.authorize("Bearer a-token-of-some-length")
	require.NoError(t, err)
}
