package dispatch_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/dispatch"
	"ibisline/internal/fake/scriptedengine"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// fakePrograms implements dispatch.ProgramStates with preset answers.
type fakePrograms struct {
	mu    sync.Mutex
	state map[string]structs.ProgramState
	fail  map[string]error
}

func (p *fakePrograms) State(_ context.Context, program string) (structs.ProgramState, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state[program], p.fail[program]
}

func (p *fakePrograms) set(program string, state structs.ProgramState, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state[program], p.fail[program] = state, err
}

// runSweepFleet runs test with two daemons and one engine that holds KV memory of
// the named programs. The first sweep runs at the start, so down is applied
// before the daemons start.
func runSweepFleet(t *testing.T, programs []string, down bool, test func(f *fleet, states *fakePrograms)) {
	states := &fakePrograms{state: map[string]structs.ProgramState{}, fail: map[string]error{}}
	config := dispatch.Config{SweepInterval: 10 * time.Second}
	runFleet(t, config, nil, engineServers("e1"), func(t *testing.T, f *fleet) {
		f.engines.Change("e1", func(e *scriptedengine.Engine) {
			e.Down = down
			for _, program := range programs {
				e.KV[program] = 100
			}
		})
		for _, name := range []string{"d1", "d2"} {
			f.startWith(config, name, func(d *daemon) { d.SetPrograms(states) })
		}
		test(f, states)
	})
}

func TestSweepReleasesOnlyEndedPrograms(t *testing.T) {
	all := []string{"live", "ended", "gone", "unreachable", "returns"}
	runSweepFleet(t, all, false, func(f *fleet, states *fakePrograms) {
		unknown := verdict.Refuse(verdict.UnknownProgram, "unknown")
		states.set("ended", structs.ProgramState{Ended: true}, nil)
		states.set("gone", structs.ProgramState{}, unknown)
		states.set("returns", structs.ProgramState{}, unknown)
		states.set("unreachable", structs.ProgramState{Ended: true}, verdict.Refuse(verdict.PeerLost, "home is down"))
		time.Sleep(5 * time.Second)
		require.NotContains(t, f.engines.Get("e1").Released, "gone")
		states.set("returns", structs.ProgramState{}, nil)
		time.Sleep(30 * time.Second)
		require.ElementsMatch(t, []string{"ended", "gone"}, f.engines.Get("e1").Released)
	})
}

func TestSweepIsRepeatedUntilTheEngineConfirms(t *testing.T) {
	runSweepFleet(t, []string{"ended"}, true, func(f *fleet, states *fakePrograms) {
		states.set("ended", structs.ProgramState{Ended: true}, nil)
		time.Sleep(25 * time.Second)
		require.Empty(t, f.engines.Get("e1").Released)
		f.engines.Change("e1", func(e *scriptedengine.Engine) { e.Down = false })
		time.Sleep(15 * time.Second)
		require.Equal(t, []string{"ended"}, f.engines.Get("e1").Released)
	})
}

func TestSweepSkipsProgramWithRequestInFlight(t *testing.T) {
	runSweepFleet(t, nil, false, func(f *fleet, states *fakePrograms) {
		states.set("p", structs.ProgramState{Ended: true}, nil)
		f.engines.Change("e1", func(e *scriptedengine.Engine) { e.PieceInterval = 10 * time.Second })
		call := f.daemons["d1"].generateLater(context.Background(), modelCall("p"))
		time.Sleep(25 * time.Second)
		require.Empty(t, f.engines.Get("e1").Released)
		require.NoError(t, (<-call).err)
		time.Sleep(25 * time.Second)
		require.Equal(t, []string{"p"}, f.engines.Get("e1").Released)
	})
}
