package dispatch

import (
	"context"
	"slices"
	"time"

	"ibisline/internal/member"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// repickDelay is the wait before a server is sought again when none took the
// request; the view of the members may be behind.
const repickDelay = 100 * time.Millisecond

// generation is one model call on its way through the router.
type generation struct {
	request  structs.GenerateRequest
	emit     func(text string) error
	emitted  bool
	excluded map[string]bool
	// mayHaveRun is set once a try ended without proof that it did not run.
	mayHaveRun bool
}

// failure is the error of the whole call. A refusal of the last try does not
// hide that an earlier one may have run.
func (g *generation) failure(err error) error {
	result := *verdict.From(err)
	if g.mayHaveRun && result.Verdict == verdict.NotRun {
		result.Verdict = verdict.MayHaveRun
	}
	return &result
}

// Generate implements Router.
func (d *Dispatcher) Generate(ctx context.Context, request structs.GenerateRequest, emit func(text string) error) (structs.Generated, error) {
	g := &generation{request: request, emit: emit, excluded: map[string]bool{}}
	var last error
	for {
		server, ok := d.pickEngine(g)
		if !ok {
			if len(g.excluded) == 0 || !d.waitToRepick(ctx, request.Deadline) {
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
			g.mayHaveRun = true
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

// waitToRepick waits a moment, and returns false when the request is too late.
func (d *Dispatcher) waitToRepick(ctx context.Context, deadline time.Time) bool {
	if !deadline.IsZero() && time.Until(deadline) < repickDelay {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(repickDelay):
		return true
	}
}

// movable reports whether a failed call may be tried at another engine. A model
// call is repeatable, but once text was passed on the new answer could differ.
func movable(ctx context.Context, g *generation, err error) bool {
	if g.emitted || ctx.Err() != nil {
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
	if server.Kind != structs.KindEngine || server.State == structs.StateLeaving || g.excluded[server.Name] {
		return false
	}
	if !slices.Contains(server.Models, g.request.Model) {
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
	return d.runRemote(ctx, owner.Name, generateOrder{Engine: server.Name, Request: g.request}, emit)
}

// Forget implements Router. The engine is asked directly: releasing needs no
// place in its queue.
func (d *Dispatcher) Forget(ctx context.Context, engine, program string) error {
	server, ok := d.findServer(engine)
	if !ok {
		return d.confirmGone(engine)
	}
	return forgotten(d.deps.Engines.ReleaseKV(ctx, server, program))
}
