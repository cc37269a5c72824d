package dispatch

import (
	"time"

	"ibisline/internal/policy/fairshare"
	"ibisline/internal/policy/window"
)

const (
	// lateFactor and lateSteps bound the time to a first piece: a multiple of
	// the computation of the prompts and a number of steps of the engine.
	lateFactor = 2
	lateSteps  = 4
)

// grant is the right to run one request at a backend server. It also reports
// the progress of the request's stream to the window. It is used by one
// goroutine.
type grant struct {
	queue *serverQueue
	item  *fairshare.Item
	need  window.Need
	begun time.Time
	// sent is when the engine was given the request. An import of its KV cache
	// comes before.
	sent    time.Time
	started bool
	first   time.Duration
	// ahead is the number of prompt tokens computed before this one's, streams
	// the number of open streams when its first piece came.
	ahead   int
	streams int
	last    time.Time
}

// piece records that the next piece of the answer arrived.
func (g *grant) piece(now time.Time) {
	g.queue.mu.Lock()
	defer g.queue.mu.Unlock()
	if g.started {
		g.queue.window.RecordTokenGap(now.Sub(g.last), now)
		return
	}
	g.started = true
	g.first = now.Sub(g.sent)
	g.streams = g.queue.window.Streams()
	g.queue.window.RecordFirstToken(g.need, now)
	g.queue.fill()
}

// passed records that the piece was passed on. The time that its reader took is
// no gap of the engine.
func (g *grant) passed(now time.Time) { g.last = now }

// prefilled records the uncached prompt tokens that were computed before the
// first piece. Beside other prompts the time says nothing about the rate.
func (g *grant) prefilled(tokens int, now time.Time) {
	g.queue.mu.Lock()
	defer g.queue.mu.Unlock()
	if g.late(tokens) {
		g.queue.window.RecordLateFirstToken(g.streams, now)
		return
	}
	if g.ahead == 0 {
		g.queue.window.RecordPrefill(tokens, g.first)
	}
}

// late reports whether the first piece came much later than the prompts take to
// compute. The caller holds the queue's mutex.
func (g *grant) late(tokens int) bool {
	seconds := float64(g.ahead+tokens) / g.queue.window.PrefillRate()
	expected := time.Duration(seconds * float64(time.Second))
	return g.first > lateFactor*expected+lateSteps*g.queue.window.Gap(g.sent)
}

// recompute adds prompt tokens that were to be imported and have to be computed.
func (g *grant) recompute(tokens int) {
	g.queue.mu.Lock()
	defer g.queue.mu.Unlock()
	g.need = g.queue.window.AddPrefill(g.need, tokens)
}

// finished records a request that ran to its end.
func (g *grant) finished(cost float64, now time.Time) {
	g.queue.mu.Lock()
	defer g.queue.mu.Unlock()
	g.queue.pace.finished(cost, now.Sub(g.begun))
}

// release ends the grant; actual is the cost in the units of the queue.
func (g *grant) release(actual float64) {
	g.queue.mu.Lock()
	defer g.queue.mu.Unlock()
	g.queue.window.End(g.need, g.started)
	g.queue.queue.Settle(g.item, actual)
	g.queue.fill()
}
