package journal

import (
	"sync"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/objectapi"
)

// silence tells for how long the platform has answered no write. A conflict is
// an answer: the platform takes writes, only not this one.
type silence struct {
	mu    sync.Mutex
	since time.Time // of the first write without an answer after the last one with
}

// note records the outcome of a write.
func (s *silence) note(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil || errors.Is(err, objectapi.ErrConflict) {
		s.since = time.Time{}
		return
	}
	if s.since.IsZero() {
		s.since = time.Now()
	}
}

// length is 0 when the last write was answered.
func (s *silence) length() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.since.IsZero() {
		return 0
	}
	return time.Since(s.since)
}
