package allowance_test

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

// TestTurnIsNotRunWhileNothingTakesItsTotal: neither the platform nor a bridge.
func TestTurnIsNotRunWhileNothingTakesItsTotal(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		require.NoError(t, f.turn(f.gateways[0].daemon, "q", most, time.Millisecond))
		f.store.SetFaults(objects.Faults{Outage: true})
		for _, k := range f.keepers {
			k.crash()
		}
		f.spread()
		started := time.Now()
		require.NoError(t, f.turn(f.gateways[0].daemon, "p", most, 0), "one turn is ahead of the record")
		err := f.turn(f.gateways[0].daemon, "p", 35, 0)
		require.True(t, verdict.HasReason(err, verdict.PeerLost), "%v", err)
		require.True(t, verdict.Is(err, verdict.NotRun))
		require.Positive(t, verdict.From(err).RetryAfter)
		require.Less(t, time.Since(started), 2*time.Second)
		for _, k := range f.keepers {
			k.start()
		}
		f.spread()
		time.Sleep(time.Second)
		require.NoError(t, f.turn(f.gateways[0].daemon, "p", 35, 0))
	})
}

// cutOff cuts a daemon off from everything else, or heals that.
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

// TestReplacedHomeSendsTurnsOn: a home that was cut off and replaced meanwhile grants
// nothing when it is back, also if the others ask it again.
func TestReplacedHomeSendsTurnsOn(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		require.NoError(t, f.turn(f.gateways[0].daemon, "p", most, time.Millisecond))
		former := f.homeOf("p")
		other := f.gateways[(former+1)%3]
		f.cutOff(f.gateways[former].Self().Name, true)
		require.NoError(t, f.turn(other.daemon, "p", most, time.Millisecond))
		require.True(t, f.gateways[former].home.Holds("p"), "it cannot know")
		f.cutOff(f.gateways[former].Self().Name, false)
		require.NoError(t, f.turn(f.gateways[former].daemon, "p", most, time.Millisecond))
		time.Sleep(time.Second)
		require.False(t, f.gateways[former].home.Holds("p"))
		runUntilSpent(t, f, "p")
		require.Empty(t, f.overrun())
	})
}

// TestHandoverToAHomeThatHoldsIsRefused: a home that was replaced without knowing
// leaves as planned; the one that replaced it keeps what it knows.
func TestHandoverToAHomeThatHoldsIsRefused(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		require.NoError(t, f.turn(f.gateways[0].daemon, "p", most, time.Millisecond))
		former := f.homeOf("p")
		f.cutOff(f.gateways[former].Self().Name, true)
		require.NoError(t, f.turn(f.gateways[(former+1)%3].daemon, "p", most, time.Millisecond))
		f.cutOff(f.gateways[former].Self().Name, false)
		f.gateways[former].leave()
		f.spread()
		runUntilSpent(t, f, "p")
		require.Empty(t, f.overrun())
	})
}
