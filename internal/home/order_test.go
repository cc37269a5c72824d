package home

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/fake/objects"
	"ibisline/internal/objectapi"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// unknownResultStore is a platform that, while unreachable is set, applies writes but
// reports their result as unknown, and fails reads.
type unknownResultStore struct {
	objectapi.Store
	unreachable atomic.Bool
}

func (s *unknownResultStore) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	version, err := s.Store.Put(ctx, key, value, expected)
	if s.unreachable.Load() {
		return 0, objectapi.ErrUnknown
	}
	return version, err
}

func (s *unknownResultStore) Get(ctx context.Context, key string) (objectapi.Object, error) {
	if s.unreachable.Load() {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

// startUnreachable starts home "a" on a platform that can be made unreachable.
func (cl *cluster) startUnreachable() (*daemon, *unknownResultStore) {
	store := &unknownResultStore{Store: cl.objects}
	return cl.startWith("a", func(d *Deps) { d.Store = store }), store
}

func TestIntentThatCannotBeWithdrawnMayHaveRun(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		d, store := cl.startUnreachable()
		id := cl.open(t, d, "p")
		store.unreachable.Store(true)
		_, err := d.Call(context.Background(), callRequest(id, "k"))
		require.True(t, verdict.Is(err, verdict.MayHaveRun), "%v", err)
		cl.crash("a")
		_, err = cl.start("b").Call(context.Background(), callRequest(id, "k"))
		require.True(t, verdict.Is(err, verdict.MayHaveRun), "%v", err)
		require.Zero(t, cl.backends.sends(id+"/k"))
	})
}

func TestIntentDuringATakeoverMayHaveRun(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		a, store := cl.startUnreachable()
		id := cl.open(t, a, "p")
		store.unreachable.Store(true)
		failed := make(chan error, 1)
		go func() {
			_, err := a.Call(context.Background(), callRequest(id, "k"))
			failed <- err
		}()
		time.Sleep(100 * time.Millisecond)
		cl.membership.remove("a")
		b := cl.start("b")
		_, err := b.Call(context.Background(), callRequest(id, "k"))
		require.True(t, verdict.Is(err, verdict.MayHaveRun), "%v", err)
		store.unreachable.Store(false)
		err = <-failed
		require.True(t, verdict.Is(err, verdict.MayHaveRun), "%v", err)
		require.Zero(t, cl.backends.sends(id+"/k"))
	})
}

func TestWithdrawnCallCanBeSentAgain(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		d := cl.start("a")
		id := cl.open(t, d, "p")
		refused := false
		cl.backends.onSend = func(structs.CallRequest, bool) error {
			if refused {
				return nil
			}
			refused = true
			return verdict.Refuse(verdict.BackendFailed, "connection refused")
		}
		_, err := d.Call(context.Background(), callRequest(id, "k"))
		require.True(t, verdict.Is(err, verdict.NotRun), "%v", err)
		cl.crash("a")
		_, err = cl.start("b").Call(context.Background(), callRequest(id, "k"))
		require.NoError(t, err)
		require.Equal(t, 1, cl.backends.sends(id+"/k"))
	})
}

func TestPausedHomeSendsOnceAndTheNewHomeNever(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		a := cl.start("a")
		id := cl.open(t, a, "p")
		resume := make(chan struct{})
		reached := cl.backends.blockAt("send", resume)
		go func() { _, _ = a.Call(context.Background(), callRequest(id, "k")) }()
		<-reached
		cl.membership.remove("a")
		b := cl.start("b")
		_, err := b.Call(context.Background(), callRequest(id, "k"))
		require.True(t, verdict.Is(err, verdict.MayHaveRun), "%v", err)
		close(resume)
		time.Sleep(time.Second)
		_, err = b.Call(context.Background(), callRequest(id, "k"))
		require.True(t, verdict.Is(err, verdict.MayHaveRun), "%v", err)
		require.LessOrEqual(t, cl.backends.sends(id+"/k"), 1)
	})
}

func TestLookUpReturnsTheOutcomeOfACallOfADeadHome(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		cl.backends.lookup = true
		a := cl.start("a")
		id := cl.open(t, a, "p")
		cl.backends.onSend = func(_ structs.CallRequest, executed bool) error {
			if executed {
				cl.objects.SetFaults(objects.Faults{Outage: true})
			}
			return nil
		}
		_, err := a.Call(context.Background(), callRequest(id, "k"))
		require.NoError(t, err)
		cl.crash("a")
		cl.objects.SetFaults(objects.Faults{})
		b := cl.start("b")
		for range 2 {
			reply, err := b.Call(context.Background(), callRequest(id, "k"))
			require.NoError(t, err)
			require.True(t, reply.Replayed)
			require.Equal(t, "done k", string(reply.Body))
		}
		require.Equal(t, 1, cl.backends.sends(id+"/k"))
	})
}

func TestOutcomeWithoutStoredBodyIsNotReplayedEmpty(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		d := cl.start("a")
		id := cl.open(t, d, "p")
		cl.backends.body = make([]byte, objectapi.MaxValueBytes+1)
		_, err := d.Call(context.Background(), callRequest(id, "k"))
		require.NoError(t, err)
		_, err = d.Call(context.Background(), callRequest(id, "k"))
		require.True(t, verdict.Is(err, verdict.Ran), "%v", err)
		require.Equal(t, 1, cl.backends.sends(id+"/k"))
	})
}
