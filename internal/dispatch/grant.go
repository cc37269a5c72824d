package dispatch

import (
	"time"

	"ibisline/internal/policy/fairshare"
	"ibisline/internal/policy/window"
)

// grant is the right to run one request at a backend server. It also reports
// the progress of the request's stream to the window. It is used by one
// goroutine.
type grant struct {
	queue *serverQueue
	item  *fairshare.Item
	need  window.Need
	alone bool
	// uncachedBound is the uncached part of the prompt by the home's estimate.
	uncachedBound int
	begun         time.Time
	started       bool
	first         time.Duration
	last          time.Time
}

// piece records that the next piece of the answer arrived.
func (g *grant) piece(now time.Time) {
	g.queue.mu.Lock()
	defer g.queue.mu.Unlock()
	if g.started {
		g.queue.window.Token(now.Sub(g.last), now)
		return
	}
	g.started = true
	g.first = now.Sub(g.begun)
	g.queue.window.FirstToken(g.need, now)
	g.queue.fill()
}

// passed records that the piece was passed on. The time that its reader took is
// no gap of the engine.
func (g *grant) passed(now time.Time) { g.last = now }

// prefilled records the uncached prompt tokens that were computed before the
// first piece. Beside other prompts the time says nothing about the rate.
func (g *grant) prefilled(tokens int) {
	if !g.alone {
		return
	}
	g.queue.mu.Lock()
	defer g.queue.mu.Unlock()
	g.queue.window.Prefilled(tokens, g.first)
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
