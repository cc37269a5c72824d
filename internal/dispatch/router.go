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
	// repickDelay is the wait before a server is sought again when none took
	// the request; the view of the members may be behind.
	repickDelay = 100 * time.Millisecond
	// repickLimit bounds the search while no listed engine takes work.
	repickLimit = 5 * time.Second
	// maxTries bounds the tries of one call that may have run.
	maxTries = 3
	// maxFull bounds the full queues that one call is offered to.
	maxFull = 2
)

// errMoved is the cause of an attempt that ended to move its call elsewhere.
var errMoved = errors.New("call moved to another engine")

// generation is one model call on its way through the router.
type generation struct {
	request  structs.GenerateRequest
	emit     func(text string) error
	excluded map[string]bool
	// tries counts the tries that ended without proof that they did not run,
	// full the refusals by a full queue.
	tries int
	full  int
	// broke is set when an engine failed a try.
	broke bool

	mu      sync.Mutex
	emitted bool
}

// failure is the error of the whole call. A refusal of the last try does not
// hide that an earlier one may have run.
func (g *generation) failure(err error) error {
	result := *verdict.From(err)
	if g.tries > 0 && result.Verdict == verdict.NotRun {
		result.Verdict = verdict.MayHaveRun
	}
	return &result
}

// Generate implements Router.
func (d *Dispatcher) Generate(ctx context.Context, request structs.GenerateRequest, emit func(text string) error) (structs.Generated, error) {
	d.countRequest()
	request.Age = d.ageOf(request.Root)
	generated, err := d.generate(ctx, request, emit)
	if err != nil {
		d.measures.refused(err)
		return structs.Generated{}, err
	}
	d.learn(request, generated)
	return generated, nil
}

// generate tries engines until one has run the call.
func (d *Dispatcher) generate(ctx context.Context, request structs.GenerateRequest, emit func(text string) error) (structs.Generated, error) {
	g := &generation{request: request, emit: emit, excluded: map[string]bool{}}
	giveUp := repickUntil(request.Deadline)
	var last error
	for {
		if err := d.quarantined.check(request); err != nil {
			return structs.Generated{}, g.failure(err)
		}
		server, ok := d.pickEngine(g)
		if !ok {
			if g.full > 0 || !d.listed(request.Model) || !waitToRepick(ctx, giveUp) {
				return structs.Generated{}, g.failure(noServer(request.Model, last))
			}
			clear(g.excluded)
			continue
		}
		generated, err := d.runAt(ctx, server, g)
		if err == nil {
			return generated, nil
		}
		if !d.mayMove(ctx, g, err) {
			return structs.Generated{}, g.failure(err)
		}
		d.measures.moves.Inc()
		g.excluded[server.Name] = true
		last = err
	}
}

// noServer is the error when no engine is left: the last failure, if any.
func noServer(model string, last error) error {
	if last != nil {
		return last
	}
	return verdict.Refuse(verdict.NoServer, "no engine serves model %q", model).RetryIn(time.Second)
}

// repickUntil is the time until which engines are sought.
func repickUntil(deadline time.Time) time.Time {
	limit := time.Now().Add(repickLimit)
	if !deadline.IsZero() && deadline.Before(limit) {
		return deadline
	}
	return limit
}

// waitToRepick waits a moment, and returns false when it is too late.
func waitToRepick(ctx context.Context, giveUp time.Time) bool {
	if time.Until(giveUp) < repickDelay {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(repickDelay):
		return true
	}
}

// mayMove decides whether a failed call is tried at another engine. A model call
// is repeatable, but once text was passed on the new answer could differ. A try
// that may have run costs the engines work a second time and is paid from the
// retry budget; a refusal costs them nothing.
func (d *Dispatcher) mayMove(ctx context.Context, g *generation, err error) bool {
	failed := verdict.From(err)
	if failed.Verdict != verdict.NotRun {
		g.tries++
	}
	if failed.Reason == verdict.BackendFailed || failed.Reason == verdict.BackendTimeout {
		g.broke = true
	}
	if ctx.Err() != nil || g.emitted || g.tries >= maxTries {
		return false
	}
	if errors.Is(err, errMoved) {
		return true
	}
	if failed.Reason == verdict.QueueFull {
		g.full++
		return g.full < maxFull
	}
	if !movable(failed.Reason) {
		return false
	}
	return failed.Verdict == verdict.NotRun || d.spendRetry()
}

// movable reports whether another engine may do better.
func movable(reason verdict.Reason) bool {
	switch reason {
	case verdict.NoServer, verdict.PeerLost, verdict.BackendFailed, verdict.BackendTimeout, verdict.NotHome, verdict.Stopping:
		return true
	default:
		return false
	}
}

// runAt runs the request at one engine, through its dispatcher.
func (d *Dispatcher) runAt(ctx context.Context, server structs.Server, g *generation) (structs.Generated, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a := newAttempt(g, server, cancel)
	stop := d.watchFirstToken(a)
	defer stop()
	request := g.request
	request.Source = d.sourceFor(g, &server)
	generated, err := d.sendTo(ctx, server, request, a.emit)
	if a.isMoved() {
		return structs.Generated{}, verdict.Wrap(errMoved, verdict.MayHaveRun, verdict.BackendTimeout, "no first token in time")
	}
	return generated, err
}

// sendTo hands the request to the engine's dispatcher, here or elsewhere.
func (d *Dispatcher) sendTo(ctx context.Context, server structs.Server, request structs.GenerateRequest, emit func(text string) error) (structs.Generated, error) {
	owner, ok := member.Owner(d.deps.View, server.Region, server.Name)
	if !ok {
		return structs.Generated{}, verdict.Refuse(verdict.NoServer, "no daemon is live to dispatch to %s", server.Name)
	}
	expected := d.lengths.expected(&request)
	uncached := d.uncachedAt(d.candidateOf(&server), expected, d.lastRun(expected))
	d.board.sent(server.Name, min(uncached, max(expected.PromptTokens-expected.Source.Tokens, 0)))
	if server.Region != d.deps.Region {
		d.measures.farPrompts.Add(request.PromptTokens)
	}
	if owner.Name != d.deps.Self {
		order := generateOrder{Engine: server.Name, Request: request, Wait: waitUntil(request.Deadline)}
		return d.runRemote(ctx, owner.Name, order, emit)
	}
	e := d.engineOf(server)
	generated, err := e.run(ctx, request, emit)
	d.board.put(e.status(), time.Now())
	return generated, err
}

// Forget implements Router. The engine is asked directly: releasing needs no
// place in its queue.
func (d *Dispatcher) Forget(ctx context.Context, engine, program string) error {
	server, ok := d.findServer(engine)
	if !ok {
		return d.confirmGone(engine)
	}
	err := d.deps.Engines.ReleaseKV(ctx, server, program)
	if e := d.knownEngine(engine); e != nil && err == nil {
		e.cache.remove(program)
	}
	return forgotten(err)
}
