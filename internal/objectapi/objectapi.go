// Package objectapi is the client of the platform's versioned object store, which
// holds configuration, status and the durable objects of the system.
package objectapi

import (
	"context"

	"github.com/go-faster/errors"
)

// Object is a stored value of at most MaxValueBytes. All keys share one version
// counter, so versions also order the changes of different keys.
type Object struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"version"`
}

// Event is a change of one object. For a deletion, Value is empty and Version is
// the version of the deletion.
type Event struct {
	Object
	Deleted bool `json:"deleted,omitempty"`
}

// MaxValueBytes is the maximum size of a value on the platform.
const MaxValueBytes = 1 << 20

// NoVersion is the expected version of a Put whose object must not exist yet.
const NoVersion int64 = 0

// Errors returned by every Store. ErrConflict, ErrNotFound, ErrTooLarge and
// ErrUnavailable prove that a write did not take effect. After ErrUnknown it may
// have taken effect, or may still do so later.
var (
	ErrNotFound    = errors.New("object not found")
	ErrConflict    = errors.New("object version differs from the expected one")
	ErrTooLarge    = errors.New("value exceeds the platform's limit")
	ErrUnavailable = errors.New("platform unavailable, nothing was changed")
	ErrUnknown     = errors.New("outcome of the platform write is unknown")
	ErrCompacted   = errors.New("watch revision has been compacted, list again")
)

// Store is the object API. It is safe for concurrent use. Reads return
// ErrUnavailable, never ErrUnknown.
type Store interface {
	// Get returns one object or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes value if the object's version equals expected, and returns the
	// new version. Errors: ErrConflict, ErrTooLarge, ErrUnavailable, ErrUnknown.
	Put(ctx context.Context, key string, value []byte, expected int64) (int64, error)
	// Delete removes the object if its version equals expected.
	Delete(ctx context.Context, key string, expected int64) error
	// List returns all objects under prefix, sorted by key, and the revision of the
	// listing, from which a Watch can continue.
	List(ctx context.Context, prefix string) ([]Object, int64, error)
	// Watch waits for changes under prefix after the given revision. It returns the
	// changes in order and the revision to continue from, without events if the
	// wait ended first. After ErrCompacted the caller must call List again.
	Watch(ctx context.Context, prefix string, after int64) ([]Event, int64, error)
}
