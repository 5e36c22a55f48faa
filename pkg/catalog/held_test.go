package catalog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/steering"
)

// Guards against a flap to the configuration of the older copy, and against a store that stays
// old and is never followed.
func TestConfigurationOfTheOlderCopyIsHeldBack(t *testing.T) {
	c, k := newCatalog()
	c.replace(Directives, k.proven(listingIn(1, 100, "config", "20")), storeSource)
	returnedAt := k.Now()
	c.replace(Directives, k.proven(listingIn(2, 90, "config", "18")), storeSource)
	require.EqualValues(t, 20, c.View().Config.Version)
	c.update(Directives, k.proven(changeIn(2, 91, "config", "19")), storeSource)
	require.EqualValues(t, 20, c.View().Config.Version, "the operator writes the versions again one by one")
	k.expireAt(c, returnedAt, rewriteTimeout-time.Millisecond)
	require.EqualValues(t, 20, c.View().Config.Version)
	k.expireAt(c, returnedAt, rewriteTimeout)
	require.EqualValues(t, 19, c.View().Config.Version, "the store has stayed old")
}

// Guards against an older configuration in force after the operator has written the newest
// again.
func TestConfigurationWrittenAgainIsKept(t *testing.T) {
	c, k := newCatalog()
	c.replace(Directives, k.proven(listingIn(1, 100, "config", "20")), storeSource)
	returnedAt := k.Now()
	c.replace(Directives, k.proven(listingIn(2, 90, "config", "18")), storeSource)
	c.update(Directives, k.proven(changeIn(2, 91, "config", "20")), storeSource)
	k.expireAt(c, returnedAt, 2*rewriteTimeout)
	require.EqualValues(t, 20, c.View().Config.Version)
}

// Guards against evacuations that end, or begin again, because the copy is older than the
// operator's newest write.
func TestEvacuationsOfTheOlderCopyAreHeldBack(t *testing.T) {
	c, k := newCatalog()
	c.replace(Directives, k.proven(listingIn(1, 3, "config", "1", "evacuate/ended", "{}", "evacuate/kept", "{}")), storeSource)
	c.update(Directives, k.proven(changeIn(1, 4, "evacuate/ended", "")), storeSource)
	c.update(Directives, k.proven(changeIn(1, 5, "evacuate/begun", "{}")), storeSource)
	endedAt := c.View().EvacuationEnds["ended"]
	returnedAt := k.Now()
	c.replace(Directives, k.proven(listingIn(2, 3, "config", "1", "evacuate/ended", "{}", "evacuate/kept", "{}")), storeSource)
	require.Equal(t, map[string]bool{"kept": true, "begun": true}, c.View().EvacuatedDomains)
	require.Equal(t, endedAt, c.View().EvacuationEnds["ended"])

	c.update(Directives, k.proven(changeIn(2, 4, "evacuate/ended", "")), storeSource)
	k.expireAt(c, returnedAt, rewriteTimeout)
	require.Equal(t, map[string]bool{"kept": true}, c.View().EvacuatedDomains, "one was withdrawn again, the other not begun again")
	c.update(Directives, k.proven(changeIn(2, 5, "evacuate/ended", "{}")), storeSource)
	require.Contains(t, c.View().EvacuatedDomains, "ended", "an evacuation of the new era")
}

