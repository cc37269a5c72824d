package dispatch_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/backend"
	"ibisline/internal/dispatch"
	"ibisline/internal/fake/scriptedengine"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

func engineServers(names ...string) []structs.Server {
	var servers []structs.Server
	for _, name := range names {
		servers = append(servers, structs.Server{
			Name: name, Kind: structs.KindEngine, Region: "r1", State: structs.StateLive,
			Models: []string{"m"}, KVTokens: 100_000,
		})
	}
	return servers
}

func modelCall(program string) structs.GenerateRequest {
	return structs.GenerateRequest{
		Program: program, Root: program, Turn: 1, Entry: "e", Owner: "o", Model: "m",
		Messages:     []structs.Message{{Role: "user", Content: program}},
		PromptTokens: 100, MaxTokens: 10, Deadline: time.Now().Add(time.Minute), RequestID: "r",
	}
}

// outcome is the result of a finished Generate call.
type outcome struct {
	result structs.GenerateResult
	text   string
	err    error
}

func (d *daemon) generate(ctx context.Context, request structs.GenerateRequest) outcome {
	var text strings.Builder
	result, err := d.Generate(ctx, request, func(piece string) error {
		text.WriteString(piece)
		return nil
	})
	return outcome{result: result, text: text.String(), err: err}
}

// generateLater starts a call in the background and returns the channel of its
// outcome.
func (d *daemon) generateLater(ctx context.Context, request structs.GenerateRequest) <-chan outcome {
	done := make(chan outcome, 1)
	go func() { done <- d.generate(ctx, request) }()
	return done
}

func TestGenerateStreamsThroughEveryDaemon(t *testing.T) {
	servers := engineServers("e1", "e2", "e3", "e4")
	runFleet(t, dispatch.Config{}, []string{"d1", "d2", "d3"}, servers, func(t *testing.T, f *fleet) {
		for _, d := range f.daemons {
			got := d.generate(context.Background(), modelCall("p-"+d.name))
			require.NoError(t, got.err)
			require.Equal(t, "xxx", got.text)
		}
	})
}

func TestCallMovesFromUnavailableEngine(t *testing.T) {
	for name, fail := range map[string]func(e *scriptedengine.Engine){
		"unreachable": func(e *scriptedengine.Engine) { e.Down = true },
		"leaving":     func(e *scriptedengine.Engine) { e.Leaving = true },
		"cut before the first token": func(e *scriptedengine.Engine) {
			e.FailAfter, e.Failure = 0, scriptedengine.Cut()
		},
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, dispatch.Config{}, []string{"d1", "d2"}, engineServers("e1", "e2"), func(t *testing.T, f *fleet) {
				f.engines.Change("e1", fail)
				for range 4 {
					got := f.daemons["d1"].generate(context.Background(), modelCall("p"))
					require.NoError(t, got.err)
					require.Equal(t, "e2", got.result.Engine)
					require.Equal(t, "xxx", got.text)
				}
			})
		})
	}
}

func TestCallDoesNotMoveOnceTextWasPassedOn(t *testing.T) {
	runFleet(t, dispatch.Config{}, []string{"d1", "d2"}, engineServers("e1", "e2"), func(t *testing.T, f *fleet) {
		for _, name := range []string{"e1", "e2"} {
			f.engines.Change(name, func(e *scriptedengine.Engine) { e.FailAfter, e.Failure = 2, scriptedengine.Cut() })
		}
		got := f.daemons["d1"].generate(context.Background(), modelCall("p"))
		require.True(t, verdict.Is(got.err, verdict.MayHaveRun))
		require.True(t, verdict.HasReason(got.err, verdict.BackendFailed))
		require.Equal(t, "xx", got.text)
		require.Equal(t, 1, f.engines.Get("e1").Started+f.engines.Get("e2").Started)
	})
}

