package api

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/timers"
)

// States of a gate, in order.
const (
	gateOpen = iota
	// gateLeaving still admits requests, until the load balancer has stopped
	// sending them.
	gateLeaving
	gateClosed
)

// gate counts the requests in flight and rejects new ones once closed.
type gate struct {
	mu     sync.Mutex
	state  int
	active int
}

// enter admits and counts a request. It returns false if the gate is closed.
func (g *gate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state == gateClosed {
		return false
	}
	g.active++
	return true
}

// leave uncounts a request that was admitted by enter.
func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active--
}

// advance moves the gate to state; it never moves back to an earlier state.
func (g *gate) advance(state int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state = max(g.state, state)
}

// leaving reports whether a planned stop has begun.
func (g *gate) leaving() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state != gateOpen
}

// count returns the number of requests in flight.
func (g *gate) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.active
}

// drainPollInterval is the interval at which Drain checks for requests in flight.
const drainPollInterval = 10 * time.Millisecond

// Leave makes the health endpoint report that the daemon is leaving.
func (a *API) Leave() { a.gate.advance(gateLeaving) }

// Leaving reports whether a planned stop has begun.
func (a *API) Leaving() bool { return a.gate.leaving() }

// Active returns the number of requests in flight.
func (a *API) Active() int { return a.gate.count() }

// Drain reports the daemon as leaving, waits for BalancerDelay, then rejects new
// requests and waits until those in flight have ended or ctx ends.
func (a *API) Drain(ctx context.Context) error {
	a.Leave()
	if !timers.Sleep(ctx, a.config.BalancerDelay) {
		return errors.Wrap(ctx.Err(), "wait for the balancer delay")
	}
	a.gate.advance(gateClosed)
	for a.gate.count() > 0 {
		if !timers.Sleep(ctx, drainPollInterval) {
			return errors.Wrapf(ctx.Err(), "drain: %d requests still in flight", a.gate.count())
		}
	}
	return nil
}

// healthReply is the JSON body of the health endpoint.
type healthReply struct {
	Status string `json:"status"`
}

// health responds with 200 while the load balancer should send requests to this
// daemon, and with 503 otherwise.
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
