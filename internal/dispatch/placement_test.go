package dispatch_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/dispatch"
	"ibisline/internal/fake/scriptedengine"
	"ibisline/internal/verdict"
)

func TestProgramStaysOnCachedEngineOnlyWhileFaster(t *testing.T) {
	runFleet(t, dispatch.Config{}, []string{"d1", "d2", "d3"}, engineServers("e1", "e2", "e3"), func(t *testing.T, f *fleet) {
		d := f.daemons["d1"]
		request := modelCall("p")
		request.PromptTokens = 20_000
		first := d.generate(context.Background(), request)
		require.NoError(t, first.err)
		for range 5 {
			require.Equal(t, first.result.Engine, d.generate(context.Background(), request).result.Engine)
		}
		time.Sleep(2 * time.Second)
		f.engines.Change(first.result.Engine, func(e *scriptedengine.Engine) { e.PieceInterval = 3 * time.Second })
		var slow []<-chan outcome
		for i := range 12 {
			call := modelCall(fmt.Sprint("other-", i))
			call.PromptTokens = 5_000
			call.LastEngine = first.result.Engine
			slow = append(slow, d.generateLater(context.Background(), call))
		}
		time.Sleep(5 * time.Second)
		require.NotEqual(t, first.result.Engine, d.generate(context.Background(), request).result.Engine)
		for _, call := range slow {
			require.NoError(t, (<-call).err)
		}
	})
}

func TestLoadSpreadsOverEngines(t *testing.T) {
	for _, policy := range []string{dispatch.PlacementEstimate, dispatch.PlacementRoundRobin} {
		t.Run(policy, func(t *testing.T) {
			config := dispatch.Config{Placement: policy, Window: dispatch.WindowFixed}
			runFleet(t, config, []string{"d1", "d2"}, engineServers("e1", "e2", "e3"), func(t *testing.T, f *fleet) {
				for _, name := range []string{"e1", "e2", "e3"} {
					f.engines.Change(name, func(e *scriptedengine.Engine) { e.PieceInterval = time.Second })
				}
				var calls []<-chan outcome
				for i := range 30 {
					calls = append(calls, f.daemons["d1"].generateLater(context.Background(), modelCall(fmt.Sprint(i))))
					synctest.Wait()
				}
				for _, name := range []string{"e1", "e2", "e3"} {
					require.InDelta(t, 10, f.engines.Get(name).Started, 2, name)
				}
				for _, call := range calls {
					require.NoError(t, (<-call).err)
				}
			})
		})
	}
}

func TestOtherRegionUsedOnlyWithoutLocalEngine(t *testing.T) {
	servers := engineServers("e1", "e2")
	servers[1].Region = "r2"
	runFleet(t, dispatch.Config{}, []string{"d1"}, servers, func(t *testing.T, f *fleet) {
		for i := range 20 {
			require.Equal(t, "e1", f.daemons["d1"].generate(context.Background(), modelCall(fmt.Sprint(i))).result.Engine)
		}
		f.engines.Change("e1", func(e *scriptedengine.Engine) { e.Down = true })
		require.Equal(t, "e2", f.daemons["d1"].generate(context.Background(), modelCall("p")).result.Engine)
	})
}

// movedFromHungEngine starts calls on e1, which emits no token, and returns how
// many of them finished on another engine within a minute.
func movedFromHungEngine(t *testing.T, config dispatch.Config, calls int) (moved int) {
	runFleet(t, config, []string{"d1", "d2", "d3"}, engineServers("e1", "e2", "e3"), func(t *testing.T, f *fleet) {
		f.engines.Change("e1", func(e *scriptedengine.Engine) { e.Hang = true })
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		results := make(chan outcome, calls)
		for i := range calls {
			request := modelCall(fmt.Sprint(i))
			request.LastEngine = "e1"
			request.PromptTokens = 30_000
			go func() { results <- f.daemons["d1"].generate(ctx, request) }()
			time.Sleep(time.Second)
		}
		time.Sleep(time.Minute)
		for len(results) > 0 {
			if got := <-results; got.err == nil {
				require.Equal(t, "xxx", got.text)
				require.NotEqual(t, "e1", got.result.Engine)
				moved++
			}
		}
	})
	return moved
}

