package tokenbudget_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/tokenbudget"
)

// loseDisks restarts keepers with empty disks at the same moment.
func (f *fleet) loseDisks(keepers ...*keeperNode) {
	for _, k := range keepers {
		k.crash()
		k.disk.Wipe()
	}
	for _, k := range keepers {
		k.start()
	}
	f.publishLive()
}

// keepersNear returns the keepers in the region of a gateway.
func (f *fleet) keepersNear(g *gatewayNode) []*keeperNode {
	var near []*keeperNode
	for _, k := range f.keepers {
		if dataCentre(k.location) == g.Self().Region {
			near = append(near, k)
		}
	}
	return near
}

// requireDecisionsFor runs turns of new programs for a while, after a time in which they may be
// refused.
func requireDecisionsFor(t *testing.T, f *fleet, after, length time.Duration) {
	time.Sleep(after)
	g := f.servingNode().daemon
	for started, i := time.Now(), 0; time.Since(started) < length; i++ {
		require.NoError(t, f.turn(g, fmt.Sprint("later-", i), 35, 0))
		require.NoError(t, f.turn(g, "p", 1, 0))
		time.Sleep(50 * time.Millisecond)
	}
}

// repairLimit is the time within which a home that has lost journals has to decide again.
const repairLimit = 1500 * time.Millisecond

// Guards against a home that decides nothing any more because two of the nearest journals have
// lost their disks: they acknowledged its complete replica, but not for the set that the
// checkpoint lists, and no further journal got it.
func TestHomeDecidesAfterNearJournalsLoseTheirDisks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetOf(t, 1, 4, 9)
		defer f.close()
		require.NoError(t, f.turn(f.gateways[0].daemon, "p", 35, 0))
		time.Sleep(time.Second)
		near := f.keepersNear(f.gateways[f.homeOf("p")])
		require.Len(t, near, 3)
		f.loseDisks(near[0], near[1])
		requireDecisionsFor(t, f, repairLimit, 2*time.Second)
		require.Empty(t, f.overrun())
	})
}

// Guards against a home that decides nothing any more because the set of journals that the
// checkpoint lists has lost its quorum, although the home has all totals and can list other
// journals.
func TestHomeListsOtherJournalsAfterQuorumIsLost(t *testing.T) {
	for _, removed := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleetOf(t, 1, 4, 5)
			defer f.close()
			require.NoError(t, f.turn(f.gateways[0].daemon, "p", 35, 0))
			time.Sleep(time.Second)
			if removed {
				f.keepers[4].crash()
			}
			f.loseDisks(f.keepers[0], f.keepers[1], f.keepers[2], f.keepers[3])
			requireDecisionsFor(t, f, repairLimit, 2*time.Second)
			f.gateways[f.homeOf("p")].crash()
			f.publishLive()
			requireHomeWithin(t, f, f.servingNode(), takeoverLimit)
			require.Empty(t, f.overrun())
		})
	}
}

// Guards against a home that stores nothing, for whatever cause, and keeps its shard because the
// journals answer its queries and it answers those of other daemons.
func TestHomeThatStoresNothingGivesItsShardUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetOf(t, 1, 4, 5)
		defer f.close()
		require.NoError(t, f.turn(f.gateways[0].daemon, "p", maxTurnTokens, 0))
		time.Sleep(time.Second)
		home := f.homeOf("p")
		for _, k := range f.keepers {
			k.disk.SetDelay(tokenbudget.DefaultJournalWriteTimeout + 50*time.Millisecond)
		}
		_ = f.turn(f.gateways[home].daemon, "p", maxTurnTokens, 0)
		for failingAt := time.Now(); f.homeOf("p") == home; time.Sleep(50 * time.Millisecond) {
			require.Less(t, time.Since(failingAt), tokenbudget.DefaultStallLimit+time.Second)
		}
		for _, k := range f.keepers {
			k.disk.SetDelay(0)
		}
		requireDecisionsFor(t, f, repairLimit, time.Second)
		require.Empty(t, f.overrun())
	})
}

// Guards against shards that no daemon can take over because a keeper that is being emptied is not
// asked, although it is up and listed, while another keeper has lost its disk. The keeper must be
// dropped from the checkpoint once there are enough others, so that its retirement ends.
func TestShardIsTakenOverDuringRetirementAndDiskLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetOf(t, 1, 4, 3)
		defer f.close()
		require.NoError(t, f.turn(f.gateways[0].daemon, "p", 35, 0))
		time.Sleep(time.Second)
		retiring, lost := f.keepers[0], f.keepers[1]
		f.setLeaving(retiring.name)
		lost.crash()
		lost.disk.Wipe()
		f.gateways[f.homeOf("p")].crash()
		f.publishLive()
		requireHomeWithin(t, f, f.servingNode(), takeoverLimit)
		lost.start()
		f.publishLive()
		requireDecisionsFor(t, f, repairLimit, time.Second)
		objects, _, err := f.store.List(t.Context(), tokenbudget.CheckpointPrefix)
		require.NoError(t, err)
		listed, err := tokenbudget.ListsJournal(objects, retiring.name, retiring.id)
		require.NoError(t, err)
		require.False(t, listed, "the retirement cannot end")
		require.Empty(t, f.overrun())
	})
}

// servingNode returns a gateway that is up.
func (f *fleet) servingNode() *gatewayNode {
	for _, g := range f.gateways {
		if g.up {
			return g
		}
	}
	return nil
}
