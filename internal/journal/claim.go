package journal

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"ibisline/internal/objectapi"
	"ibisline/internal/structs"
)

// Head is a shard object as read from the platform, before it is claimed.
type Head struct {
	State   *State
	Version int64
}

// Read returns the shard object, or a new state if none is stored.
func Read(ctx context.Context, store objectapi.Store, id structs.ShardID) (Head, error) {
	object, err := store.Get(ctx, Key(id))
	if errors.Is(err, objectapi.ErrNotFound) {
		return Head{State: NewState(id)}, nil
	}
	if err != nil {
		return Head{}, errors.Wrap(err, "read shard")
	}
	state, err := Decode(object.Value)
	return Head{State: state, Version: object.Version}, err
}

// Key returns the platform key of a shard object.
func Key(id structs.ShardID) string { return structs.ShardPrefix + string(id) }

// Claim acquires the shard for the daemon self with a conditional update that
// expects the object version in head and raises the epoch. It returns ErrLost if
// another home updated the object first. A late write of the previous holder cannot
// overwrite anything written after the claim, because it expects an older version.
func Claim(ctx context.Context, store objectapi.Store, head Head, self string, cfg Config) (*Shard, error) {
	cfg = cfg.withDefaults()
	previous := segmentCount{epoch: head.State.Epoch, count: head.State.NextSegment}
	head.State.Claim(self)
	w := &writer{store: store, key: Key(head.State.Shard), version: head.Version, callTimeout: cfg.WriteTimeout}
	for {
		nonce := uuid.NewString()
		head.State.Nonce = nonce
		value, err := head.State.Encode()
		if err != nil {
			return nil, err
		}
		_, err = w.write(ctx, value, attempt{nonce: nonce})
		var lost *lostError
		switch {
		case err == nil:
			return newShard(store, head.State, previous, w, cfg), nil
		case errors.As(err, &lost):
			return nil, ErrLost
		case !errors.Is(err, errOutcomeUnknown):
			return nil, err
		}
		if err := sleep(ctx, cfg.RetryMin); err != nil {
			return nil, errors.Wrap(objectapi.ErrUnknown, "claim shard")
		}
	}
}

// sleep waits for d and returns the error of ctx if it ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
