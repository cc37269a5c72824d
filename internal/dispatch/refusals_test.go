package dispatch_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/backend"
	"ibisline/internal/dispatch"
	"ibisline/internal/fake/objects"
	"ibisline/internal/member"
	"ibisline/internal/objectapi"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// requests are the three kinds of requests to a dispatcher.
var requests = map[string]func(ctx context.Context, d *daemon) error{
	"generate": func(ctx context.Context, d *daemon) error {
		call := modelCall("p")
		call.Deadline = time.Now().Add(5 * time.Second)
		_, err := d.Generate(ctx, call, func(string) error { return nil })
		return err
	},
	"slot": func(ctx context.Context, d *daemon) error {
		_, err := d.AcquireSlot(ctx, slotRequest(5*time.Second))
		return err
	},
	"order": func(ctx context.Context, d *daemon) error { return d.Order(ctx, "e1", loadModel) },
}

// TestDispatcherRefusalsAreNotRun injects faults into a fleet of an engine, a
// service and two daemons, and sends each kind of request through each daemon. A
// refusal must have verdict NotRun.
func TestDispatcherRefusalsAreNotRun(t *testing.T) {
	faults := map[string]func(f *fleet){
		"no server is known":          func(f *fleet) { f.setServers(nil) },
		"no daemon is live":           func(f *fleet) { f.removeFromLive("d1"); f.removeFromLive("d2") },
		"one daemon lists no servers": func(f *fleet) { f.hideServers("d1") },
		"the other lists no servers":  func(f *fleet) { f.hideServers("d2") },
		"both daemons are draining": func(f *fleet) {
			for _, d := range f.daemons {
				_ = d.Drain(context.Background())
			}
		},
	}
	for name, change := range faults {
		for kind, ask := range requests {
			t.Run(name+"/"+kind, func(t *testing.T) {
				servers := append(engineServers("e1"), service("s1", 1))
				runFleet(t, dispatch.Config{}, []string{"d1", "d2"}, servers, func(t *testing.T, f *fleet) {
					time.Sleep(5 * time.Second)
					change(f)
					for _, d := range f.daemons {
						err := ask(context.Background(), d)
						// A daemon may still serve a request from its own state.
						if err != nil || strings.HasPrefix(name, "no ") {
							require.True(t, verdict.Is(err, verdict.NotRun), "%v", err)
						}
					}
				})
			})
		}
	}
}

func TestOrderWithoutLeaseIsNotRun(t *testing.T) {
	runOrderFleet(t, false, func(f *fleet, holder, other *daemon) {
		f.removeFromLive(holder.name)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		taken := f.engines.Get("e1").OrdersTaken
		err := other.Order(ctx, "e1", loadModel)
		require.True(t, verdict.HasReason(err, verdict.Canceled), "%v", err)
		f.store.SetFaults(objects.Faults{LateWrites: 1, LateBy: time.Hour})
		f.removeFromLive(other.name)
		third := f.start(dispatch.Config{}, "d3")
		err = third.Order(context.Background(), "e1", loadModel)
		require.True(t, verdict.HasReason(err, verdict.PlatformDown), "%v", err)
		require.True(t, verdict.Is(err, verdict.NotRun))
		f.setServers(append(f.servers, structs.Server{Name: "e2", Kind: structs.KindEngine, Region: "r1"}))
		_, err = f.store.Put(context.Background(), structs.OrderPrefix+"e2", []byte("x"), objectapi.NoVersion)
		require.NoError(t, err)
		owner, _ := member.Owner(third.view(), "r1", "e2")
		require.Equal(t, third.name, owner.Name)
		err = third.Order(context.Background(), "e2", backend.Order{Kind: backend.LoadModel})
		require.True(t, verdict.HasReason(err, verdict.Internal), "%v", err)
		require.True(t, verdict.Is(err, verdict.NotRun))
		require.Equal(t, taken, f.engines.Get("e1").OrdersTaken)
	})
}
