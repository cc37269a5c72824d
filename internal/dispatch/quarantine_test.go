package dispatch_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/dispatch"
	"ibisline/internal/fake/objects"
	"ibisline/internal/fake/scriptedengine"
	"ibisline/internal/policy/quarantine"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

func poisonCall(program string) structs.GenerateRequest {
	request := modelCall(program)
	request.Messages = []structs.Message{{Role: "user", Content: scriptedengine.CrashPrompt}}
	return request
}

// runCrashFleet runs test with five engines that crash on scriptedengine.CrashPrompt,
// restart after a second, and emit one token per second.
func runCrashFleet(t *testing.T, test func(t *testing.T, f *fleet)) {
	names := []string{"e1", "e2", "e3", "e4", "e5"}
	runFleet(t, dispatch.Config{}, []string{"d1", "d2", "d3"}, engineServers(names...), func(t *testing.T, f *fleet) {
		for _, name := range names {
			f.engines.Change(name, func(e *scriptedengine.Engine) { e.PieceInterval = time.Second })
		}
		test(t, f)
	})
}

func (f *fleet) crashes() int {
	total := 0
	for _, server := range engineServers("e1", "e2", "e3", "e4", "e5") {
		total += f.engines.Get(server.Name).Crashes
	}
	return total
}

// harmlessCalls starts ten calls at each daemon and returns the channels of their outcomes, by program.
func (f *fleet) harmlessCalls() map[string]<-chan outcome {
	calls := map[string]<-chan outcome{}
	for _, d := range f.daemons {
		for i := range 10 {
			program := fmt.Sprint(d.name, i)
			calls[program] = d.generateLater(context.Background(), modelCall(program))
		}
	}
	synctest.Wait()
	return calls
}

// Guards against a third crash, and against failing a harmless request that was interrupted before its first
// token. An answer here is one token, because a call that has emitted text is not repeated.
func TestPoisonCrashesTwoEnginesAndIsRefusedEverywhere(t *testing.T) {
	runCrashFleet(t, func(t *testing.T, f *fleet) {
		for _, server := range engineServers("e1", "e2", "e3", "e4", "e5") {
			f.engines.Change(server.Name, func(e *scriptedengine.Engine) { e.Tokens, e.PieceInterval = 1, 3*time.Second })
		}
		harmless := f.harmlessCalls()
		got := f.daemons["d1"].generate(context.Background(), poisonCall("p"))
		require.Error(t, got.err)
		for i := range 5 {
			for _, d := range f.daemons {
				got := d.generate(context.Background(), poisonCall(fmt.Sprint("again-", i)))
				require.Error(t, got.err)
				require.True(t, verdict.HasReason(got.err, verdict.Quarantined), got.err)
				require.True(t, verdict.Is(got.err, verdict.NotRun))
				require.Positive(t, verdict.From(got.err).RetryAfter)
			}
		}
		require.Equal(t, 2, f.crashes())
		for _, call := range harmless {
			got := <-call
			require.NoError(t, got.err)
			require.Equal(t, "x", got.text)
		}
		for _, d := range f.daemons {
			refused := 0
			for _, entry := range d.Dump().(dispatch.Snapshot).Quarantine {
				if entry.Standing == quarantine.Refused {
					refused++
				}
			}
			require.Equal(t, 1, refused, d.name)
		}
	})
}

// Guards against repeating a call whose text the caller has, and against failing one on an engine that did not crash.
func TestCrashesInterruptOnlyTheStreamsOfTheCrashedEngines(t *testing.T) {
	runCrashFleet(t, func(t *testing.T, f *fleet) {
		harmless := f.harmlessCalls()
		time.Sleep(1500 * time.Millisecond) // each has one token
		require.True(t, verdict.HasReason(f.daemons["d1"].generate(context.Background(), poisonCall("p")).err, verdict.Quarantined))
		require.Equal(t, 2, f.crashes())
		for _, server := range engineServers("e1", "e2", "e3", "e4", "e5") {
			e := f.engines.Get(server.Name)
			for _, program := range e.ProgramOrder {
				if program == "p" {
					continue
				}
				got := <-harmless[program]
				delete(harmless, program)
				if e.Crashes == 0 {
					require.NoError(t, got.err)
					require.Equal(t, "xxx", got.text)
					continue
				}
				require.True(t, verdict.HasReason(got.err, verdict.BackendFailed), got.err)
				require.True(t, verdict.Is(got.err, verdict.MayHaveRun), got.err)
				require.Equal(t, "x", got.text)
			}
		}
		require.Empty(t, harmless)
	})
}

func TestQuarantineReachesNewDaemonsAndExpires(t *testing.T) {
	runCrashFleet(t, func(t *testing.T, f *fleet) {
		require.Error(t, f.daemons["d1"].generate(context.Background(), poisonCall("p")).err)
		late := f.start(dispatch.Config{}, "d4")
		synctest.Wait()
		require.True(t, verdict.HasReason(late.generate(context.Background(), poisonCall("q")).err, verdict.Quarantined))
		time.Sleep(quarantine.RefusedLifetime + 20*time.Minute)
		kept, _, err := f.store.List(context.Background(), structs.QuarantinePrefix)
		require.NoError(t, err)
		require.Empty(t, kept)
		require.Empty(t, late.Dump().(dispatch.Snapshot).Quarantine)
	})
}

func TestQuarantineSpreadsWithoutThePlatform(t *testing.T) {
	runCrashFleet(t, func(t *testing.T, f *fleet) {
		f.store.SetFaults(objects.Faults{Outage: true})
		require.Error(t, f.daemons["d1"].generate(context.Background(), poisonCall("p")).err)
		require.True(t, verdict.HasReason(f.daemons["d3"].generate(context.Background(), poisonCall("q")).err, verdict.Quarantined))
		require.Equal(t, 2, f.crashes())
	})
}

// Guards against losing a notice whose write to the platform failed: a daemon that starts later would
// let the request crash further engines.
func TestNoticeOfOutageIsStoredAfterIt(t *testing.T) {
	runCrashFleet(t, func(t *testing.T, f *fleet) {
		f.store.SetFaults(objects.Faults{Outage: true})
		require.Error(t, f.daemons["d1"].generate(context.Background(), poisonCall("p")).err)
		time.Sleep(10 * time.Second)
		f.store.SetFaults(objects.Faults{})
		time.Sleep(10 * time.Second)
		for _, name := range []string{"d1", "d2", "d3"} {
			f.killAndRemove(name)
		}
		for _, name := range []string{"d1", "d2", "d3"} {
			f.start(dispatch.Config{}, name)
		}
		time.Sleep(time.Second)
		require.True(t, verdict.HasReason(f.daemons["d2"].generate(context.Background(), poisonCall("q")).err, verdict.Quarantined))
		require.Equal(t, 2, f.crashes())
	})
}

func TestCutConnectionIsNotTreatedAsCrash(t *testing.T) {
	runFleet(t, dispatch.Config{}, []string{"d1"}, engineServers("e1", "e2"), func(t *testing.T, f *fleet) {
		f.engines.Change("e1", func(e *scriptedengine.Engine) { e.FailAfter, e.Failure = 0, scriptedengine.Cut() })
		for i := range 4 {
			require.NoError(t, f.daemons["d1"].generate(context.Background(), modelCall(fmt.Sprint(i))).err)
		}
		require.Empty(t, f.daemons["d1"].Dump().(dispatch.Snapshot).Quarantine)
	})
}