// Guards against requests to an upstream that has left, because the copy still has its
// registration, and against one that is never used again although it runs.
func TestRegistrationsOfTheOlderCopyAreHeldBack(t *testing.T) {
	c, k := newCatalog()
	l := listingIn(1, 4, "left", "a,ready,5,1", "restarted", "a,ready,5,1", "leaving", "a,ready,5,1", "back", "a,ready,5,1")
	c.replace(Upstreams, k.proven(l), storeSource)
	c.update(Upstreams, k.proven(changeIn(1, 5, "left", "")), storeSource)
	c.update(Upstreams, k.proven(changeIn(1, 6, "restarted", "a,ready,9,1")), storeSource)
	c.update(Upstreams, k.proven(changeIn(1, 7, "leaving", "a,draining,5,2")), storeSource)
	c.update(Upstreams, k.proven(changeIn(1, 8, "back", "")), storeSource)
	returnedAt := k.Now()
	l = listingIn(2, 4, "left", "a,ready,5,1", "restarted", "a,ready,5,1", "leaving", "a,ready,5,1", "back", "a,ready,5,1")
	c.replace(Upstreams, k.proven(l), storeSource)
	v := c.View()
	require.NotContains(t, v.Upstreams, "left")
	require.EqualValues(t, 9, v.Upstreams["restarted"].StartUnixMS)
	require.Equal(t, steering.Draining, v.Upstreams["leaving"].State)

	c.update(Upstreams, k.proven(changeIn(2, 5, "left", "")), storeSource)
	c.update(Upstreams, k.proven(changeIn(2, 6, "back", "a,ready,5,3")), storeSource)
	require.Contains(t, c.View().Upstreams, "back", "it has registered again")
	k.expireAt(c, returnedAt, rewriteTimeout)
	require.NotContains(t, c.View().Upstreams, "left", "its registration was removed again")
}

// Guards against upstreams that lose their place because the copy lacks their registrations,
// and against ones that are gone and stay in use.
func TestRegistrationsThatTheOlderCopyLacks(t *testing.T) {
	c, k := newCatalog()
	c.replace(Upstreams, k.proven(listingIn(1, 9, "u", "a,ready", "v", "a,ready", "w", "a,ready")), storeSource)
	returnedAt := k.Now()
	c.replace(Upstreams, k.proven(listingIn(2, 1, "u", "a,ready")), storeSource)
	require.Len(t, c.View().Upstreams, 3)
	k.advance(time.Second)
	c.replace(Upstreams, k.proven(listingIn(3, 1, "u", "a,ready")), storeSource)
	k.expireAt(c, returnedAt, outageGracePeriod+500*time.Millisecond)
	require.Len(t, c.View().Upstreams, 3, "a second return extends the grace period")
	c.update(Upstreams, k.proven(changeIn(3, 2, "v", "a,ready")), storeSource)
	k.expireAt(c, returnedAt, time.Second+outageGracePeriod+time.Millisecond)
	require.Contains(t, c.View().Upstreams, "v")
	require.NotContains(t, c.View().Upstreams, "w")
}

// Guards against rows that are held back without end, because gaps between the proofs of a
// table count as outages of the store.
func TestHoldEndsDespiteGapsBetweenProofs(t *testing.T) {
	c, k := newCatalog()
	c.replace(Directives, k.proven(listingIn(1, 100, "config", "20")), storeSource)
	c.update(Directives, k.proven(changeIn(1, 101, "evacuate/a", "{}")), storeSource)
	c.replace(Directives, k.proven(listingIn(2, 90, "config", "18")), storeSource)
	for range 2 {
		require.EqualValues(t, 20, c.View().Config.Version)
		k.expireAt(c, k.Now(), 6*time.Second)
		k.advance(2 * minOutage)
		c.ExpireGracePeriods()
	}
	require.EqualValues(t, 18, c.View().Config.Version)
	require.Empty(t, c.View().EvacuatedDomains)
}

// Guards against a configuration that is given up because the time in which the store could
// not be reached counts as time to write it again.
func TestHoldLastsThroughAnOutage(t *testing.T) {
	c, k := newCatalog()
	c.replace(Directives, k.proven(listingIn(1, 100, "config", "20")), storeSource)
	c.replace(Directives, k.proven(listingIn(2, 90, "config", "18")), storeSource)
	for range 100 {
		k.advance(500 * time.Millisecond)
		c.ExpireGracePeriods()
	}
	k.expireAt(c, k.Now(), time.Second)
	require.EqualValues(t, 20, c.View().Config.Version)
}

