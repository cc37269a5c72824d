package journal

import (
	"sync"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/objectapi"
)

// outageTimer measures how long the platform has not answered a write. A conflict counts
// as an answer, because the platform processes writes and refused only this one.
type outageTimer struct {
	mu    sync.Mutex
	since time.Time // end of the first unanswered write since the last answered one; zero if none
}

// record records the result of a write.
func (s *outageTimer) record(err error) {
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

// duration returns the time since the first unanswered write, or 0 if the last write
// was answered.
func (s *outageTimer) duration() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.since.IsZero() {
		return 0
	}
	return time.Since(s.since)
}
