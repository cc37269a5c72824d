package dispatch

import (
	"context"
	"maps"
	"time"

	"ibisline/internal/policy/placement"
	"ibisline/internal/structs"
)

// patienceFactor is how many times the expected wait for the first token is
// waited before a move is considered.
const patienceFactor = 2

// attempt is one try of a model call at an engine. Either its first text is
// passed on or the call moves, never both.
type attempt struct {
	generation *generation
	server     structs.Server
	// excluded are the engines tried before and this one. It is a copy, because
	// a watch of the first token may still look at it when the attempt is over.
	excluded map[string]bool
	begun    time.Time
	cancel   context.CancelCauseFunc
	moved    bool
}

func newAttempt(g *generation, server structs.Server, cancel context.CancelCauseFunc) *attempt {
	excluded := maps.Clone(g.excluded)
	excluded[server.Name] = true
	return &attempt{generation: g, server: server, excluded: excluded, begun: time.Now(), cancel: cancel}
}

// emit passes text on, unless the call was moved.
func (a *attempt) emit(text string) error {
	a.generation.mu.Lock()
	if a.moved {
		a.generation.mu.Unlock()
		return errMoved
	}
	a.generation.emitted = true
	a.generation.mu.Unlock()
	return a.generation.emit(text)
}

// move ends the attempt if no text was passed on.
func (a *attempt) move() {
	a.generation.mu.Lock()
	defer a.generation.mu.Unlock()
	if a.generation.emitted {
		return
	}
	a.moved = true
	a.cancel(errMoved)
}

func (a *attempt) isMoved() bool {
	a.generation.mu.Lock()
	defer a.generation.mu.Unlock()
	return a.moved
}

func (a *attempt) hasEmitted() bool {
	a.generation.mu.Lock()
	defer a.generation.mu.Unlock()
	return a.generation.emitted
}

// watchFirstToken moves the attempt when its first token does not come and
// another engine is expected to be much faster. It returns the end of the watch.
func (d *Dispatcher) watchFirstToken(a *attempt) (stop func()) {
	if !d.config.Stragglers {
		return func() {}
	}
	patience := d.patience(a)
	var timer *time.Timer
	ready := make(chan struct{})
	timer = time.AfterFunc(patience, func() {
		<-ready
		if a.hasEmitted() {
			return
		}
		if d.fasterElsewhere(a) && d.spendRetry() {
			a.move()
			return
		}
		timer.Reset(d.config.FirstTokenTarget)
	})
	close(ready)
	return func() { timer.Stop() }
}

// patience is the time after which a missing first token is looked into.
func (d *Dispatcher) patience(a *attempt) time.Duration {
	request := d.lengths.expected(&a.generation.request)
	here := d.placementEngine(d.candidateOf(&a.server), request, d.lastRun(request))
	expected := placement.TimeToFirstToken(d.placementRequest(request), here)
	return max(patienceFactor*expected, d.config.FirstTokenTarget)
}

// fasterElsewhere reports whether the best other engine is expected to finish
// sooner by more than the target for a first token. A first token that is late
// by the estimate is taken to be as long away as it was waited for already.
func (d *Dispatcher) fasterElsewhere(a *attempt) bool {
	others := d.candidates(a.generation.request.Model, a.excluded)
	if len(others) == 0 {
		return false
	}
	best := d.choose(&a.generation.request, others)
	request := d.lengths.expected(&a.generation.request)
	run := d.lastRun(request)
	call := d.placementRequest(request)
	here := d.placementEngine(d.candidateOf(&a.server), request, run)
	there := d.placementEngine(best, request, run)
	expected := max(placement.TimeToFirstToken(call, here), time.Since(a.begun)) + placement.GenerationTime(call, here)
	return expected > placement.Estimate(call, there)+d.config.FirstTokenTarget
}
