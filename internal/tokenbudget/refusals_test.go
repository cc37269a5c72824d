package tokenbudget_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/fake/objects"
	"ibisline/internal/verdict"
)

func TestTurnIsNotRunWithoutAnyHome(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		f.gateways[0].SetLive()
		err := f.turn(f.gateways[0].daemon, "p", 35, 0)
		require.True(t, verdict.HasReason(err, verdict.NotHome), "%v", err)
		require.True(t, verdict.Is(err, verdict.NotRun))
		require.Positive(t, verdict.From(err).RetryAfter)
	})
}

// A turn must not run while neither the checkpoint nor the journals can store its total.
func TestTurnIsNotRunWithoutDurableTotal(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		require.NoError(t, f.turn(f.gateways[0].daemon, "q", maxTurnTokens, time.Millisecond))
		f.store.SetFaults(objects.Faults{Outage: true})
		for _, k := range f.keepers {
			k.crash()
		}
		f.publishLive()
		started := time.Now()
		require.NoError(t, f.turn(f.gateways[0].daemon, "q", maxTurnTokens/2, 0), "one turn is granted ahead of the journals")
		err := f.turn(f.gateways[0].daemon, "q", 35, 0)
		require.True(t, verdict.HasReason(err, verdict.PeerLost), "%v", err)
		require.Less(t, time.Since(started), 2*time.Second)
		started = time.Now()
		err = f.turn(f.gateways[0].daemon, "p", 35, 0)
		require.True(t, verdict.HasReason(err, verdict.PeerLost), "%v", err)
		require.True(t, verdict.Is(err, verdict.NotRun))
		require.Positive(t, verdict.From(err).RetryAfter)
		require.Less(t, time.Since(started), 2*time.Second)
		for _, k := range f.keepers {
			k.start()
		}
		f.publishLive()
		time.Sleep(time.Second)
		require.NoError(t, f.turn(f.gateways[0].daemon, "p", 35, 0))
	})
}

// cutOff partitions a daemon from all others, or ends the partition.
func (f *fleet) cutOff(name string, on bool) {
	for _, g := range f.gateways {
		f.network.Cut(name, g.Self().Name, on)
		f.network.Cut(g.Self().Name, name, on)
	}
	for _, k := range f.keepers {
		f.network.Cut(name, k.name, on)
		f.network.Cut(k.name, name, on)
	}
}

// homeOf returns the index of the gateway that decides about a program.
func (f *fleet) homeOf(program string) int {
	for i, g := range f.gateways {
		if g.home.Holds(program) {
			return i
		}
	}
	return -1
}

// A home that was partitioned and replaced must grant nothing after it reconnects, even if
// other gateways ask it again.
func TestReplacedHomeRedirectsTurns(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		require.NoError(t, f.turn(f.gateways[0].daemon, "p", maxTurnTokens, time.Millisecond))
		replaced := f.homeOf("p")
		other := f.gateways[(replaced+1)%3]
		f.cutOff(f.gateways[replaced].Self().Name, true)
		require.NoError(t, f.turn(other.daemon, "p", maxTurnTokens, time.Millisecond))
		require.True(t, f.gateways[replaced].home.Holds("p"), "it does not know of its successor yet")
		f.cutOff(f.gateways[replaced].Self().Name, false)
		require.NoError(t, f.turn(f.gateways[replaced].daemon, "p", maxTurnTokens, time.Millisecond))
		time.Sleep(time.Second)
		require.False(t, f.gateways[replaced].home.Holds("p"))
		runUntilSpent(t, f, "p")
		require.Empty(t, f.overrun())
	})
}

// A replaced home that does not know of its successor hands its shard over in a planned
// stop. The successor must keep its own, newer totals.
func TestHandoverToCurrentHomeIsRefused(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		require.NoError(t, f.turn(f.gateways[0].daemon, "p", maxTurnTokens, time.Millisecond))
		replaced := f.homeOf("p")
		f.cutOff(f.gateways[replaced].Self().Name, true)
		require.NoError(t, f.turn(f.gateways[(replaced+1)%3].daemon, "p", maxTurnTokens, time.Millisecond))
		f.cutOff(f.gateways[replaced].Self().Name, false)
		f.gateways[replaced].leave()
		f.publishLive()
		runUntilSpent(t, f, "p")
		require.Empty(t, f.overrun())
	})
}
