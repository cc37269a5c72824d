package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/member"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

const (
	// reselectDelay is the delay before servers are selected again after none
	// accepted the request, because the membership view may be stale.
	reselectDelay = 100 * time.Millisecond
	// reselectTimeout limits the time for which servers are selected again.
	reselectTimeout = 5 * time.Second
	// maxAttempts is the maximum number of attempts of one call that may have
	// run.
	maxAttempts = 3
	// maxFullQueues is the number of refusals by a full queue after which a call
	// fails.
	maxFullQueues = 2
)

// errMoved is the cancellation cause of an attempt whose call moves to another
// engine.
var errMoved = errors.New("call moved to another engine")

// routedCall is the state of one model call in the router.
type routedCall struct {
	request  structs.GenerateRequest
	emit     func(text string) error
	excluded map[string]bool
	// attempts counts the failed attempts that may have run, fullQueues the
	// refusals by a full queue.
	attempts   int
	fullQueues int
	// engineFailed is set when an attempt failed at an engine.
	engineFailed bool

	mu      sync.Mutex
	emitted bool
}

// failure returns the error of the call. If an earlier attempt may have run, a
// NotRun verdict of the last attempt becomes MayHaveRun.
func (c *routedCall) failure(err error) error {
	result := *verdict.From(err)
	if c.attempts > 0 && result.Verdict == verdict.NotRun {
		result.Verdict = verdict.MayHaveRun
	}
	return &result
}

// Generate implements Router.
func (d *Dispatcher) Generate(
	ctx context.Context, request structs.GenerateRequest, emit func(text string) error,
) (structs.GenerateResult, error) {
	d.countRequest()
	request.Age = d.programAge(request.Root)
	generated, err := d.generate(ctx, request, emit)
	if err != nil {
		d.metrics.countFailure(err)
		return structs.GenerateResult{}, err
	}
	d.recordRun(request, generated)
	return generated, nil
}

// generate tries engines until one has run the call or the call fails.
func (d *Dispatcher) generate(
	ctx context.Context, request structs.GenerateRequest, emit func(text string) error,
) (structs.GenerateResult, error) {
	call := &routedCall{request: request, emit: emit, excluded: map[string]bool{}}
	giveUp := reselectDeadline(request.Deadline)
	var last error
	for {
		if err := d.quarantine.check(request); err != nil {
			return structs.GenerateResult{}, call.failure(err)
		}
		server, ok := d.pickEngine(call)
		if !ok {
			if call.fullQueues > 0 || !d.hasListedEngine(request.Model) || !waitToReselect(ctx, giveUp) {
				return structs.GenerateResult{}, call.failure(noServer(request.Model, last))
			}
			clear(call.excluded)
			continue
		}
		generated, err := d.runAt(ctx, server, call)
		if err == nil {
			return generated, nil
		}
		if !d.mayMove(ctx, call, err) {
			return structs.GenerateResult{}, call.failure(err)
		}
		d.metrics.moves.Inc()
		call.excluded[server.Name] = true
		last = err
	}
}

// noServer returns the error when no engine is left: the last failure, if any.
func noServer(model string, last error) error {
	if last != nil {
		return last
	}
	return verdict.Refuse(verdict.NoServer, "no engine serves model %q", model).RetryIn(time.Second)
}

// reselectDeadline returns the time until which servers are selected again.
func reselectDeadline(deadline time.Time) time.Time {
	limit := time.Now().Add(reselectTimeout)
	if !deadline.IsZero() && deadline.Before(limit) {
		return deadline
	}
	return limit
}

// waitToReselect waits for reselectDelay. It returns false if giveUp would pass
// or ctx ends.
func waitToReselect(ctx context.Context, giveUp time.Time) bool {
	if time.Until(giveUp) < reselectDelay {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(reselectDelay):
		return true
	}
}

// mayMove decides whether a failed call is retried at another engine. A model
// call is repeatable until text was emitted; after that, a new answer could differ
// from the text already emitted. A retry of an attempt that may have run makes
// the engines repeat work and is charged to the retry budget; a retry after a
// refusal costs nothing.
func (d *Dispatcher) mayMove(ctx context.Context, call *routedCall, err error) bool {
	failed := verdict.From(err)
	if failed.Verdict != verdict.NotRun {
		call.attempts++
	}
	if failed.Reason == verdict.BackendFailed || failed.Reason == verdict.BackendTimeout {
		call.engineFailed = true
	}
	if ctx.Err() != nil || call.emitted || call.attempts >= maxAttempts {
		return false
	}
	if errors.Is(err, errMoved) {
		return true
	}
	if failed.Reason == verdict.QueueFull {
		call.fullQueues++
		return call.fullQueues < maxFullQueues
	}
	if !movableReason(failed.Reason) {
		return false
	}
	return failed.Verdict == verdict.NotRun || d.spendRetry()
}

// movableReason reports whether a call that failed for this reason may succeed
// at another engine.
func movableReason(reason verdict.Reason) bool {
	switch reason {
	case verdict.NoServer, verdict.PeerLost, verdict.BackendFailed, verdict.BackendTimeout, verdict.NotHome, verdict.Stopping:
		return true
	default:
		return false
	}
}

// runAt runs one attempt of the call at an engine.
func (d *Dispatcher) runAt(
	ctx context.Context, server structs.Server, call *routedCall,
) (structs.GenerateResult, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a := newAttempt(call, server, cancel)
	stop := d.watchFirstToken(a)
	defer stop()
	request := call.request
	request.Source = d.sourceFor(call, &server)
	generated, err := d.sendTo(ctx, server, request, a.emit)
	if a.isMoved() {
		return structs.GenerateResult{}, verdict.Wrap(errMoved, verdict.MayHaveRun, verdict.BackendTimeout,
			"no first token in time")
	}
	return generated, err
}

// sendTo sends the request to the engine's dispatcher, local or remote.
func (d *Dispatcher) sendTo(
	ctx context.Context, server structs.Server, request structs.GenerateRequest, emit func(text string) error,
) (structs.GenerateResult, error) {
	owner, ok := member.Owner(d.deps.View, server.Region, server.Name)
	if !ok {
		return structs.GenerateResult{}, verdict.Refuse(verdict.NoServer,
			"no daemon is live to dispatch to %s", server.Name)
	}
	expected := d.lengths.withExpectedPrompt(&request)
	uncached := d.uncachedAt(d.candidateOf(&server), expected, d.lastRun(expected))
	d.statusCache.addSentRequest(server.Name, min(uncached, max(expected.PromptTokens-expected.Source.Tokens, 0)))
	if server.Region != d.deps.Region {
		d.metrics.crossRegionPromptTokens.Add(request.PromptTokens)
	}
	if owner.Name != d.deps.Self {
		remote := generateRequest{Engine: server.Name, Request: request, TimeLeft: remainingUntil(request.Deadline)}
		return d.runRemote(ctx, owner.Name, remote, emit)
	}
	e := d.engineOf(server)
	generated, err := e.run(ctx, request, emit)
	d.statusCache.put(e.status(), time.Now())
	return generated, err
}

// ReleaseKV implements Router. It calls the engine directly, because a release
// needs no slot in the engine's queue.
func (d *Dispatcher) ReleaseKV(ctx context.Context, engine, program string) error {
	server, ok := d.findServer(engine)
	if !ok {
		return d.confirmDelisted(engine)
	}
	err := d.deps.Engines.ReleaseKV(ctx, server, program)
	if e := d.knownEngine(engine); e != nil && err == nil {
		e.cache.remove(program)
	}
	return releaseResult(err)
}
