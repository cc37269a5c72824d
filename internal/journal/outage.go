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
func (t *outageTimer) record(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err == nil || errors.Is(err, objectapi.ErrConflict) {
		t.since = time.Time{}
		return
	}
	if t.since.IsZero() {
		t.since = time.Now()
	}
}

// duration returns the time since the first unanswered write, or 0 if the last write
// was answered.
func (t *outageTimer) duration() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.since.IsZero() {
		return 0
	}
	return time.Since(t.since)
}
