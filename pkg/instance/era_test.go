package instance

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/catalog"
	"github.com/sequoiacove/sequoiacove/pkg/configstore"
	"github.com/sequoiacove/sequoiacove/pkg/table/tabletest"
)

// returnStore tells the instance that the store has come back from an older copy.
func returnStore(t *testing.T, inst *testInstance) {
	t.Helper()
	directives, upstreams := inst.catalog.Revisions()
	directives.Era, upstreams.Era = 1, 1
	tables := catalog.Snapshot{Directives: catalog.Listing{Revision: directives}, Upstreams: catalog.Listing{Revision: upstreams}}
	require.NoError(t, inst.catalog.Merge(tables, "peer", inst.opt.Now()))
}

// Guards against a store that keeps an older description than the instances after it has come
// back from an older copy.
func TestInstanceWritesLostVersionsBack(t *testing.T) {
	env := newTestEnv(t)
	table := tabletest.New()
	env.versions = configstore.New(table, table.Objects(), time.Now)
	inst := env.start("i1")
	env.awaitReady(inst, 0)
	env.patch(inst, 0, descriptionJSON(1, ""))
	older := table.Copy()
	env.patch(inst, 1, descriptionJSON(1, `"drained_upstreams": ["ub"],`))

	table.Restore(older)
	returnStore(t, inst)
	require.Eventually(t, func() bool {
		head, err := env.versions.Head(context.Background())
		return err == nil && head.Number == 2
	}, testTimeout, 5*time.Millisecond)
	require.Eventually(t, func() bool { return strings.Contains(inst.log.String(), `"event":213`) }, testTimeout, time.Millisecond)
}

// Guards against a peer that learns a version without the records of the versions before.
func TestPeerLearnsTheRecordsOfEarlierVersions(t *testing.T) {
	env := newTestEnv(t)
	env.startUpstreamIn("ua", "n-a")
	peer := env.start("i1")
	env.awaitReady(peer, 1)
	env.patch(peer, 0, descriptionJSON(1, ""))
	env.patch(peer, 1, descriptionJSON(1, `"drained_upstreams": ["ub"],`))
	table := tabletest.New()
	env.versions = configstore.New(table, table.Objects(), time.Now)
	inst := env.startPaused("i2", peer)
	require.EqualValues(t, 2, inst.policy.Current().Number)
	require.Equal(t, peer.versions.Earlier(2), inst.versions.Earlier(2))
	require.Len(t, inst.versions.Earlier(2), 1)
}
