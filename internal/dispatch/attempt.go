package dispatch

import (
	"context"
	"maps"
	"time"

	"ibisline/internal/policy/placement"
	"ibisline/internal/structs"
)

// firstTokenWaitFactor is the multiple of the expected time to first token
// after which moving the call is considered.
const firstTokenWaitFactor = 2

// attempt is one execution of a model call at an engine. An attempt either
// emits text or is moved to another engine, never both.
type attempt struct {
	call   *routedCall
	server structs.Server
	// excluded holds this engine and those tried before. It is a copy, because
	// the first-token timer may still read it after the attempt has ended.
	excluded  map[string]bool
	startedAt time.Time
	cancel    context.CancelCauseFunc
	moved     bool
}

func newAttempt(call *routedCall, server structs.Server, cancel context.CancelCauseFunc) *attempt {
	excluded := maps.Clone(call.excluded)
	excluded[server.Name] = true
	return &attempt{call: call, server: server, excluded: excluded, startedAt: time.Now(), cancel: cancel}
}

// emit forwards text to the caller; it returns errMoved if the call was moved.
func (a *attempt) emit(text string) error {
	a.call.mu.Lock()
	if a.moved {
		a.call.mu.Unlock()
		return errMoved
	}
	a.call.emitted = true
	a.call.mu.Unlock()
	return a.call.emit(text)
}

// move cancels the attempt unless it has already emitted text.
func (a *attempt) move() {
	a.call.mu.Lock()
	defer a.call.mu.Unlock()
	if a.call.emitted {
		return
	}
	a.moved = true
	a.cancel(errMoved)
}

func (a *attempt) isMoved() bool {
	a.call.mu.Lock()
	defer a.call.mu.Unlock()
	return a.moved
}

func (a *attempt) hasEmitted() bool {
	a.call.mu.Lock()
	defer a.call.mu.Unlock()
	return a.call.emitted
}

// watchFirstToken moves the attempt when its first token is overdue and another
// engine is expected to be much faster. The returned function stops the timer.
func (d *Dispatcher) watchFirstToken(a *attempt) (stop func()) {
	if !d.config.Stragglers {
		return func() {}
	}
	timeout := d.firstTokenTimeout(a)
	var timer *time.Timer
	ready := make(chan struct{})
	timer = time.AfterFunc(timeout, func() {
		<-ready
		if a.hasEmitted() {
			return
		}
		if d.otherEngineFaster(a) && d.spendRetry() {
			a.move()
			return
		}
		timer.Reset(d.config.FirstTokenTarget)
	})
	close(ready)
	return func() { timer.Stop() }
}

// firstTokenTimeout is the time without a first token after which
// watchFirstToken considers moving the attempt.
func (d *Dispatcher) firstTokenTimeout(a *attempt) time.Duration {
	request := d.lengths.withExpectedPrompt(&a.call.request)
	here := d.placementEngine(d.candidateOf(&a.server), request, d.lastRun(request))
	expected := placement.TimeToFirstToken(d.placementRequest(request), here)
	return max(firstTokenWaitFactor*expected, d.config.FirstTokenTarget)
}

// otherEngineFaster reports whether the best other engine is expected to finish
// sooner by more than FirstTokenTarget. Once the first token is later than
// estimated, its remaining wait is assumed to equal the time waited so far.
func (d *Dispatcher) otherEngineFaster(a *attempt) bool {
	others := d.candidates(a.call.request.Model, a.excluded)
	if len(others) == 0 {
		return false
	}
	best := d.choose(&a.call.request, others)
	request := d.lengths.withExpectedPrompt(&a.call.request)
	run := d.lastRun(request)
	call := d.placementRequest(request)
	current := d.placementEngine(d.candidateOf(&a.server), request, run)
	alternative := d.placementEngine(best, request, run)
	expected := max(placement.TimeToFirstToken(call, current), time.Since(a.startedAt)) +
		placement.GenerationTime(call, current)
	return expected > placement.Estimate(call, alternative)+d.config.FirstTokenTarget
}