// Guards against an evacuation that takes effect too late, because it was begun again under the
// number that the withdrawn one had.
func TestEvacuationBegunAgainUnderTheSameNumber(t *testing.T) {
	c, k := newCatalog()
	c.replace(Directives, k.proven(listingIn(1, 3, "config", "1")), storeSource)
	c.update(Directives, k.proven(changeIn(1, 4, "evacuate/a", "{}")), storeSource)
	c.update(Directives, k.proven(changeIn(1, 5, "evacuate/a", "")), storeSource)
	returnedAt := k.Now()
	l := listingIn(2, 4, "config", "1")
	l.Rows = append(l.Rows, changeIn(2, 4, "evacuate/a", "{}").Rows...)
	c.replace(Directives, k.proven(l), storeSource)
	k.expireAt(c, returnedAt, evacuationTimeout)
	require.Contains(t, c.View().EvacuatedDomains, "a")
}

// Guards against upstreams that count as cold because an evacuation that was held back is
// withdrawn once more.
func TestWithdrawingAHeldEvacuationIsNoSecondEnd(t *testing.T) {
	c, k := newCatalog()
	c.replace(Directives, k.proven(listingIn(1, 3, "config", "1", "evacuate/a", "{}")), storeSource)
	c.update(Directives, k.proven(changeIn(1, 4, "evacuate/a", "")), storeSource)
	ended := c.View().EvacuationEnds["a"]
	c.replace(Directives, k.proven(listingIn(2, 3, "config", "1", "evacuate/a", "{}")), storeSource)
	c.update(Directives, k.proven(changeIn(2, 4, "evacuate/a", "")), storeSource)
	require.Equal(t, ended, c.View().EvacuationEnds["a"])
}

// Guards against an upstream that is in use again beyond its bound, because the copy has its
// registration while its grace period runs.
func TestLapsedUpstreamIsNotPutBackByTheCopy(t *testing.T) {
	c, k := newCatalog()
	rows := []string{"u", "a,ready,5,1", "v", "a,ready,5,1", "w", "a,ready,5,1", "x", "a,ready,5,1"}
	c.replace(Upstreams, k.proven(listingIn(1, 9, rows...)), storeSource)
	removedAt := k.Now()
	l := k.proven(Listing{Revision: in(1, 12)})
	for n, key := range []string{"u", "v", "w"} {
		l.Rows = append(l.Rows, Row{Key: key, Revision: in(1, int64(10+n)), Deleted: true})
	}
	c.update(Upstreams, l, storeSource)
	k.advance(time.Second)
	c.replace(Upstreams, k.proven(listingIn(2, 9, rows...)), storeSource)
	k.expireAt(c, removedAt, outageGracePeriod)
	require.NotContains(t, c.View().Upstreams, "u")
}

// Guards against returns of the store that extend the grace period of an upstream whose
// removal was seen.
func TestReturnsDontExtendTheGracePeriodOfARemoval(t *testing.T) {
	c, k := newCatalog()
	c.replace(Upstreams, k.proven(listingIn(1, 9, "u", "a,ready,5,1", "x", "a,ready,5,1")), storeSource)
	c.replace(Upstreams, k.proven(listingIn(2, 9, "u", "a,ready,5,1", "x", "a,ready,5,1")), storeSource)
	c.update(Upstreams, k.proven(changeIn(2, 10, "u", "")), storeSource)
	for era := int64(3); era < 6; era++ {
		k.expireAt(c, k.Now(), time.Second)
		c.replace(Upstreams, k.proven(listingIn(era, 10, "x", "a,ready,5,1")), storeSource)
	}
	require.NotContains(t, c.View().Upstreams, "u")
}

// Guards against an upstream that runs and stays unused, because its heartbeats don't change
// the registration that the copy has.
func TestRunningUpstreamOfTheCopyIsUsed(t *testing.T) {
	c, k := newCatalog()
	c.replace(Upstreams, k.proven(listingIn(1, 9, "u", "a,ready,5,1", "v", "a,ready,5,1")), storeSource)
	c.update(Upstreams, k.proven(changeIn(1, 10, "u", "")), storeSource)
	require.NotContains(t, c.View().Upstreams, "u")
	returnedAt := k.Now()
	c.replace(Upstreams, k.proven(listingIn(2, 9, "u", "a,ready,5,1", "v", "a,ready,5,1")), storeSource)
	k.expireAt(c, returnedAt, removalTimeout)
	require.Contains(t, c.View().Upstreams, "u")
}
