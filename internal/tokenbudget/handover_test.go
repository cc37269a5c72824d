package tokenbudget_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/tokenbudget"
	"ibisline/internal/tokenbudget/ledger"
)

// Guards against a gateway in a planned stop taking a shard over again, because others that do
// not know yet that it is leaving send it the requests that it redirects.
func TestStoppingGatewayDoesNotBecomeHomeAgain(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		require.NoError(t, f.turn(f.gateways[0].daemon, "p", 35, time.Millisecond))
		// The home stores what the turn has used, so that the next one charges no more.
		time.Sleep(time.Second)
		stopping := f.gateways[f.homeOf("p")]
		var others []*gatewayNode
		var names []string
		for _, g := range f.gateways {
			if g != stopping {
				others = append(others, g)
				names = append(names, g.Self().Name)
			}
		}
		for _, k := range f.keepers {
			names = append(names, k.name)
		}
		stopping.SetLive(names...)
		f.setStopping(stopping.Self().Name, true)
		for _, g := range others {
			// The handover is lost, so that the successor has to take the shard over itself.
			f.network.Cut(stopping.Self().Name, g.Self().Name, true)
		}
		go stopping.home.HandOver(context.Background())
		time.Sleep(time.Millisecond)
		for _, g := range others {
			f.network.Cut(stopping.Self().Name, g.Self().Name, false)
		}
		for i := range 20 {
			_ = f.turn(others[i%2].daemon, "p", 35, time.Millisecond)
			require.False(t, stopping.home.Holds("p"), "the stopping gateway is the home again")
			time.Sleep(50 * time.Millisecond)
		}
		require.NoError(t, f.turn(others[0].daemon, "p", 35, time.Millisecond))
		time.Sleep(3 * time.Second)
	})
}

// Guards against callers' requests overtaking a handover: the successor took the shard over
// from the checkpoint, with estimated totals, because the state of its predecessor was still
// on its way.
func TestSuccessorWaitsForHandedOverTotals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetOf(t, 1, 3, 3)
		defer f.close()
		const programs = 200
		for i := range programs {
			require.NoError(t, f.turn(f.gateways[i%3].daemon, fmt.Sprint("p", i), maxTurnTokens/2, 0))
		}
		time.Sleep(2 * time.Second)
		stopping := f.gateways[f.homeOf("p0")]
		// At this bandwidth the state takes about 100 ms.
		f.network.SetBandwidth(100_000)
		var waiting sync.WaitGroup
		for _, g := range f.gateways {
			if g != stopping {
				waiting.Go(func() {
					time.Sleep(5 * time.Millisecond)
					require.NoError(t, f.turn(g.daemon, "p0", 35, time.Millisecond))
				})
			}
		}
		stopping.leave()
		waiting.Wait()
		time.Sleep(time.Second)
		for _, shard := range f.gateways[f.homeOf("p0")].home.Dump().([]tokenbudget.ShardState) {
			for _, usage := range shard.Usages {
				require.False(t, usage.MissesTurn, "the total of %s is not exact", usage.Program)
			}
		}
	})
}

// Guards against a turn that ends during a planned stop staying charged with all tokens that it
// had reserved: its release went to the former home.
func TestReleaseAfterHandoverReachesNextHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetOf(t, 1, 3, 3)
		defer f.close()
		require.NoError(t, f.turn(f.gateways[0].daemon, "first", 35, time.Millisecond))
		stopping := f.gateways[f.homeOf("first")]
		caller := f.gateways[(f.homeOf("first")+1)%3]
		grant, err := caller.client.Reserve(t.Context(), ledger.Reservation{
			Program: "p", ID: "1", Budget: budgetTokens, Tokens: maxTurnTokens, Lifetime: lifetime,
		})
		require.NoError(t, err)
		require.NoError(t, grant.Confirm(t.Context()))
		f.setStopping(stopping.Self().Name, true)
		stopping.home.HandOver(t.Context())
		grant.Release(35)
		time.Sleep(time.Second)
		for _, shard := range f.gateways[f.homeOf("p")].home.Dump().([]tokenbudget.ShardState) {
			for _, usage := range shard.Usages {
				require.Equal(t, 35, usage.Total, usage.Program)
			}
		}
	})
}

// Guards against a handover that is lost because the next home is in a planned stop too, which
// the leaving home does not know yet.
func TestHandoverPassesOverLeavingDaemon(t *testing.T) {
	for first := range 2 {
		synctest.Test(t, func(t *testing.T) {
			f := newFleetOf(t, 1, 3, 3)
			defer f.close()
			require.NoError(t, f.turn(f.gateways[0].daemon, "p", 35, time.Millisecond))
			home := f.homeOf("p")
			leaving, next := f.gateways[(home+1+first)%3], f.gateways[(home+2-first)%3]
			leaving.home.HandOver(t.Context())
			f.gateways[home].home.HandOver(t.Context())
			require.False(t, leaving.home.Holds("p"), "a leaving daemon has taken the shard over")
			require.True(t, next.home.Holds("p"), "the next daemon has not taken the shard over")
		})
	}
}

// Guards against a turn that is handed over before its home has stored anything, and that no
// later home ever grants: the size of the largest turn was not handed over, so that the new
// home did not know that it had to be stored.
func TestTurnHandedOverBeforeFirstWriteIsGranted(t *testing.T) {
	for after := time.Duration(0); after < 60*time.Millisecond; after += 2 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			f := newFleetOf(t, 1, 3, 3)
			defer f.close()
			for f.homeOf("p") < 0 {
				time.Sleep(time.Millisecond)
			}
			home := f.gateways[f.homeOf("p")]
			time.Sleep(50 * time.Millisecond)
			turn := make(chan error, 1)
			started := time.Now()
			go func() { turn <- f.turn(home.daemon, "p", maxTurnTokens, 0) }()
			time.Sleep(after)
			f.setStopping(home.Self().Name, true)
			for _, g := range f.gateways {
				g.SetLive(f.liveWithout(home.Self().Name)...)
			}
			home.home.HandOver(context.Background())
			require.NoError(t, <-turn, "handed over after %v", after)
			require.Less(t, time.Since(started), decisionLimit)
			time.Sleep(releaseTime)
		})
	}
}
