package dispatch_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/dispatch"
	"ibisline/internal/member"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

func service(name string, slots int) structs.Server {
	return structs.Server{
		Name: name, Kind: structs.KindService, Service: "orders", Region: "r1",
		State: structs.StateLive, Slots: slots,
	}
}

func slotRequest(deadline time.Duration) structs.SlotRequest {
	return structs.SlotRequest{Program: "p", Owner: "o", Service: "orders", Deadline: time.Now().Add(deadline)}
}

func TestSlotsAreBoundedOverAllDaemons(t *testing.T) {
	names := []string{"d1", "d2", "d3"}
	runFleet(t, dispatch.Config{}, names, []structs.Server{service("s1", 2)}, func(t *testing.T, f *fleet) {
		ctx := context.Background()
		first, err := f.daemons["d1"].AcquireSlot(ctx, slotRequest(time.Second))
		require.NoError(t, err)
		_, err = f.daemons["d2"].AcquireSlot(ctx, slotRequest(time.Second))
		require.NoError(t, err)
		_, err = f.daemons["d3"].AcquireSlot(ctx, slotRequest(time.Second))
		require.True(t, verdict.Is(err, verdict.NotRun))
		require.True(t, verdict.HasReason(err, verdict.DeadlinePassed))
		f.daemons["d1"].ReleaseSlot(first)
		f.daemons["d1"].ReleaseSlot(first)
		_, err = f.daemons["d3"].AcquireSlot(ctx, slotRequest(time.Second))
		require.NoError(t, err)
		_, err = f.daemons["d1"].AcquireSlot(ctx, slotRequest(time.Second))
		require.True(t, verdict.HasReason(err, verdict.DeadlinePassed))
	})
}

func TestCanceledWaitLeaksNoSlot(t *testing.T) {
	runFleet(t, dispatch.Config{}, []string{"d1", "d2"}, []structs.Server{service("s1", 1)}, func(t *testing.T, f *fleet) {
		held, err := f.daemons["d1"].AcquireSlot(context.Background(), slotRequest(time.Minute))
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		failed := make(chan error, 2)
		for _, name := range []string{"d1", "d2"} {
			go func() {
				_, err := f.daemons[name].AcquireSlot(ctx, slotRequest(time.Minute))
				failed <- err
			}()
		}
		synctest.Wait()
		cancel()
		f.daemons["d1"].ReleaseSlot(held)
		for range 2 {
			require.True(t, verdict.Is(<-failed, verdict.NotRun))
		}
		synctest.Wait()
		_, err = f.daemons["d2"].AcquireSlot(context.Background(), slotRequest(time.Minute))
		require.NoError(t, err)
	})
}

func TestCallsSpreadOverTheServersOfAService(t *testing.T) {
	far := service("s3", 10)
	far.Region = "r2"
	servers := []structs.Server{service("s1", 2), service("s2", 2), far}
	runFleet(t, dispatch.Config{}, []string{"d1"}, servers, func(t *testing.T, f *fleet) {
		used := map[string]int{}
		for range 4 {
			slot, err := f.daemons["d1"].AcquireSlot(context.Background(), slotRequest(time.Second))
			require.NoError(t, err)
			used[slot.Server.Name]++
		}
		require.Equal(t, map[string]int{"s1": 2, "s2": 2}, used)
	})
}

// TestSlotAcquiredAfterDispatcherFails kills the daemon that dispatches to the
// only server. The slot must be granted by its successor, without a refusal
// during the takeover.
func TestSlotAcquiredAfterDispatcherFails(t *testing.T) {
	names := []string{"d1", "d2", "d3"}
	runFleet(t, dispatch.Config{}, names, []structs.Server{service("s1", 2)}, func(t *testing.T, f *fleet) {
		owner, ok := member.Owner(f.daemons["d1"].view(), "r1", "s1")
		require.True(t, ok)
		f.daemons[owner.Name].kill()
		requester := names[0]
		if owner.Name == requester {
			requester = names[1]
		}
		time.AfterFunc(time.Second, func() { f.removeFromLive(owner.Name) })
		_, err := f.daemons[requester].AcquireSlot(context.Background(), slotRequest(10*time.Second))
		require.NoError(t, err)
	})
}
