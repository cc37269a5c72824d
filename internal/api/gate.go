package api

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// state of a gate.
const (
	gateOpen = iota
	// gateLeaving still lets requests in while the balancer notices.
	gateLeaving
	gateShut
)

// gate counts the requests under way and refuses new ones once shut.
type gate struct {
	mu     sync.Mutex
	state  int
	active int
}

// enter counts a request, and returns false when the gate is shut.
func (g *gate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state == gateShut {
		return false
	}
	g.active++
	return true
}

// leave ends a request that entered.
func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active--
}

// set moves the gate on; it never moves back.
func (g *gate) set(state int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state = max(g.state, state)
}

// leaving is true from the start of the drain.
func (g *gate) leaving() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state != gateOpen
}

// count returns the number of requests under way.
func (g *gate) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.active
}

// drainPoll is the time between looks at the requests under way while draining.
const drainPoll = 10 * time.Millisecond

// Leave makes the health endpoint say that the daemon is leaving.
func (a *API) Leave() { a.gate.set(gateLeaving) }

// Leaving is true from the start of a planned stop.
func (a *API) Leaving() bool { return a.gate.leaving() }

// Active returns the number of requests under way.
func (a *API) Active() int { return a.gate.count() }

// Drain lets the balancer notice, then refuses new requests and waits until
// those under way have ended, or ctx ends.
func (a *API) Drain(ctx context.Context) error {
	a.Leave()
	if !pause(ctx, a.config.BalancerDelay) {
		return errors.Wrap(ctx.Err(), "balancer delay cut short")
	}
	a.gate.set(gateShut)
	for a.gate.count() > 0 {
		if !pause(ctx, drainPoll) {
			return errors.Wrapf(ctx.Err(), "%d requests still under way", a.gate.count())
		}
	}
	return nil
}

// pause waits for d and returns false when ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// healthReply is the answer of the health endpoint.
type healthReply struct {
	Status string `json:"status"`
}

// health answers 200 while the balancer should send requests here, else 503.
func (a *API) health(w http.ResponseWriter, _ *http.Request) {
	if a.gate.leaving() {
		writeJSON(w, http.StatusServiceUnavailable, healthReply{Status: "leaving"})
		return
	}
	if !a.ready.Load() && !a.config.Ready() {
		writeJSON(w, http.StatusServiceUnavailable, healthReply{Status: "starting"})
		return
	}
	a.ready.Store(true)
	writeJSON(w, http.StatusOK, healthReply{Status: "live"})
}
