package dispatch

import (
	"context"
	"slices"
	"time"

	"ibisline/internal/member"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

const (
	// repickDelay is the wait before a server is sought again when none took
	// the request; the view of the members may be behind.
	repickDelay = 100 * time.Millisecond
	// maxTries bounds the tries of one call that may have run.
	maxTries = 3
	// repickLimit bounds the search while no listed engine takes work.
	repickLimit = 5 * time.Second
)

// generation is one model call on its way through the router.
type generation struct {
	request  structs.GenerateRequest
	emit     func(text string) error
	emitted  bool
	excluded map[string]bool
	// tries counts the tries that ended without proof that they did not run.
	tries int
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
	g := &generation{request: request, emit: emit, excluded: map[string]bool{}}
	giveUp := repickUntil(request.Deadline)
	var last error
	for {
		server, ok := d.pickEngine(g)
		if !ok {
			if !d.listed(request.Model) || !waitToRepick(ctx, giveUp) {
				return structs.Generated{}, g.failure(noServer(request.Model, last))
			}
			clear(g.excluded)
			continue
		}
		generated, err := d.runAt(ctx, server, g)
		if err == nil {
			return generated, nil
		}
		if !verdict.Is(err, verdict.NotRun) {
			g.tries++
		}
		if !movable(ctx, g, err) {
			return structs.Generated{}, g.failure(err)
		}
		g.excluded[server.Name] = true
		last = err
	}
}

// noServer is the error when no engine is left: the last failure, if any.
func noServer(model string, last error) error {
	if last != nil {
		return last
	}
	return verdict.Refuse(verdict.NoServer, "no engine serves model %q", model).After(time.Second)
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

// listed reports whether the platform's list has a live engine with the model.
func (d *Dispatcher) listed(model string) bool {
	return slices.ContainsFunc(d.deps.View.Servers(), func(server structs.Server) bool {
		return serves(server, model)
	})
}

func serves(server structs.Server, model string) bool {
	if server.Kind != structs.KindEngine || server.State == structs.StateLeaving {
		return false
	}
	return slices.Contains(server.Models, model)
}

// movable reports whether a failed call may be tried at another engine. A model
// call is repeatable, but once text was passed on the new answer could differ.
func movable(ctx context.Context, g *generation, err error) bool {
	if g.emitted || g.tries >= maxTries || ctx.Err() != nil {
		return false
	}
	switch verdict.From(err).Reason {
	case verdict.NoServer, verdict.PeerLost, verdict.BackendFailed, verdict.BackendTimeout, verdict.NotHome, verdict.Stopping:
		return true
	default:
		return false
	}
}

// pickEngine chooses the engine for the next try.
func (d *Dispatcher) pickEngine(g *generation) (structs.Server, bool) {
	candidates := d.candidates(g)
	if len(candidates) == 0 {
		return structs.Server{}, false
	}
	return d.leastLoaded(candidates), true
}

// candidates returns the engines that may run the request: those of this region,
// or of other regions when it has none.
func (d *Dispatcher) candidates(g *generation) []structs.Server {
	var near, far []structs.Server
	for _, server := range d.deps.View.Servers() {
		if !d.usable(server, g) {
			continue
		}
		if server.Region == d.deps.Region {
			near = append(near, server)
		} else {
			far = append(far, server)
		}
	}
	if len(near) > 0 {
		return near
	}
	return far
}

func (d *Dispatcher) usable(server structs.Server, g *generation) bool {
	if !serves(server, g.request.Model) || g.excluded[server.Name] {
		return false
	}
	status := d.board.get(server.Name)
	return !status.Leaving && !status.Down
}

// leastLoaded returns the candidate with the fewest requests.
func (d *Dispatcher) leastLoaded(candidates []structs.Server) structs.Server {
	return slices.MinFunc(candidates, func(a, b structs.Server) int {
		x, y := d.board.get(a.Name), d.board.get(b.Name)
		return x.Running + x.Waiting - y.Running - y.Waiting
	})
}

// runAt runs the request at one engine, through its dispatcher.
func (d *Dispatcher) runAt(ctx context.Context, server structs.Server, g *generation) (structs.Generated, error) {
	emit := func(text string) error {
		g.emitted = true
		return g.emit(text)
	}
	owner, ok := member.Owner(d.deps.View, server.Region, server.Name)
	if !ok {
		return structs.Generated{}, verdict.Refuse(verdict.NoServer, "no daemon is live to dispatch to %s", server.Name)
	}
	if owner.Name == d.deps.Self {
		e := d.engineOf(server)
		generated, err := e.run(ctx, g.request, emit)
		d.board.put(e.status())
		return generated, err
	}
	order := generateOrder{Engine: server.Name, Request: g.request, Wait: waitUntil(g.request.Deadline)}
	return d.runRemote(ctx, owner.Name, order, emit)
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
