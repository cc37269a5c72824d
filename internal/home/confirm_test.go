package home

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

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

// TestFormerHolderReleasesWhatEndedAtADeadHome: no request tells it that the
// shard was taken over while the others held it for dead.
func TestFormerHolderReleasesWhatEndedAtADeadHome(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		stale, holder := staleHolder(t, w)
		runTurn(t, holder, turnRequest(programID("p"), 1))
		require.NotEmpty(t, w.backends.heldPrograms())
		w.backends.onForget = func() error { return errKilled }
		require.NoError(t, holder.End(context.Background(), programID("p")))
		w.crash("b")
		w.backends.onForget = func() error { return nil }
		w.live.add("a")
		require.False(t, stale.held()[0].journal.Lost())
		time.Sleep(2 * checkInterval)
		require.Empty(t, w.backends.heldPrograms())
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
