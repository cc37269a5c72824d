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

// fakeHolders implements dispatch.HolderRecords.
type fakeHolders struct {
	mu      sync.Mutex
	engines map[string]bool
	fail    error
}

func (h *fakeHolders) RecordHolder(_, engine string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.engines[engine] = true
	return h.fail
}

const movedTokens = 20_000

// transferServers returns engines that support KV transfer. The address of an
// engine is its name.
func transferServers(names ...string) []structs.Server {
	servers := engineServers(names...)
	for i := range servers {
		servers[i].Addr, servers[i].KVTransfer, servers[i].KVTransferRate = servers[i].Name, true, 100_000
	}
	return servers
}

// runTransferFleet runs test with two engines that support KV transfer. Program p
// has run on e1, which is now full, so that the next call of p goes to e2.
func runTransferFleet(t *testing.T, transfer bool, test func(f *fleet, h *fakeHolders, next structs.GenerateRequest)) {
	servers := transferServers("e1", "e2")
	config := dispatch.Config{Window: dispatch.WindowFixed, FixedWindow: 1, KVTransfer: transfer}
	runFleet(t, config, nil, servers, func(t *testing.T, f *fleet) {
		h := &fakeHolders{engines: map[string]bool{}}
		f.startWith(config, "d1", func(d *daemon) { d.SetHolders(h) })
		f.engines.Change("e2", func(e *scriptedengine.Engine) {
			e.ImportTime = 200 * time.Millisecond
			e.Usage = structs.Usage{PromptTokens: movedTokens, CachedTokens: movedTokens, OutputTokens: 3}
		})
		f.engines.Change("e1", func(e *scriptedengine.Engine) { e.PieceInterval, e.KV["p"] = time.Minute, movedTokens })
		busy := modelCall("busy")
		busy.LastEngine, busy.PromptTokens = "e1", 60_000
		f.daemons["d1"].generateLater(t.Context(), busy)
		// The first poll may run before the call starts; the second includes it.
		time.Sleep(1500 * time.Millisecond)
		next := modelCall("p")
		next.PromptTokens, next.LastEngine = movedTokens, "e1"
		test(f, h, next)
	})
}

func TestCacheIsTransferredFromFullEngine(t *testing.T) {
	runTransferFleet(t, true, func(f *fleet, h *fakeHolders, next structs.GenerateRequest) {
		begun := time.Now()
		got := f.daemons["d1"].generate(context.Background(), next)
		require.NoError(t, got.err)
		require.Equal(t, "e2", got.result.Engine)
		require.Equal(t, 230*time.Millisecond, time.Since(begun))
		require.Equal(t, 1, f.engines.Get("e2").Imports)
		require.True(t, h.engines["e2"])
		for _, engine := range []string{"e1", "e2"} {
			require.Contains(t, f.engines.Get(engine).KV, "p")
			require.NoError(t, f.daemons["d1"].ReleaseKV(context.Background(), engine, "p"))
			require.NotContains(t, f.engines.Get(engine).KV, "p")
		}
	})
}

func TestHangingExportTimesOutAndIsNotRetriedSoon(t *testing.T) {
	runTransferFleet(t, true, func(f *fleet, _ *fakeHolders, next structs.GenerateRequest) {
		f.engines.Change("e1", func(e *scriptedengine.Engine) { e.HangExport = true })
		begun := time.Now()
		got := f.daemons["d1"].generate(context.Background(), next)
		require.NoError(t, got.err)
		require.Equal(t, "xxx", got.text)
		require.Equal(t, "e2", got.result.Engine)
		const recompute = movedTokens * 4 / 5 * time.Second / 8000
		require.Equal(t, recompute+30*time.Millisecond, time.Since(begun))

		other := next
		other.Program, other.Root = "q", "q"
		f.engines.Change("e1", func(e *scriptedengine.Engine) { e.KV["q"] = movedTokens })
		require.NoError(t, f.daemons["d1"].generate(context.Background(), other).err)
		require.Equal(t, 1, f.engines.Get("e2").Imports)
	})
}

func TestNothingIsImportedWithoutHolderRecordOrWhenDisabled(t *testing.T) {
	runTransferFleet(t, true, func(f *fleet, h *fakeHolders, next structs.GenerateRequest) {
		h.fail = verdict.Refuse(verdict.NotHome, "lost")
		require.NoError(t, f.daemons["d1"].generate(context.Background(), next).err)
		require.Zero(t, f.engines.Get("e2").Imports)
	})
	runTransferFleet(t, false, func(f *fleet, _ *fakeHolders, next structs.GenerateRequest) {
		require.NoError(t, f.daemons["d1"].generate(context.Background(), next).err)
		require.Zero(t, f.engines.Get("e2").Imports)
	})
}

func TestEngineThatLeavesDuringTheImportGetsNoCall(t *testing.T) {
	runTransferFleet(t, true, func(f *fleet, _ *fakeHolders, next structs.GenerateRequest) {
		f.engines.Change("e2", func(e *scriptedengine.Engine) { e.ImportTime = 1900 * time.Millisecond })
		next.Deadline = time.Now().Add(4 * time.Second)
		call := f.daemons["d1"].generateLater(context.Background(), next)
		time.Sleep(100 * time.Millisecond)
		f.engines.Change("e2", func(e *scriptedengine.Engine) { e.Leaving = true })
		got := <-call
		require.True(t, verdict.Is(got.err, verdict.NotRun), got.err)
		require.Zero(t, f.engines.Get("e2").Offered)
	})
}

func TestCancelStopsImport(t *testing.T) {
	runTransferFleet(t, true, func(f *fleet, _ *fakeHolders, next structs.GenerateRequest) {
		f.engines.Change("e1", func(e *scriptedengine.Engine) { e.HangExport = true })
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		begun := time.Now()
		require.Error(t, f.daemons["d1"].generate(ctx, next).err)
		require.Equal(t, 100*time.Millisecond, time.Since(begun))
	})
}
