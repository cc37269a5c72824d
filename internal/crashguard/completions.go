package crashguard

import "time"

const (
	// completedSlots is the number of completed requests that are remembered. A later one with
	// the same remainder replaces an earlier one.
	completedSlots = 4096
	// completionLifetime is how long a completed request cannot be the cause of a crash. It covers
	// the crashes of several servers at the same moment, while many callers send that request.
	completionLifetime = 10 * time.Second
)

// completion is a request that has completed, and when.
type completion struct {
	request Fingerprint
	at      time.Time
}

// RecordCompletion records that a server has answered a request completely: it did not cause the
// crashes so far, during which it was in flight by coincidence.
func (g *Guard) RecordCompletion(request Fingerprint) {
	g.mu.Lock()
	g.completed[request%completedSlots] = completion{request: request, at: time.Now()}
	changed := g.crashes.clearAll(request)
	g.mu.Unlock()
	if changed {
		g.Log.WithField("fingerprint", request).Info("request completed, its crashes are cleared")
		g.notifyChanged()
	}
}

// completedRecently reports whether a request has completed within completionLifetime. The caller
// holds mu.
func (g *Guard) completedRecently(request Fingerprint, now time.Time) bool {
	last := g.completed[request%completedSlots]
	return last.request == request && now.Sub(last.at) < completionLifetime
}
