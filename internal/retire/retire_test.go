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

// dialect accepts requests with the value "retire".
type dialect struct{}

func (dialect) ValidateRetirement(stored objectapi.Object) error {
	if string(stored.Value) != "retire" {
		return errors.New("not a request")
	}
	return nil
}

func (dialect) RetirementStatus(instance string, state retire.State) (string, []byte) {
	return "status/" + instance, []byte{'0' + byte(state)}
}

// instanceFixture is an instance that runs the retirement service.
type instanceFixture struct {
	store *objects.Store
	left  atomic.Bool
	// inUse is set while other daemons depend on the instance.
	inUse atomic.Bool
}

// Put implements objectapi.Store. It ignores the expected version, because the status
// object has a version of its own here and the service passes that of the request.
func (f *instanceFixture) Put(ctx context.Context, key string, value []byte, _ int64) (int64, error) {
	held, err := f.store.Get(ctx, key)
	if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
		return 0, err
	}
	return f.store.Put(ctx, key, value, held.Version)
}

// store reads from the fake store and writes through Put of the fixture.
type store struct {
	*objects.Store
	f *instanceFixture
}

func (s store) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	return s.f.Put(ctx, key, value, expected)
}

// state returns the reported state, or "" if there is none.
func (f *instanceFixture) state() string {
	object, err := f.store.Get(context.Background(), "status/k1")
	if err != nil {
		return ""
	}
	return string(object.Value)
}

// putRequest writes a request object for an instance.
func (f *instanceFixture) putRequest(t *testing.T, instance, text string) {
	_, err := f.store.Put(context.Background(), prefix+instance, []byte(text), objectapi.NoVersion)
	require.NoError(t, err)
}

func withInstance(t *testing.T, test func(t *testing.T, f *instanceFixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := &instanceFixture{store: objects.New()}
		f.inUse.Store(true)
		node := peers.New(nil).Join(structs.Instance{Name: "k1"})
		platform := store{Store: f.store, f: f}
		requests := objectcache.New(objectcache.Config{}, prefix, platform, node, node, metrics.NewSet(), testbed.NoLog())
		service := retire.New(retire.Config{}, "k1", retire.Deps{
			Dialect: dialect{}, Requests: requests, Store: platform, Log: testbed.NoLog(),
			Leave: func() { f.left.Store(true) },
			Empty: func(ctx context.Context) (bool, error) {
				_, _, err := f.store.List(ctx, "records/")
				return !f.inUse.Load(), err
			},
		})
		cacheLoop, serviceLoop := testbed.Start(requests.Run), testbed.Start(service.Run)
		defer cacheLoop.Stop()
		defer serviceLoop.Stop()
		time.Sleep(time.Second)
		test(t, f)
	})
}

func TestInstanceIsRetiredOnRequest(t *testing.T) {
	withInstance(t, func(t *testing.T, f *instanceFixture) {
		f.putRequest(t, "k1", "retire")
		time.Sleep(2 * time.Second)
		require.True(t, f.left.Load())
		require.Equal(t, "0", f.state(), "another daemon depends on it")
		f.inUse.Store(false)
		time.Sleep(time.Second)
		require.Equal(t, "1", f.state())
	})
}

func TestForeignAndInvalidRequestsAreIgnored(t *testing.T) {
	withInstance(t, func(t *testing.T, f *instanceFixture) {
		f.putRequest(t, "k2", "retire")
		f.putRequest(t, "k1", "invalid")
		time.Sleep(5 * time.Second)
		require.False(t, f.left.Load())
		require.Empty(t, f.state())
	})
}

func TestCompletionIsReportedAfterOutage(t *testing.T) {
	withInstance(t, func(t *testing.T, f *instanceFixture) {
		f.putRequest(t, "k1", "retire")
		time.Sleep(time.Second)
		f.store.SetFaults(objects.Faults{Outage: true})
		f.inUse.Store(false)
		time.Sleep(5 * time.Second)
		f.store.SetFaults(objects.Faults{})
		require.Equal(t, "0", f.state())
		time.Sleep(time.Second)
		require.Equal(t, "1", f.state())
	})
}
