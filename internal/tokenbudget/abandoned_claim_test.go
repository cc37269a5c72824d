package tokenbudget_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/fake/objects"
)

// takeoverLimit is the longest time from the loss of a home during an outage of the platform
// until another one decides: callers give up after several attempts of about this length.
const takeoverLimit = 1500 * time.Millisecond

// loseHomeInOutage starts a fleet, runs a turn, and lets the platform and the home of the shard
// fail at the same time. It returns the gateways that are left.
func loseHomeInOutage(t *testing.T) (*fleet, []*gatewayNode) {
	f := newFleetOf(t, 1, 4, 5)
	require.NoError(t, f.turn(f.gateways[0].daemon, "p", maxTurnTokens/2, time.Millisecond))
	time.Sleep(time.Second)
	home := f.homeOf("p")
	f.store.SetFaults(objects.Faults{Outage: true})
	f.gateways[home].crash()
	f.publishLive()
	var left []*gatewayNode
	for i := range f.gateways {
		if i != home {
			left = append(left, f.gateways[i])
		}
	}
	return f, left
}

// requireHomeWithin runs turns through a gateway until one is granted.
func requireHomeWithin(t *testing.T, f *fleet, g *gatewayNode, limit time.Duration) {
	started := time.Now()
	for f.turn(g.daemon, "p", maxTurnTokens/4, 0) != nil {
		require.Less(t, time.Since(started), limit, "no home decides")
	}
}

// Guards against a daemon that fences some journals, finds that they are too few, and thereby
// leaves the shard without a home until the platform is back: its fence held no replica.
func TestClaimOnTooFewJournalsLeavesShardToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, left := loseHomeInOutage(t)
		defer f.close()
		claimant, other := left[0], left[1]
		claimant.SetLive(claimant.Self().Name, f.keepers[0].name)
		require.Error(t, f.turn(claimant.daemon, "p", 35, 0), "one journal of five is too few")
		f.publishLive()
		claimant.crash()
		f.publishLive()
		requireHomeWithin(t, f, other, takeoverLimit)
		f.store.SetFaults(objects.Faults{})
		time.Sleep(2 * time.Second)
		require.Empty(t, f.overrun())
	})
}

// Guards against a daemon that is lost during its takeover and leaves journals that it has
// fenced, or written its replica to, which no later home can start from.
func TestClaimantLostAtAnyMomentLeavesShardToOthers(t *testing.T) {
	for after := time.Duration(0); after < time.Second; after += 15 * time.Millisecond {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, left := loseHomeInOutage(t)
				defer f.close()
				claimant, other := left[0], left[1]
				turn := make(chan error, 1)
				go func() { turn <- f.turn(claimant.daemon, "p", 35, 0) }()
				time.Sleep(after)
				claimant.crash()
				f.publishLive()
				requireHomeWithin(t, f, other, takeoverLimit)
				<-turn
				f.store.SetFaults(objects.Faults{})
				time.Sleep(2 * time.Second)
				require.Empty(t, f.overrun())
			})
		})
	}
}

// Guards against a daemon that fences journals of different speed, judges by those that answer
// first that it cannot start, and leaves the shard to daemons that fail in the same way.
func TestTakeoverFromJournalsWaitsForSlowOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, left := loseHomeInOutage(t)
		defer f.close()
		for _, k := range f.keepers[1:] {
			k.disk.SetDelay(slowSync)
		}
		requireHomeWithin(t, f, left[0], takeoverLimit)
		for _, k := range f.keepers {
			k.disk.SetDelay(0)
		}
		f.store.SetFaults(objects.Faults{})
		time.Sleep(2 * time.Second)
		require.Empty(t, f.overrun())
	})
}

// slowSync is the duration of a disk sync on a busy instance.
const slowSync = 100 * time.Millisecond