func TestNoEngineForTheModelIsNotRun(t *testing.T) {
	runFleet(t, dispatch.Config{}, []string{"d1"}, engineServers("e1"), func(t *testing.T, f *fleet) {
		request := modelCall("p")
		request.Model = "other"
		got := f.daemons["d1"].generate(context.Background(), request)
		require.True(t, verdict.Is(got.err, verdict.NotRun))
		require.True(t, verdict.HasReason(got.err, verdict.NoServer))
	})
}

func TestFailedCallIsNotReportedAsNotRun(t *testing.T) {
	runFleet(t, dispatch.Config{}, []string{"d1"}, engineServers("e1"), func(t *testing.T, f *fleet) {
		f.engines.Change("e1", func(e *scriptedengine.Engine) { e.FailAfter, e.Failure = 0, scriptedengine.Cut() })
		request := modelCall("p")
		request.Deadline = time.Now().Add(time.Second)
		got := f.daemons["d1"].generate(context.Background(), request)
		require.True(t, verdict.Is(got.err, verdict.MayHaveRun))
	})
}

func TestCallMovesWhenItsDispatcherIsLost(t *testing.T) {
	runFleet(t, dispatch.Config{}, []string{"d1", "d2", "d3"}, engineServers("e1", "e2", "e3", "e4"), func(t *testing.T, f *fleet) {
		for _, name := range []string{"e1", "e2", "e3", "e4"} {
			f.engines.Change(name, func(e *scriptedengine.Engine) { e.PieceInterval = time.Second })
		}
		var calls []<-chan outcome
		for i := range 8 {
			calls = append(calls, f.daemons["d1"].generateLater(context.Background(), modelCall(string(rune('a'+i)))))
		}
		synctest.Wait()
		f.killAndRemove("d2")
		f.killAndRemove("d3")
		for _, call := range calls {
			got := <-call
			require.NoError(t, got.err)
			require.Equal(t, "xxx", got.text)
		}
	})
}

func TestCancelReachesTheEngine(t *testing.T) {
	runFleet(t, dispatch.Config{}, []string{"d1", "d2"}, engineServers("e1", "e2"), func(t *testing.T, f *fleet) {
		for _, name := range []string{"e1", "e2"} {
			f.engines.Change(name, func(e *scriptedengine.Engine) { e.Hang = true })
		}
		ctx, cancel := context.WithCancel(context.Background())
		first := f.daemons["d1"].generateLater(ctx, modelCall("p"))
		second := f.daemons["d2"].generateLater(ctx, modelCall("q"))
		synctest.Wait()
		require.Equal(t, 2, f.engines.Get("e1").Running+f.engines.Get("e2").Running)
		cancel()
		require.True(t, verdict.HasReason((<-first).err, verdict.Canceled))
		require.True(t, verdict.HasReason((<-second).err, verdict.Canceled))
		synctest.Wait()
		require.Zero(t, f.engines.Get("e1").Running+f.engines.Get("e2").Running)
	})
}

func TestKVReleaseIsConfirmedOnlyByEngine(t *testing.T) {
	runFleet(t, dispatch.Config{}, []string{"d1"}, engineServers("e1"), func(t *testing.T, f *fleet) {
		d := f.daemons["d1"]
		require.NoError(t, d.generate(context.Background(), modelCall("p")).err)
		f.engines.Change("e1", func(e *scriptedengine.Engine) { e.Down = true })
		require.ErrorIs(t, d.ReleaseKV(context.Background(), "e1", "p"), backend.ErrUnreachable)
		f.engines.Change("e1", func(e *scriptedengine.Engine) { e.Down = false })
		require.NoError(t, d.ReleaseKV(context.Background(), "e1", "p"))
		require.Equal(t, []string{"p"}, f.engines.Get("e1").Released)
		require.NoError(t, d.ReleaseKV(context.Background(), "e1", "p"))
		require.NoError(t, d.ReleaseKV(context.Background(), "gone", "p"))
		f.setServers(nil)
		require.Error(t, d.ReleaseKV(context.Background(), "e1", "p"))
	})
}
