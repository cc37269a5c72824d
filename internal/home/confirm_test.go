package home

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"ibisline/internal/verdict"
)

// staleHolder returns a home that still believes to hold the shard of program
// "p", and the home that took it over.
func staleHolder(t *testing.T, w *world) (stale, holder *daemon) {
	stale = w.start("a")
	w.open(t, stale, "p")
	v := stale.deps.View.(*view)
	v.own.Lock()
	v.alone = true
	v.own.Unlock()
	w.live.remove("a")
	holder = w.start("b")
	w.open(t, holder, "p")
	return stale, holder
}

func TestFormerHolderDeniesNoProgramOfTheNewHome(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		stale, holder := staleHolder(t, w)
		id := w.open(t, holder, "q")
		_, err := stale.State(context.Background(), id)
		require.True(t, verdict.HasReason(err, verdict.NotHome), "%v", err)
	})
}

func TestFormerHolderRefusesNoTurnAsEarly(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		stale, holder := staleHolder(t, w)
		id := programID("p")
		runTurn(t, holder, turnRequest(id, 1))
		err := stale.Turn(context.Background(), turnRequest(id, 2), (&collect{}).sink)
		require.True(t, verdict.HasReason(err, verdict.NotHome), "%v", err)
	})
}

func TestTurnThatEndsWithItsShardGoesOnElsewhere(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		stale, holder := staleHolder(t, w)
		hold := make(chan struct{})
		w.backends.hold("generate", hold)
		failed := make(chan error, 1)
		go func() {
			failed <- stale.Turn(context.Background(), turnRequest(programID("p"), 1), (&collect{}).sink)
		}()
		synctest.Wait()
		_, err := stale.State(context.Background(), w.open(t, holder, "q"))
		require.True(t, verdict.HasReason(err, verdict.NotHome), "%v", err)
		close(hold)
		err = <-failed
		require.True(t, verdict.HasReason(err, verdict.NotHome), "%v", err)
		require.True(t, verdict.Is(err, verdict.MayHaveRun), "%v", err)
	})
}
