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
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// runWithOneSlot runs test with one daemon and one engine that runs one request
// at a time, for a second each.
func runWithOneSlot(t *testing.T, config dispatch.Config, test func(t *testing.T, f *fleet, d *daemon)) {
	config.FixedWindow = 1
	config.Window = dispatch.WindowFixed
	runFleet(t, config, []string{"d1"}, engineServers("e1"), func(t *testing.T, f *fleet) {
		f.engines.Change("e1", func(e *scriptedengine.Engine) { e.Tokens, e.PieceInterval = 1, time.Second })
		test(t, f, f.daemons["d1"])
	})
}

func ownedCall(owner string, n int) structs.GenerateRequest {
	request := modelCall(fmt.Sprintf("%s-%d", owner, n))
	request.Owner, request.Entry = owner, owner
	return request
}

func TestFloodOfOneOwnerDoesNotDelayAnother(t *testing.T) {
	runWithOneSlot(t, dispatch.Config{}, func(t *testing.T, f *fleet, d *daemon) {
		var flood []<-chan outcome
		for i := range 20 {
			flood = append(flood, d.generateLater(context.Background(), ownedCall("flood", i)))
		}
		synctest.Wait()
		require.NoError(t, d.generate(context.Background(), ownedCall("light", 0)).err)
		require.LessOrEqual(t, f.engines.Get("e1").Started, 4)
		for _, call := range flood {
			require.NoError(t, (<-call).err)
		}
	})
}

func TestRequestIsDroppedAtItsDeadlineAndNeverSent(t *testing.T) {
	runWithOneSlot(t, dispatch.Config{}, func(t *testing.T, f *fleet, d *daemon) {
		running := d.generateLater(context.Background(), ownedCall("a", 0))
		synctest.Wait()
		late := ownedCall("a", 1)
		late.Deadline = time.Now().Add(500 * time.Millisecond)
		got := d.generate(context.Background(), late)
		require.True(t, verdict.Is(got.err, verdict.NotRun))
		require.True(t, verdict.HasReason(got.err, verdict.DeadlinePassed))
		require.NoError(t, (<-running).err)
		time.Sleep(5 * time.Second)
		require.Equal(t, []string{"a-0"}, f.engines.Get("e1").ProgramOrder)
	})
}

func TestRequestThatWouldBeLateIsRefusedAtOnce(t *testing.T) {
	runWithOneSlot(t, dispatch.Config{}, func(t *testing.T, f *fleet, d *daemon) {
		require.NoError(t, d.generate(context.Background(), ownedCall("a", 0)).err)
		var calls []<-chan outcome
		for i := range 10 {
			calls = append(calls, d.generateLater(context.Background(), ownedCall("a", 1+i)))
		}
		synctest.Wait()
		start := time.Now()
		late := ownedCall("a", 20)
		late.Deadline = start.Add(3 * time.Second)
		got := d.generate(context.Background(), late)
		require.True(t, verdict.Is(got.err, verdict.NotRun))
		require.Positive(t, verdict.From(got.err).RetryAfter)
		require.Zero(t, time.Since(start))
		for _, call := range calls {
			require.NoError(t, (<-call).err)
		}
	})
}

func TestFullQueueRefusesOnlyTheOwnerThatFillsIt(t *testing.T) {
	runWithOneSlot(t, dispatch.Config{QueueLimit: 5}, func(t *testing.T, f *fleet, d *daemon) {
		var flood []<-chan outcome
		for i := range 10 {
			flood = append(flood, d.generateLater(context.Background(), ownedCall("flood", i)))
		}
		synctest.Wait()
		require.NoError(t, d.generate(context.Background(), ownedCall("light", 0)).err)
		refused := 0
		for _, call := range flood {
			if got := <-call; got.err != nil {
				require.True(t, verdict.Is(got.err, verdict.NotRun))
				require.True(t, verdict.HasReason(got.err, verdict.QueueFull))
				refused++
			}
		}
		require.Equal(t, 5, refused)
	})
}

func TestAdaptiveWindowRespectsKVMemory(t *testing.T) {
	runFleet(t, dispatch.Config{}, []string{"d1"}, engineServers("e1"), func(t *testing.T, f *fleet) {
		f.engines.Change("e1", func(e *scriptedengine.Engine) { e.PieceInterval = time.Second })
		var calls []<-chan outcome
		for i := range 10 {
			request := ownedCall("a", i)
			request.PromptTokens, request.MaxTokens = 20_000, 5_000
			request.Deadline = time.Now().Add(time.Hour)
			calls = append(calls, f.daemons["d1"].generateLater(context.Background(), request))
		}
		for _, call := range calls {
			require.NoError(t, (<-call).err)
		}
		require.LessOrEqual(t, f.engines.Get("e1").Peak, 4)
	})
}

func TestSharesAreReported(t *testing.T) {
	runWithOneSlot(t, dispatch.Config{}, func(t *testing.T, f *fleet, d *daemon) {
		f.setEntries([]structs.Entry{{Name: "a", Owner: "o", Share: 3}, {Name: "idle", Owner: "o", Share: 1}})
		require.NoError(t, d.generate(context.Background(), ownedCall("a", 0)).err)
		calls := []<-chan outcome{
			d.generateLater(context.Background(), ownedCall("a", 1)),
			d.generateLater(context.Background(), ownedCall("a", 2)),
		}
		synctest.Wait()
		want := dispatch.Share{Entry: "a", Owner: "o", Granted: 3, ReceivedTokens: 101, Waiting: 1}
		require.Equal(t, []dispatch.Share{want}, d.Shares())
		for _, call := range calls {
			require.NoError(t, (<-call).err)
		}
	})
}
