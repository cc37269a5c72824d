package journal

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/objectapi"
)

// errOutcomeUnknown is returned when a write may have taken effect or may still do so.
var errOutcomeUnknown = errors.New("outcome of the shard write is unknown")

// attempt identifies one write of the shard object.
type attempt struct {
	nonce string
	seq   int64 // sequence number of its newest change
}

// lostError is returned when another home has written the shard object. successor is
// the state found in it.
type lostError struct{ successor *State }

func (*lostError) Error() string { return "shard is held by another home" }

// writer writes one shard object conditionally and resolves the outcome of writes
// whose replies were lost. It is used by one goroutine.
//
// All attempts between two known outcomes expect the same version, so at most
// one of them ever takes effect, however late. Once one did, the nonce in the
// object identifies it, and the others can only fail.
type writer struct {
	store       objectapi.Store
	key         string
	version     int64
	callTimeout time.Duration // of one platform call
	unresolved  []attempt     // outcome unknown
	outage      outageTimer
}

// write performs one attempt and returns the attempt that took effect, which may be
// an earlier one. objectapi.ErrUnavailable and objectapi.ErrTooLarge prove that this
// attempt had no effect. After errOutcomeUnknown the caller has to call write again. A
// *lostError means that another home has written the object.
func (w *writer) write(ctx context.Context, value []byte, att attempt) (attempt, error) {
	version, err := w.put(ctx, value)
	switch {
	case err == nil:
		w.resolve(version)
		return att, nil
	case errors.Is(err, objectapi.ErrUnavailable), errors.Is(err, objectapi.ErrTooLarge):
		return attempt{}, err
	default:
		// The outcome is unknown after a conflict, too: the client may have
		// retried a write whose first reply was lost.
		w.unresolved = append(w.unresolved, att)
		return w.readBack(ctx)
	}
}

func (w *writer) put(ctx context.Context, value []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, w.callTimeout)
	defer cancel()
	version, err := w.store.Put(ctx, w.key, value, w.version)
	w.outage.record(err)
	return version, err
}

// readBack reads the object and searches the attempts with an unknown outcome for
// its nonce.
func (w *writer) readBack(ctx context.Context) (attempt, error) {
	ctx, cancel := context.WithTimeout(ctx, w.callTimeout)
	defer cancel()
	object, err := w.store.Get(ctx, w.key)
	if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
		return attempt{}, errOutcomeUnknown
	}
	if object.Version == w.version {
		return attempt{}, errOutcomeUnknown
	}
	state, err := Decode(object.Value)
	if err != nil {
		return attempt{}, err
	}
	for _, att := range w.unresolved {
		if att.nonce == state.Nonce {
			w.resolve(object.Version)
			return att, nil
		}
	}
	return attempt{}, &lostError{successor: state}
}

// resolve records the version written by this writer and clears the attempts with an
// unknown outcome.
func (w *writer) resolve(version int64) {
	w.version = version
	w.unresolved = nil
}

// maybeStored returns the highest sequence number among the attempts with an unknown
// outcome, or 0.
func (w *writer) maybeStored() int64 {
	var newest int64
	for _, att := range w.unresolved {
		newest = max(newest, att.seq)
	}
	return newest
}
