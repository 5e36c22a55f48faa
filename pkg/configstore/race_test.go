package configstore

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/platform"
	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/standin"
)

// Guards against a patch that is lost or applied twice when two operators race
// over HTTP while the store loses answers.
func TestOperatorsRaceOverHTTP(t *testing.T) {
	_, server := seeded(t)
	require.NoError(t, server.Start("127.0.0.1:0"))
	defer server.Close()
	address := server.Address()
	accepted := make([]map[string]uint64, 2)
	var group sync.WaitGroup
	for operator := range accepted {
		client := platform.NewClient(platform.ClientConfig{TableAddress: address, ObjectsAddress: address,
			ListAddress: address, ReadsPerSecond: 1e6, WritesPerSecond: 1e6})
		s := New(client, client.Objects(), time.Now)
		accepted[operator] = make(map[string]uint64)
		group.Go(func() {
			for i := range 8 {
				id := fmt.Sprintf("o%d-%d", operator, i)
				accepted[operator][id] = acceptWithRebase(t, s, id, 2000+100*operator+i)
			}
		})
	}
	for _, mode := range []standin.PlatformMode{standin.PlatformLoseAnswers, standin.PlatformNormal, standin.PlatformLoseAnswers, standin.PlatformNormal} {
		server.SetFaults(standin.PlatformFaults{Mode: mode})
		time.Sleep(50 * time.Millisecond)
	}
	group.Wait()
	s := newStore(server.Direct(), server.Direct().Objects())
	versions, err := s.History(context.Background(), 0, 100)
	require.NoError(t, err)
	require.Len(t, versions, 17)
	for _, v := range versions[:16] {
		number := accepted[0][v.PatchID] + accepted[1][v.PatchID]
		require.Equal(t, v.Number, number, "patch %s", v.PatchID)
	}
}

// acceptWithRebase submits a patch as an operator does: a conflict is rebased
// under the same id, and every other failure is repeated unchanged.
func acceptWithRebase(t *testing.T, s *Store, id string, ttl int) uint64 {
	base := uint64(1)
	for range 100 {
		got, err := s.Accept(context.Background(), ttlPatch(base, id, ttl))
		switch result.CodeOf(err) {
		case result.OK:
			return got.Version.Number
		case result.VersionConflict:
			base = max(base, got.Version.Number)
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Errorf("patch %s was never accepted", id)
	return 0
}
