package retire_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"ibisline/internal/fake/objects"
	"ibisline/internal/fake/peers"
	"ibisline/internal/fake/testbed"
	"ibisline/internal/objectapi"
	"ibisline/internal/objectcache"
	"ibisline/internal/retire"
	"ibisline/internal/structs"
)

const prefix = "retirements/"

// dialect takes requests that are "please".
type dialect struct{}

func (dialect) Retirement(stored objectapi.Object) error {
	if string(stored.Value) != "please" {
		return errors.New("not a request")
	}
	return nil
}

func (dialect) RetirementStatus(instance string, state retire.State) (string, []byte) {
	return "status/" + instance, []byte{'0' + byte(state)}
}

// world is an instance that may have to be emptied.
type world struct {
	store *objects.Store
	left  atomic.Bool
	// relied is set while other daemons rely on the instance.
	relied atomic.Bool
}

// Put implements objectapi.Store: a status has a version of its own here.
func (w *world) Put(ctx context.Context, key string, value []byte, _ int64) (int64, error) {
	held, err := w.store.Get(ctx, key)
	if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
		return 0, err
	}
	return w.store.Put(ctx, key, value, held.Version)
}

// store joins the reads of the stand-in and the writes of the world.
type store struct {
	*objects.Store
	w *world
}

func (s store) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	return s.w.Put(ctx, key, value, expected)
}

// state returns what the operators were told, "" for nothing.
func (w *world) state() string {
	object, err := w.store.Get(context.Background(), "status/k1")
	if err != nil {
		return ""
	}
	return string(object.Value)
}

// ask writes an object among the operators' requests.
func (w *world) ask(t *testing.T, instance, text string) {
	_, err := w.store.Put(context.Background(), prefix+instance, []byte(text), objectapi.NoVersion)
	require.NoError(t, err)
}

func inWorld(t *testing.T, test func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{store: objects.New()}
		w.relied.Store(true)
		node := peers.New(nil).Join(structs.Instance{Name: "k1"})
		platform := store{Store: w.store, w: w}
		requests := objectcache.New(objectcache.Config{}, prefix, platform, node, node, metrics.NewSet(), testbed.NoLog())
		service := retire.New(retire.Config{}, "k1", retire.Deps{
			Dialect: dialect{}, Requests: requests, Store: platform, Log: testbed.NoLog(),
			Leave: func() { w.left.Store(true) },
			Empty: func(ctx context.Context) (bool, error) {
				_, _, err := w.store.List(ctx, "records/")
				return !w.relied.Load(), err
			},
		})
		feeding, running := testbed.Start(requests.Run), testbed.Start(service.Run)
		defer feeding.Stop()
		defer running.Stop()
		time.Sleep(time.Second)
		test(t, w)
	})
}

func TestInstanceIsEmptiedOnRequest(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.ask(t, "k1", "please")
		time.Sleep(2 * time.Second)
		require.True(t, w.left.Load())
		require.Equal(t, "0", w.state(), "it is not empty yet")
		w.relied.Store(false)
		time.Sleep(time.Second)
		require.Equal(t, "1", w.state())
	})
}

func TestRequestsForOthersAndUnreadableOnesAreLeftAlone(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.ask(t, "k2", "please")
		w.ask(t, "k1", "now!")
		time.Sleep(5 * time.Second)
		require.False(t, w.left.Load())
		require.Empty(t, w.state())
	})
}

func TestCompletionIsToldAfterAnOutage(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.ask(t, "k1", "please")
		time.Sleep(time.Second)
		w.store.SetFaults(objects.Faults{Outage: true})
		w.relied.Store(false)
		time.Sleep(5 * time.Second)
		w.store.SetFaults(objects.Faults{})
		require.Equal(t, "0", w.state())
		time.Sleep(time.Second)
		require.Equal(t, "1", w.state())
	})
}
