package dispatch_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/backend"
	"ibisline/internal/dispatch"
	"ibisline/internal/fake/objects"
	"ibisline/internal/fake/scriptedengine"
	"ibisline/internal/member"
	"ibisline/internal/verdict"
)

var loadModel = backend.Order{Kind: backend.LoadModel, Name: "new"}

const pauseAllowance = 20 * time.Second

// runOrderFleet runs test with one engine and two daemons. holder is the daemon
// that holds the engine's order lease.
func runOrderFleet(t *testing.T, fences bool, test func(f *fleet, holder, other *daemon)) {
	servers := engineServers("e1")
	servers[0].Fences = fences
	config := dispatch.Config{PauseAllowance: pauseAllowance}
	runFleet(t, config, []string{"d1", "d2"}, servers, func(t *testing.T, f *fleet) {
		require.NoError(t, f.daemons["d1"].Order(context.Background(), "e1", backend.Order{Kind: backend.SetRole, Name: "serve"}))
		owner, _ := member.Owner(f.daemons["d1"].view(), "r1", "e1")
		holder, other := f.daemons["d1"], f.daemons["d2"]
		if owner.Name == "d2" {
			holder, other = other, holder
		}
		test(f, holder, other)
	})
}

func TestTakeoverRaisesTheFenceAndTheOldHolderIsRefused(t *testing.T) {
	runOrderFleet(t, true, func(f *fleet, holder, other *daemon) {
		before := f.engines.Get("e1").Orders.Fence
		f.removeFromLive(holder.name)
		start := time.Now()
		require.NoError(t, other.Order(context.Background(), "e1", loadModel))
		require.Zero(t, time.Since(start))
		require.Greater(t, f.engines.Get("e1").Orders.Fence, before)
		require.ErrorIs(t, f.engines.SendOrder(context.Background(), f.servers[0], backend.Order{Kind: backend.LoadModel, Name: "old", Fence: before}), backend.ErrFenced)
	})
}

func TestTakeoverWaitsOutTheOldHolderWhereFencesAreIgnored(t *testing.T) {
	runOrderFleet(t, false, func(f *fleet, holder, other *daemon) {
		f.removeFromLive(holder.name)
		start := time.Now()
		require.NoError(t, other.Order(context.Background(), "e1", loadModel))
		require.Equal(t, pauseAllowance, time.Since(start))
		start = time.Now()
		require.NoError(t, other.Order(context.Background(), "e1", loadModel))
		require.Zero(t, time.Since(start))
	})
}

func TestUnknownOrderOutcomeIsReadBackBeforeRetry(t *testing.T) {
	for _, effect := range []bool{true, false} {
		runOrderFleet(t, false, func(f *fleet, holder, _ *daemon) {
			f.engines.Change("e1", func(e *scriptedengine.Engine) { e.LoseOrders, e.LoseEffect = 1, !effect; e.OrdersTaken = 0 })
			require.NoError(t, holder.Order(context.Background(), "e1", loadModel))
			require.Equal(t, 1, f.engines.Get("e1").OrdersTaken)
			require.Contains(t, f.engines.Get("e1").Orders.Models, "new")
		})
	}
}

func TestOrderToUnreachableEngineIsNotRun(t *testing.T) {
	runOrderFleet(t, false, func(f *fleet, holder, _ *daemon) {
		f.engines.Change("e1", func(e *scriptedengine.Engine) { e.Down = true })
		err := holder.Order(context.Background(), "e1", loadModel)
		require.True(t, verdict.Is(err, verdict.NotRun), "%v", err)
	})
}

func TestLostOrderOutcomeStaysUnknown(t *testing.T) {
	runOrderFleet(t, false, func(f *fleet, holder, _ *daemon) {
		f.engines.Change("e1", func(e *scriptedengine.Engine) { e.LoseOrders, e.LoseEffect = 100, true })
		err := holder.Order(context.Background(), "e1", loadModel)
		require.True(t, verdict.Is(err, verdict.MayHaveRun), "%v", err)
	})
}

func TestOrderOutcomeStaysUnknownWhenPlatformGoesDown(t *testing.T) {
	runOrderFleet(t, false, func(f *fleet, holder, _ *daemon) {
		f.engines.Change("e1", func(e *scriptedengine.Engine) { e.LoseOrders, e.LoseEffect = 100, true })
		f.store.SetFaults(objects.Faults{Slow: time.Second})
		outcome := make(chan error, 1)
		go func() { outcome <- holder.Order(context.Background(), "e1", loadModel) }()
		time.Sleep(1500 * time.Millisecond)
		f.store.SetFaults(objects.Faults{Outage: true})
		err := <-outcome
		require.True(t, verdict.Is(err, verdict.MayHaveRun), "%v", err)
	})
}

func TestNoOrderWithoutThePlatform(t *testing.T) {
	runOrderFleet(t, true, func(f *fleet, holder, _ *daemon) {
		f.store.SetFaults(objects.Faults{Outage: true})
		taken := f.engines.Get("e1").OrdersTaken
		err := holder.Order(context.Background(), "e1", loadModel)
		require.True(t, verdict.Is(err, verdict.NotRun))
		require.Equal(t, taken, f.engines.Get("e1").OrdersTaken)
	})
}

func TestTakeoverSucceedsAfterLostReply(t *testing.T) {
	runOrderFleet(t, true, func(f *fleet, holder, other *daemon) {
		f.removeFromLive(holder.name)
		f.store.SetFaults(objects.Faults{LoseReplies: 1})
		require.NoError(t, other.Order(context.Background(), "e1", loadModel))
	})
}
