package dispatch_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/dispatch"
	"ibisline/internal/fake/scriptedengine"
	"ibisline/internal/structs"
)

// leavingGrace is the time after which a leaving engine must not get new work.
const leavingGrace = 3 * time.Second

// leavingSignals are the ways in which a daemon can detect that e1 is leaving.
var leavingSignals = map[string]func(f *fleet){
	"load report": func(f *fleet) {
		f.engines.Change("e1", func(e *scriptedengine.Engine) { e.Leaving = true })
	},
	"platform's list": func(f *fleet) {
		servers := engineServers("e1", "e2")
		servers[0].State = structs.StateLeaving
		f.setServers(servers)
	},
	"removed from the list": func(f *fleet) { f.setServers(engineServers("e2")) },
}

func TestLeavingEngineGetsNoNewWorkAndEndsItsStreams(t *testing.T) {
	for name, leave := range leavingSignals {
		t.Run(name, func(t *testing.T) {
			config := dispatch.Config{FixedWindow: 2, Window: dispatch.WindowFixed}
			runFleet(t, config, []string{"d1", "d2", "d3"}, engineServers("e1", "e2"), func(t *testing.T, f *fleet) {
				for _, engine := range []string{"e1", "e2"} {
					f.engines.Change(engine, func(e *scriptedengine.Engine) { e.PieceInterval = 2 * time.Second })
				}
				var calls []<-chan outcome
				for _, d := range f.daemons {
					for range 4 {
						calls = append(calls, d.generateLater(context.Background(), modelCall("p")))
					}
				}
				synctest.Wait()
				require.Equal(t, 2, f.engines.Get("e1").Running)
				leave(f)
				time.Sleep(leavingGrace)
				offered := f.engines.Get("e1").Offered
				for _, d := range f.daemons {
					calls = append(calls, d.generateLater(context.Background(), modelCall("q")))
				}
				for _, call := range calls {
					got := <-call
					require.NoError(t, got.err)
					require.Equal(t, "xxx", got.text)
				}
				require.Equal(t, offered, f.engines.Get("e1").Offered)
				require.Equal(t, 2, f.engines.Get("e1").Started)
			})
		})
	}
}

func TestRecoveredEngineIsUsedAgain(t *testing.T) {
	runFleet(t, dispatch.Config{}, []string{"d1"}, engineServers("e1"), func(t *testing.T, f *fleet) {
		f.engines.Change("e1", func(e *scriptedengine.Engine) { e.Leaving, e.Down = true, true })
		time.Sleep(leavingGrace)
		f.engines.Change("e1", func(e *scriptedengine.Engine) { e.Leaving, e.Down = false, false })
		require.NoError(t, f.daemons["d1"].generate(context.Background(), modelCall("p")).err)
	})
}

func TestDrainFinishesStreamsAndMovesWaitingRequests(t *testing.T) {
	config := dispatch.Config{FixedWindow: 1, Window: dispatch.WindowFixed}
	runFleet(t, config, []string{"d1", "d2"}, engineServers("e1", "e2", "e3"), func(t *testing.T, f *fleet) {
		for _, engine := range []string{"e1", "e2", "e3"} {
			f.engines.Change(engine, func(e *scriptedengine.Engine) { e.PieceInterval = time.Second })
		}
		var calls []<-chan outcome
		for range 9 {
			calls = append(calls, f.daemons["d1"].generateLater(context.Background(), modelCall("p")))
		}
		synctest.Wait()
		f.removeFromLive("d2")
		require.NoError(t, f.daemons["d2"].Drain(context.Background()))
		for _, call := range calls {
			require.NoError(t, (<-call).err)
		}
		started := 0
		for _, engine := range []string{"e1", "e2", "e3"} {
			started += f.engines.Get(engine).Started
		}
		require.Equal(t, 9, started)
	})
}
