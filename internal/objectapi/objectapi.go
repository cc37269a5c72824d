// Package objectapi is the client side of the platform's versioned object API,
// which holds configuration, status and the system's own durable objects.
package objectapi

import (
	"context"

	"github.com/go-faster/errors"
)

// Object is a stored value of at most MaxValueBytes. Versions come from one
// counter of the whole API, so that they also order changes of different keys.
type Object struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"version"`
}

// Event is a change of one object. A deleted object has no Value; Version is
// then the version of the deletion.
type Event struct {
	Object
	Deleted bool `json:"deleted,omitempty"`
}

// MaxValueBytes is the platform's limit for one value.
const MaxValueBytes = 1 << 20

// NoVersion as the expected version of Put means that the object must not exist.
const NoVersion int64 = 0

// Errors returned by every Store. Conflict, NotFound, TooLarge and Unavailable
// are proofs that a write did not take effect. Unknown is none: the write may
// have taken effect, or may still do so later.
var (
	ErrNotFound    = errors.New("object not found")
	ErrConflict    = errors.New("object version differs from the expected one")
	ErrTooLarge    = errors.New("value exceeds the platform's limit")
	ErrUnavailable = errors.New("platform unavailable, nothing was changed")
	ErrUnknown     = errors.New("outcome of the platform write is unknown")
	ErrCompacted   = errors.New("watch position is no longer kept, list again")
)

// Store is the object API. It is safe for concurrent use. Reads fail with
// ErrUnavailable, never with ErrUnknown.
type Store interface {
	// Get returns one object or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes value if the object's version equals expected, and returns the
	// new version. Errors: ErrConflict, ErrTooLarge, ErrUnavailable, ErrUnknown.
	Put(ctx context.Context, key string, value []byte, expected int64) (int64, error)
	// Delete removes the object if its version equals expected.
	Delete(ctx context.Context, key string, expected int64) error
	// List returns all objects under prefix, sorted by key, and the revision of
	// the API as of which they are listed.
	List(ctx context.Context, prefix string) ([]Object, int64, error)
	// Watch waits for changes under prefix after the given revision. It returns
	// the changes in order and the revision up to which it looked; no events
	// when the wait of the client ended first. ErrCompacted asks for a List.
	Watch(ctx context.Context, prefix string, after int64) ([]Event, int64, error)
}
