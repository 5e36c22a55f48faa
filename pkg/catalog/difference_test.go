package catalog

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// largeConfig returns the value of a large configuration row. The decoder of the tests
// reads the version up to the first comma.
func largeConfig(version int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "%d,", version)
	for n := range 2000 {
		fmt.Fprintf(&b, "route %d to service %d,", n*7919%10007, n%13)
	}
	return []byte(b.String())
}

// withConfigs returns a catalog to which the versions 1 to n of a large configuration came.
func withConfigs(n int) *Catalog {
	c, _ := newCatalog()
	for version := 1; version <= n; version++ {
		c.replace(Directives, Listing{Revision: at(int64(version)), Rows: []Row{{Key: "config", Value: largeConfig(version), Revision: at(int64(version))}}}, "store")
	}
	return c
}

// Guards against changes that cost the size of the configuration between instances.
func TestPeerGetsTheDifferenceOfALargeConfiguration(t *testing.T) {
	a, b := withConfigs(5), withConfigs(2)
	s := a.Snapshot(at(2), at(0), b.LargeRow())
	require.Len(t, s.Directives.Rows, 1)
	require.Equal(t, at(2), s.Directives.Rows[0].BaseRevision)
	require.Less(t, len(s.Directives.Rows[0].Value), 200)
	require.NoError(t, b.Merge(s, "a", b.opt.Now()))
	require.EqualValues(t, 5, b.View().Config.Version)
	require.Equal(t, a.tables[Directives].rows["config"].Value, b.tables[Directives].rows["config"].Value)
	s = b.Snapshot(at(2), at(0), RowRevision{Key: "config", Revision: at(2)})
	require.Equal(t, at(2), s.Directives.Rows[0].BaseRevision, "an instance that was served serves on")
}

// Guards against a configuration that is in force in part, or not at all, because a
// difference was applied to another version than it was made for.
func TestDifferenceThatDoesNotFitIsNotApplied(t *testing.T) {
	a := withConfigs(5)
	s := a.Snapshot(at(2), at(0), RowRevision{Key: "config", Revision: at(2)})
	other := withConfigs(3)
	require.ErrorIs(t, other.Merge(s, "a", other.opt.Now()), ErrDifference, "another base")
	require.EqualValues(t, 3, other.View().Config.Version)

	changed := withConfigs(1)
	value := bytes.Replace(largeConfig(2), []byte("service 7"), []byte("service 8"), 1)
	changed.replace(Directives, Listing{Revision: at(2), Rows: []Row{{Key: "config", Value: value, Revision: at(2)}}}, "store")
	require.ErrorIs(t, changed.Merge(s, "a", changed.opt.Now()), ErrDifference, "another value under the same revision")
	require.EqualValues(t, 2, changed.View().Config.Version)

	newer := withConfigs(6)
	require.NoError(t, newer.Merge(s, "a", newer.opt.Now()), "a newer version is in force already")
	require.EqualValues(t, 6, newer.View().Config.Version)
}

// Guards against peers that get nothing because the version that they have is forgotten, and
// against versions that are kept without bound.
func TestPeerThatLagsFarBehindGetsTheWholeConfiguration(t *testing.T) {
	a, b := withConfigs(maxBases+4), withConfigs(1)
	require.Len(t, a.bases.versions["config"], maxBases)
	s := a.Snapshot(at(1), at(0), b.LargeRow())
	require.Zero(t, s.Directives.Rows[0].BaseRevision)
	require.NoError(t, b.Merge(s, "a", b.opt.Now()))
	require.EqualValues(t, maxBases+4, b.View().Config.Version)
}

// Guards against rows that stay in a peer's table for good: a listing does not show the rows
// that were written and deleted since the one before.
func TestListingHidesDeletionsFromPeers(t *testing.T) {
	lister, k := newCatalog()
	lister.replace(Directives, k.proven(listingIn(0, 1, "config", "1")), storeSource)
	peer, _ := newCatalog()
	peer.replace(Directives, k.proven(listingIn(0, 2, "config", "1", "evacuate/a", "{}")), storeSource)
	lister.replace(Directives, k.proven(listingIn(0, 3, "config", "1")), storeSource)
	known, _ := peer.Revisions()
	require.NoError(t, peer.Merge(lister.Snapshot(known, at(0), RowRevision{}), "lister", k.Now()))
	require.Empty(t, peer.View().EvacuatedDomains)
}