func TestCallsWithoutAFirstTokenMove(t *testing.T) {
	require.Equal(t, 5, movedFromHungEngine(t, dispatch.Config{Stragglers: true}, 5))
	require.Zero(t, movedFromHungEngine(t, dispatch.Config{}, 1))
}

func TestMovesAndRetriesShareOneBudget(t *testing.T) {
	runFleet(t, dispatch.Config{Stragglers: true}, []string{"d1"}, engineServers("e1", "e2"), func(t *testing.T, f *fleet) {
		for _, name := range []string{"e1", "e2"} {
			f.engines.Change(name, func(e *scriptedengine.Engine) { e.FailAfter, e.Failure = 0, scriptedengine.Cut() })
		}
		const calls = 200
		for i := range calls {
			require.Error(t, f.daemons["d1"].generate(context.Background(), modelCall(fmt.Sprint(i))).err)
		}
		sent := f.engines.Get("e1").Started + f.engines.Get("e2").Started
		require.Greater(t, sent, calls)
		require.LessOrEqual(t, sent, calls*11/10+32)
	})
}

func TestSlowEngineDetectedFromTokenGaps(t *testing.T) {
	config := dispatch.Config{Stragglers: true}
	runFleet(t, config, []string{"d1", "d2"}, engineServers("e1", "e2", "e3"), func(t *testing.T, f *fleet) {
		for name, gap := range map[string]time.Duration{"e1": 100, "e2": 20, "e3": 20} {
			f.engines.Change(name, func(e *scriptedengine.Engine) { e.Tokens, e.PieceInterval = 100, gap*time.Millisecond })
		}
		var calls []<-chan outcome
		for i := range 30 {
			calls = append(calls, f.daemons["d1"].generateLater(context.Background(), modelCall(fmt.Sprint(i))))
			synctest.Wait()
		}
		time.Sleep(3 * time.Second)
		require.Equal(t, []string{"e1"}, f.slowEngines())
		before := f.engines.Get("e1").Started
		for i := range 10 {
			calls = append(calls, f.daemons["d2"].generateLater(context.Background(), modelCall(fmt.Sprint("late-", i))))
			synctest.Wait()
		}
		require.Equal(t, before, f.engines.Get("e1").Started)
		for _, call := range calls {
			require.NoError(t, (<-call).err)
		}
	})
}

// slowEngines returns the engines that their dispatchers report as slow.
func (f *fleet) slowEngines() []string {
	var names []string
	for _, d := range f.daemons {
		for _, status := range d.Dump().(dispatch.Snapshot).Engines {
			if status.Slow {
				names = append(names, status.Engine)
			}
		}
	}
	return names
}

func TestFullRegionDoesNotOverflowToAnotherRegion(t *testing.T) {
	servers := engineServers("e1", "e2")
	servers[1].Region = "r2"
	config := dispatch.Config{FixedWindow: 1, Window: dispatch.WindowFixed, QueueLimit: 1}
	runFleet(t, config, []string{"d1"}, servers, func(t *testing.T, f *fleet) {
		f.engines.Change("e1", func(e *scriptedengine.Engine) { e.PieceInterval = time.Second })
		var calls []<-chan outcome
		for i := range 5 {
			calls = append(calls, f.daemons["d1"].generateLater(context.Background(), modelCall(fmt.Sprint(i))))
			synctest.Wait()
		}
		refused := 0
		for _, call := range calls {
			if got := <-call; got.err != nil {
				require.True(t, verdict.HasReason(got.err, verdict.QueueFull), got.err)
				refused++
			}
		}
		require.Equal(t, 3, refused)
		require.Zero(t, f.engines.Get("e2").Started)
	})
}
