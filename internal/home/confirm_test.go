package home

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/verdict"
)

// staleHolder returns a home that still considers itself the holder of the shard of
// program "p", and the home that took the shard over.
func staleHolder(t *testing.T, cl *cluster) (stale, holder *daemon) {
	stale = cl.start("a")
	cl.open(t, stale, "p")
	v := stale.deps.View.(*view)
	v.aloneMu.Lock()
	v.alone = true
	v.aloneMu.Unlock()
	cl.membership.remove("a")
	holder = cl.start("b")
	cl.open(t, holder, "p")
	return stale, holder
}

func TestFormerHolderDoesNotRefuseProgramsOfTheNewHome(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		stale, holder := staleHolder(t, cl)
		id := cl.open(t, holder, "q")
		_, err := stale.State(context.Background(), id)
		require.True(t, verdict.HasReason(err, verdict.NotHome), "%v", err)
	})
}

func TestFormerHolderDoesNotRefuseTurnsAsOutOfOrder(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		stale, holder := staleHolder(t, cl)
		id := programID("p")
		runTurn(t, holder, turnRequest(id, 1))
		err := stale.Turn(context.Background(), turnRequest(id, 2), (&eventCollector{}).sink)
		require.True(t, verdict.HasReason(err, verdict.NotHome), "%v", err)
	})
}

// The shard was taken over while the former holder was considered dead, and the new
// home died before its release orders were confirmed. No request reveals the takeover
// to the former holder.
func TestFormerHolderReleasesMemoryOfProgramsEndedAtADeadHome(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		stale, holder := staleHolder(t, cl)
		runTurn(t, holder, turnRequest(programID("p"), 1))
		require.NotEmpty(t, cl.backends.heldPrograms())
		cl.backends.onForget = func() error { return errKilled }
		require.NoError(t, holder.End(context.Background(), programID("p")))
		cl.crash("b")
		cl.backends.onForget = func() error { return nil }
		cl.membership.add("a")
		require.False(t, stale.heldShards()[0].journal.Lost())
		time.Sleep(2 * holderCheckInterval)
		require.Empty(t, cl.backends.heldPrograms())
	})
}

func TestTurnOfALostShardFailsWithNotHome(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		stale, holder := staleHolder(t, cl)
		hold := make(chan struct{})
		cl.backends.blockAt("generate", hold)
		failed := make(chan error, 1)
		go func() {
			failed <- stale.Turn(context.Background(), turnRequest(programID("p"), 1), (&eventCollector{}).sink)
		}()
		synctest.Wait()
		_, err := stale.State(context.Background(), cl.open(t, holder, "q"))
		require.True(t, verdict.HasReason(err, verdict.NotHome), "%v", err)
		close(hold)
		err = <-failed
		require.True(t, verdict.HasReason(err, verdict.NotHome), "%v", err)
		require.True(t, verdict.Is(err, verdict.MayHaveRun), "%v", err)
	})
}
