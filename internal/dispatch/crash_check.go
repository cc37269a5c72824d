package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/backend"
	"ibisline/internal/structs"
)

// crashProbeTimeout limits the requests that check whether an engine crashed.
const crashProbeTimeout = time.Second

// inFlightRequests holds the requests running at one engine, so that a crash is
// evaluated once for all the requests that it interrupted.
type inFlightRequests struct {
	mu       sync.Mutex
	requests map[*inFlightRequest]struct{}
}

// inFlightRequest is one request running at the engine. crashCheck is set from
// the start of a crash check that covers the request; only a check that finds no
// crash resets it.
type inFlightRequest struct {
	request    structs.GenerateRequest
	crashCheck *crashCheck
}

// crashCheck determines whether a lost connection was caused by an engine crash.
// It covers the requests that were in flight when it started.
type crashCheck struct {
	requests []*inFlightRequest
	done     chan struct{}
}

func newInFlightRequests() *inFlightRequests {
	return &inFlightRequests{requests: map[*inFlightRequest]struct{}{}}
}

func (r *inFlightRequests) begin(request structs.GenerateRequest) *inFlightRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := &inFlightRequest{request: request}
	r.requests[f] = struct{}{}
	return f
}

func (r *inFlightRequests) end(f *inFlightRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.requests, f)
}

// hasProgram reports whether a program has a request in flight at the engine.
func (r *inFlightRequests) hasProgram(program string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for f := range r.requests {
		if f.request.Program == program {
			return true
		}
	}
	return false
}

// joinCrashCheck returns the crash check that covers a request, and whether the
// caller has to run it. A new check covers all requests not covered by another.
func (r *inFlightRequests) joinCrashCheck(f *inFlightRequest) (*crashCheck, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f.crashCheck != nil {
		return f.crashCheck, false
	}
	check := &crashCheck{done: make(chan struct{})}
	for other := range r.requests {
		if other.crashCheck == nil {
			other.crashCheck = check
			check.requests = append(check.requests, other)
		}
	}
	return check, true
}

// clearCrashCheck ends a check that found no crash, so that a later connection
// loss of its requests starts a new one.
func (r *inFlightRequests) clearCrashCheck(check *crashCheck) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range check.requests {
		f.crashCheck = nil
	}
}

// handleConnectionLoss checks for a crash after the connection of a request was
// lost. After a crash it returns once the interrupted requests were reported to
// the other daemons or the time limit of the report has passed.
func (e *engine) handleConnectionLoss(ctx context.Context, f *inFlightRequest) {
	check, first := e.inFlight.joinCrashCheck(f)
	if !first {
		<-check.done
		return
	}
	defer close(check.done)
	// The check covers all requests, so the cancellation of this one must not
	// end it.
	ctx = context.WithoutCancel(ctx)
	if !e.hasCrashed(ctx) {
		e.inFlight.clearCrashCheck(check)
		return
	}
	e.metrics.crashes.Inc()
	e.cache.clear()
	requests := make([]structs.GenerateRequest, len(check.requests))
	for n, interrupted := range check.requests {
		requests[n] = interrupted.request
	}
	e.quarantine.recordCrash(ctx, e.name, requests)
}

// hasCrashed reports whether the engine is down, or has restarted without its
// KV memory.
func (e *engine) hasCrashed(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, crashProbeTimeout)
	defer cancel()
	server := e.currentServer()
	if _, err := e.client.Load(ctx, server); err != nil {
		if errors.Is(err, backend.ErrUnreachable) {
			e.setDown(true)
			return true
		}
		return errors.Is(err, backend.ErrTruncated)
	}
	held, err := e.client.ListKV(ctx, server)
	return err == nil && e.cache.memoryLost(held)
}
