package requestid

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/request"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// Guards against a delayed first submission that runs after its resend was
// answered "not run" and the caller has repeated the request under a new
// identifier.
func TestNotRunIsFinalForAnIdentifier(t *testing.T) {
	now := time.Unix(0, 0)
	table := New("entry-1", 1, make([]byte, 32), DefaultLimits, func() time.Time { return now })
	req := &request.Request{ID: table.Issue("ledger"), Service: "ledger", Method: "POST", Path: "/deposit"}
	runs := 0
	refuse := func() (*request.Response, error) {
		return nil, result.New(result.QueueFull, "full")
	}
	run := func() (*request.Response, error) {
		runs++
		return &request.Response{Status: 200}, nil
	}
	_, err := table.Do(context.Background(), req, refuse)
	require.Equal(t, result.QueueFull, result.CodeOf(err))
	_, err = table.Do(context.Background(), req, run)
	require.Equal(t, result.QueueFull, result.CodeOf(err), "a resend gets the recorded outcome")
	require.Zero(t, runs)
}
