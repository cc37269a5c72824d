package journal

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/objectapi"
)

// errDoubt means that a write may have taken effect or may still do so.
var errDoubt = errors.New("outcome of the shard write is not known yet")

// attempt is one write of the shard object.
type attempt struct {
	nonce string
	seq   int64 // newest change in it
}

// lostError means that another home wrote the shard object. successor is what
// it holds now.
type lostError struct{ successor *State }

func (*lostError) Error() string { return "shard is held by another home" }

// writer writes one shard object conditionally and finds out what became of
// writes whose replies were lost. It is used by one goroutine.
//
// All attempts between two known outcomes expect the same version, so at most
// one of them ever takes effect, however late. Once any does, the nonce in the
// object tells which one, and the others can only fail.
type writer struct {
	store   objectapi.Store
	key     string
	version int64
	limit   time.Duration // of one call of the platform
	doubt   []attempt
	silence silence
}

// write tries once. It returns the attempt that took effect, which may be an
// earlier one. Errors: objectapi.ErrUnavailable and objectapi.ErrTooLarge prove
// that this attempt did nothing; errDoubt asks for another call; *lostError.
func (w *writer) write(ctx context.Context, value []byte, try attempt) (attempt, error) {
	version, err := w.put(ctx, value)
	switch {
	case err == nil:
		w.settle(version)
		return try, nil
	case errors.Is(err, objectapi.ErrUnavailable), errors.Is(err, objectapi.ErrTooLarge):
		return attempt{}, err
	default:
		// A conflict is doubtful too: the client may have repeated a write whose
		// first reply was lost.
		w.doubt = append(w.doubt, try)
		return w.readBack(ctx)
	}
}

func (w *writer) put(ctx context.Context, value []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, w.limit)
	defer cancel()
	version, err := w.store.Put(ctx, w.key, value, w.version)
	w.silence.note(err)
	return version, err
}

// readBack looks for the nonce of an attempt in doubt.
func (w *writer) readBack(ctx context.Context) (attempt, error) {
	ctx, cancel := context.WithTimeout(ctx, w.limit)
	defer cancel()
	object, err := w.store.Get(ctx, w.key)
	if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
		return attempt{}, errDoubt
	}
	if object.Version == w.version {
		return attempt{}, errDoubt
	}
	state, err := Decode(object.Value)
	if err != nil {
		return attempt{}, err
	}
	for _, try := range w.doubt {
		if try.nonce == state.Nonce {
			w.settle(object.Version)
			return try, nil
		}
	}
	return attempt{}, &lostError{successor: state}
}

// settle notes the version of the object as this writer left it.
func (w *writer) settle(version int64) {
	w.version = version
	w.doubt = nil
}

// exposed is the newest change that a write in doubt may have stored.
func (w *writer) exposed() int64 {
	var newest int64
	for _, try := range w.doubt {
		newest = max(newest, try.seq)
	}
	return newest
}
