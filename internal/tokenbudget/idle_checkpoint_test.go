package tokenbudget_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/tokenbudget"
)

// Guards against a home that was replaced without learning of it and overwrites the idle
// checkpoint of its successor, so that a later home knows nothing of the programs in it.
func TestReplacedHomeDoesNotOverwriteIdleCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetOf(t, 1, 3, 3)
		defer f.close()
		require.NoError(t, f.turn(f.gateways[0].daemon, "p", 35, time.Millisecond))
		replaced := f.homeOf("p")
		name := f.gateways[replaced].Self().Name
		successor, last := (replaced+1)%3, (replaced+2)%3
		for _, other := range []int{successor, last} {
			f.network.Cut(name, f.gateways[other].Self().Name, true)
			f.network.Cut(f.gateways[other].Self().Name, name, true)
		}
		for i := 0; i < 3; {
			if f.turn(f.gateways[successor].daemon, "q", maxTurnTokens, time.Millisecond) == nil {
				i++
			}
		}
		// The replaced home does not write its idle programs before its successor has.
		f.setRejected(name, true)
		time.Sleep(tokenbudget.DefaultIdleCheckpointInterval + tokenbudget.DefaultIdleAfter)
		f.setRejected(name, false)
		time.Sleep(4 * tokenbudget.DefaultIdleCheckpointInterval)
		f.gateways[successor].crash()
		f.publishLive()
		for range 5 {
			_ = f.turn(f.gateways[last].daemon, "q", maxTurnTokens, time.Millisecond)
		}
		require.Empty(t, f.overrun())
	})
}
