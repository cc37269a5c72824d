package dispatch

import (
	"time"

	"ibisline/internal/policy/fairshare"
	"ibisline/internal/policy/window"
)

const (
	// queuedPrefillFactor and queuedSteps define the time to the first piece
	// above which a request is assumed to have been queued in the engine: a
	// multiple of the prefill time plus a number of decode steps.
	queuedPrefillFactor = 2
	queuedSteps         = 4
)

// grant is the permission to run one request at a backend server. It also reports
// the progress of the request's stream to the window. It is not safe for
// concurrent use.
type grant struct {
	queue     *serverQueue
	item      *fairshare.Item
	need      window.Need
	grantedAt time.Time
	// sentAt is when the request was sent to the engine, after any import of its
	// KV cache.
	sentAt          time.Time
	started         bool
	firstTokenDelay time.Duration
	// prefillAhead is the number of prompt tokens computed before those of this
	// request, openStreams the number of streams open at its first piece.
	prefillAhead int
	openStreams  int
	lastPassedOn time.Time
}

// recordPiece records the arrival of a piece of the answer.
func (g *grant) recordPiece(now time.Time) {
	g.queue.mu.Lock()
	defer g.queue.mu.Unlock()
	if g.started {
		g.queue.window.RecordTokenGap(now.Sub(g.lastPassedOn), now)
		return
	}
	g.started = true
	g.firstTokenDelay = now.Sub(g.sentAt)
	g.openStreams = g.queue.window.Streams()
	g.queue.window.RecordFirstToken(g.need, now)
	g.queue.admitWaiting()
}

// recordPassedOn records that a piece was passed on. The time that the reader
// took is not counted as a token gap of the engine.
func (g *grant) recordPassedOn(now time.Time) { g.lastPassedOn = now }

// recordPrefill records the uncached prompt tokens computed before the first
// piece. If other prompts were computed first, the time is not a measure of the
// prefill rate and is ignored.
func (g *grant) recordPrefill(tokens int, now time.Time) {
	g.queue.mu.Lock()
	defer g.queue.mu.Unlock()
	if g.wasQueued(tokens) {
		g.queue.window.RecordLateFirstToken(g.openStreams, now)
		return
	}
	if g.prefillAhead == 0 {
		g.queue.window.RecordPrefill(tokens, g.firstTokenDelay)
	}
}

// wasQueued reports whether the first piece arrived so much later than the
// prefill takes that the engine must have queued the request. The caller must
// hold the queue's mutex.
func (g *grant) wasQueued(tokens int) bool {
	seconds := float64(g.prefillAhead+tokens) / g.queue.window.PrefillRate()
	expected := time.Duration(seconds * float64(time.Second))
	return g.firstTokenDelay > queuedPrefillFactor*expected+queuedSteps*g.queue.window.Gap(g.sentAt)
}

// addPrefill adds prompt tokens that should have been imported but have to be
// computed.
func (g *grant) addPrefill(tokens int) {
	g.queue.mu.Lock()
	defer g.queue.mu.Unlock()
	g.need = g.queue.window.AddPrefill(g.need, tokens)
}

// recordFinished records the cost and duration of a completed request.
func (g *grant) recordFinished(cost float64, now time.Time) {
	g.queue.mu.Lock()
	defer g.queue.mu.Unlock()
	g.queue.rate.recordFinished(cost, now.Sub(g.grantedAt))
}

// release ends the grant. actual is the cost in the units of the queue.
func (g *grant) release(actual float64) {
	g.queue.mu.Lock()
	defer g.queue.mu.Unlock()
	g.queue.window.End(g.need, g.started)
	g.queue.queue.Settle(g.item, actual)
	g.queue.admitWaiting()
}
