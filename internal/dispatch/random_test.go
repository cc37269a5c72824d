package dispatch_test

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ibisline/internal/dispatch"
	"ibisline/internal/fake/scriptedengine"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// Without -rapid.seed every run uses seed 1, so that the schedules are the same.
func init() { _ = flag.Set("rapid.seed", "1") }

var (
	randomEngines = []string{"e1", "e2", "e3", "e4"}
	randomDaemons = []string{"d1", "d2", "d3"}
)

// scheduleRun is the execution of one random schedule of calls and faults.
type scheduleRun struct {
	f       *fleet
	calls   sync.WaitGroup
	mu      sync.Mutex
	results map[string]outcome
	count   int
}

// step is one event of a schedule.
type step struct {
	Kind   string
	Engine string
	Daemon string
	Calls  int
	Wait   time.Duration
}

var stepKinds = []string{"calls", "calls", "calls", "canceled", "crash", "cut", "hang", "heal", "leave", "stay", "slow", "poison", "lose", "moving", "hang_export"}

func drawStep(t *rapid.T) step {
	return step{
		Kind:   rapid.SampledFrom(stepKinds).Draw(t, "kind"),
		Engine: rapid.SampledFrom(randomEngines).Draw(t, "engine"),
		Daemon: rapid.SampledFrom(randomDaemons).Draw(t, "daemon"),
		Calls:  rapid.IntRange(1, 8).Draw(t, "calls"),
		Wait:   time.Duration(rapid.IntRange(0, 2000).Draw(t, "wait")) * time.Millisecond,
	}
}

func (r *scheduleRun) apply(s step) {
	switch s.Kind {
	case "calls", "canceled", "poison", "moving":
		r.startCalls(s)
	case "crash":
		r.f.engines.Crash(s.Engine)
	case "lose":
		if s.Daemon != "d1" {
			r.f.killAndRemove(s.Daemon)
		}
	default:
		r.f.engines.Change(s.Engine, func(e *scriptedengine.Engine) { changeEngine(e, s.Kind) })
	}
	time.Sleep(s.Wait)
}

func changeEngine(e *scriptedengine.Engine, kind string) {
	switch kind {
	case "cut":
		e.FailAfter, e.Failure = 1, scriptedengine.Cut()
	case "hang_export":
		e.HangExport = true
	case "hang":
		e.Hang = true
	case "heal":
		e.FailAfter, e.Hang, e.HangExport, e.PieceInterval = -1, false, false, 100*time.Millisecond
	case "leave":
		e.Leaving = true
	case "stay":
		e.Leaving = false
	case "slow":
		e.PieceInterval = time.Second
	}
}

// startCalls starts the calls of a step at its daemon, or at d1 if that daemon
// was stopped.
func (r *scheduleRun) startCalls(s step) {
	d := r.f.daemons[s.Daemon]
	if d.ctx.Err() != nil {
		d = r.f.daemons["d1"]
	}
	for range s.Calls {
		request := modelCall(fmt.Sprintf("p%d", r.count))
		r.count++
		request.Deadline = time.Now().Add(20 * time.Second)
		if s.Kind == "poison" {
			request.Messages = []structs.Message{{Role: "user", Content: scriptedengine.CrashPrompt}}
		}
		if s.Kind == "moving" {
			request.LastEngine, request.PromptTokens = s.Engine, movedTokens
			r.f.engines.Change(s.Engine, func(e *scriptedengine.Engine) { e.KV[request.Program] = movedTokens })
		}
		ctx, cancel := context.WithTimeout(d.ctx, time.Minute)
		if s.Kind == "canceled" {
			ctx, cancel = context.WithTimeout(d.ctx, s.Wait/2)
		}
		r.calls.Go(func() {
			defer cancel()
			got := d.generate(ctx, request)
			r.mu.Lock()
			defer r.mu.Unlock()
			r.results[request.Program] = got
		})
	}
}

// check asserts the invariants that hold after every schedule.
func (r *scheduleRun) check(t require.TestingT) {
	started := map[string]int{}
	for _, name := range randomEngines {
		e := r.f.engines.Get(name)
		require.Zero(t, e.Running, "requests left at %s", name)
		for _, program := range e.ProgramOrder {
			started[program]++
		}
	}
	whole := strings.Repeat("x", 3)
	for program, got := range r.results {
		if got.err == nil {
			require.Equal(t, whole, got.text, "answer of %s", program)
			continue
		}
		require.True(t, strings.HasPrefix(whole, got.text), "text of %s", program)
		if verdict.Is(got.err, verdict.NotRun) {
			require.Zero(t, started[program], "%s ran but has verdict NotRun: %v", program, got.err)
		}
		require.LessOrEqual(t, started[program], 3, "attempts of %s", program)
	}
}

// checkIdle asserts that no daemon has a request waiting or in flight.
func (r *scheduleRun) checkIdle(t require.TestingT) {
	for _, d := range r.f.daemons {
		for _, status := range d.Dump().(dispatch.Snapshot).Engines {
			require.Zero(t, status.Running+status.Waiting+status.Prefilling, "%s at %s", status.Engine, d.name)
		}
	}
}

func TestRandomSchedulesKeepInvariants(t *testing.T) {
	config := dispatch.Config{Stragglers: true, FixedWindow: 4, KVTransfer: true}
	servers := transferServers(randomEngines...)
	h := &fakeHolders{engines: map[string]bool{}}
	imports := 0
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 30).Draw(rt, "steps")
		runFleet(t, config, nil, servers, func(_ *testing.T, f *fleet) {
			for _, name := range randomDaemons {
				f.startWith(config, name, func(d *daemon) { d.SetHolders(h) })
			}
			r := &scheduleRun{f: f, results: map[string]outcome{}}
			for _, s := range steps {
				r.apply(s)
			}
			r.calls.Wait()
			synctest.Wait()
			r.check(rt)
			r.checkIdle(rt)
			for _, name := range randomEngines {
				imports += f.engines.Get(name).Imports
			}
		})
	})
	t.Logf("imports %d", imports)
}
