package dispatch

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

const (
	// sweepConcurrency is the maximum number of engines swept concurrently, and
	// of programs checked concurrently per engine.
	sweepConcurrency = 8
	// minUnknownSweeps is the number of consecutive sweeps that must find a
	// program unknown before its memory is released.
	minUnknownSweeps = 2
)

// ProgramStates looks up the state of a program at its home on any daemon. Errors
// are *verdict.Error; UnknownProgram and ProgramEnded are answers of the home.
type ProgramStates interface {
	State(ctx context.Context, program string) (structs.ProgramState, error)
}

// SetPrograms sets the source of program states for the sweep. It must be called
// before Run; without it nothing is swept.
func (d *Dispatcher) SetPrograms(programs ProgramStates) { d.programs = programs }

// sweepEngines releases the KV memory that the engines owned by this daemon hold
// for ended programs.
func (d *Dispatcher) sweepEngines(ctx context.Context) {
	if d.programs == nil || d.draining.Load() {
		return
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(sweepConcurrency)
	for _, e := range d.allEngines() {
		if !d.owns(e.currentServer()) {
			continue
		}
		group.Go(func() error {
			d.sweep(ctx, e)
			return nil
		})
	}
	_ = group.Wait()
}

// sweep releases the KV memory that one engine holds for ended programs.
func (d *Dispatcher) sweep(ctx context.Context, e *engine) {
	server := e.currentServer()
	held, err := d.deps.Engines.ListKV(ctx, server)
	if err != nil {
		return
	}
	e.unknownCounts.retain(held)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(sweepConcurrency)
	for program := range held {
		if e.inUse(program, d.config.SweepInterval) {
			continue
		}
		group.Go(func() error {
			if d.hasEnded(ctx, e, program) {
				d.releaseSwept(ctx, e, server, program)
			}
			return nil
		})
	}
	_ = group.Wait()
}

// hasEnded reports whether a program has definitely ended. It returns false if
// that is uncertain: the home may be unreachable, or a new home may not have read
// its shard yet.
func (d *Dispatcher) hasEnded(ctx context.Context, e *engine, program string) bool {
	state, err := d.programs.State(ctx, program)
	switch {
	case err == nil:
		e.unknownCounts.reset(program)
		return state.Ended
	case verdict.HasReason(err, verdict.ProgramEnded):
		return true
	case verdict.HasReason(err, verdict.UnknownProgram):
		return e.unknownCounts.increment(program) >= minUnknownSweeps
	default:
		e.unknownCounts.reset(program)
		return false
	}
}

func (d *Dispatcher) releaseSwept(ctx context.Context, e *engine, server structs.Server, program string) {
	if err := releaseResult(d.deps.Engines.ReleaseKV(ctx, server, program)); err != nil {
		return
	}
	e.cache.remove(program)
	d.metrics.sweptPrograms.Inc()
	d.deps.Log.WithField("program", program).WithField("engine", e.name).Info("released memory of an ended program")
}

// inUse reports whether a program has a request in flight at the engine or used
// its cache within the given time.
func (e *engine) inUse(program string, within time.Duration) bool {
	return e.inFlight.hasProgram(program) || e.cache.usedWithin(program, within)
}
