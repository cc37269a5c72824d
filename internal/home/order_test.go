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

// blindStore is a platform whose writes take effect while nothing can be known
// of them, as long as it is blind.
type blindStore struct {
	objectapi.Store
	blind atomic.Bool
}

func (s *blindStore) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	version, err := s.Store.Put(ctx, key, value, expected)
	if s.blind.Load() {
		return 0, objectapi.ErrUnknown
	}
	return version, err
}

func (s *blindStore) Get(ctx context.Context, key string) (objectapi.Object, error) {
	if s.blind.Load() {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

// startBlind starts home "a" on a platform that can be made blind.
func (w *world) startBlind() (*daemon, *blindStore) {
	store := &blindStore{Store: w.objects}
	return w.startWith("a", func(d *Deps) { d.Store = store }), store
}

func TestIntentThatCannotBeWithdrawnMayHaveRun(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		d, store := w.startBlind()
		id := w.open(t, d, "p")
		store.blind.Store(true)
		_, err := d.Call(context.Background(), callRequest(id, "k"))
		require.True(t, verdict.Is(err, verdict.MayHaveRun), "%v", err)
		w.crash("a")
		_, err = w.start("b").Call(context.Background(), callRequest(id, "k"))
		require.True(t, verdict.Is(err, verdict.MayHaveRun), "%v", err)
		require.Zero(t, w.backends.sends(id+"/k"))
	})
}

func TestIntentMetByATakeoverMayHaveRun(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		a, store := w.startBlind()
		id := w.open(t, a, "p")
		store.blind.Store(true)
		failed := make(chan error, 1)
		go func() {
			_, err := a.Call(context.Background(), callRequest(id, "k"))
			failed <- err
		}()
		time.Sleep(100 * time.Millisecond)
		w.live.remove("a")
		b := w.start("b")
		_, err := b.Call(context.Background(), callRequest(id, "k"))
		require.True(t, verdict.Is(err, verdict.MayHaveRun), "%v", err)
		store.blind.Store(false)
		err = <-failed
		require.True(t, verdict.Is(err, verdict.MayHaveRun), "%v", err)
		require.Zero(t, w.backends.sends(id+"/k"))
	})
}

func TestWithdrawnCallCanBeSentAgain(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		d := w.start("a")
		id := w.open(t, d, "p")
		refused := false
		w.backends.onSend = func(structs.CallRequest, bool) error {
			if refused {
				return nil
			}
			refused = true
			return verdict.Refuse(verdict.BackendFailed, "connection refused")
		}
		_, err := d.Call(context.Background(), callRequest(id, "k"))
		require.True(t, verdict.Is(err, verdict.NotRun), "%v", err)
		w.crash("a")
		_, err = w.start("b").Call(context.Background(), callRequest(id, "k"))
		require.NoError(t, err)
		require.Equal(t, 1, w.backends.sends(id+"/k"))
	})
}

func TestPausedHomeSendsOnceAndTheNewHomeNever(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		a := w.start("a")
		id := w.open(t, a, "p")
		woken := make(chan struct{})
		reached := w.backends.hold("send", woken)
		go func() { _, _ = a.Call(context.Background(), callRequest(id, "k")) }()
		<-reached
		w.live.remove("a")
		b := w.start("b")
		_, err := b.Call(context.Background(), callRequest(id, "k"))
		require.True(t, verdict.Is(err, verdict.MayHaveRun), "%v", err)
		close(woken)
		time.Sleep(time.Second)
		_, err = b.Call(context.Background(), callRequest(id, "k"))
		require.True(t, verdict.Is(err, verdict.MayHaveRun), "%v", err)
		require.LessOrEqual(t, w.backends.sends(id+"/k"), 1)
	})
}

func TestLookUpSettlesACallOfADeadHome(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.backends.lookup = true
		a := w.start("a")
		id := w.open(t, a, "p")
		w.backends.onSend = func(_ structs.CallRequest, executed bool) error {
			if executed {
				w.objects.SetFaults(objects.Faults{Outage: true})
			}
			return nil
		}
		_, err := a.Call(context.Background(), callRequest(id, "k"))
		require.NoError(t, err)
		w.crash("a")
		w.objects.SetFaults(objects.Faults{})
		b := w.start("b")
		for range 2 {
			reply, err := b.Call(context.Background(), callRequest(id, "k"))
			require.NoError(t, err)
			require.True(t, reply.Replayed)
			require.Equal(t, "done k", string(reply.Body))
		}
		require.Equal(t, 1, w.backends.sends(id+"/k"))
	})
}

func TestAnswerThatWasNotKeptIsNotReplayedEmpty(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		d := w.start("a")
		id := w.open(t, d, "p")
		w.backends.body = make([]byte, objectapi.MaxValueBytes+1)
		_, err := d.Call(context.Background(), callRequest(id, "k"))
		require.NoError(t, err)
		_, err = d.Call(context.Background(), callRequest(id, "k"))
		require.True(t, verdict.Is(err, verdict.Ran), "%v", err)
		require.Equal(t, 1, w.backends.sends(id+"/k"))
	})
}
