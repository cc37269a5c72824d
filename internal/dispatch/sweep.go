package dispatch

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

const (
	// sweepConcurrency bounds the programs that are asked about at once for one
	// engine, and the engines swept at once.
	sweepConcurrency = 8
	// unknownSweeps is the number of sweeps in a row that must find a program
	// unknown before its memory is released.
	unknownSweeps = 2
)

// ProgramStates tells the state of a program, wherever its home is. Errors are
// *verdict.Error; UnknownProgram and ProgramEnded are answers of the home.
type ProgramStates interface {
	State(ctx context.Context, program string) (structs.ProgramState, error)
}

// SetPrograms sets where the sweep asks for programs. It must be called before
// Run; without it nothing is swept.
func (d *Dispatcher) SetPrograms(programs ProgramStates) { d.programs = programs }

// sweepEngines compares the KV memory of each owned engine with the programs
// that live, and releases what belongs to none.
func (d *Dispatcher) sweepEngines(ctx context.Context) {
	if d.programs == nil || d.draining.Load() {
		return
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(sweepConcurrency)
	for _, e := range d.allEngines() {
		if !d.owns(e.description()) {
			continue
		}
		group.Go(func() error {
			d.sweep(ctx, e)
			return nil
		})
	}
	_ = group.Wait()
}

// sweep releases the memory that one engine holds for ended programs.
func (d *Dispatcher) sweep(ctx context.Context, e *engine) {
	server := e.description()
	held, err := d.deps.Engines.ListKV(ctx, server)
	if err != nil {
		return
	}
	e.doubts.keep(held)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(sweepConcurrency)
	for program := range held {
		if e.inUse(program, d.config.SweepInterval) {
			continue
		}
		group.Go(func() error {
			if d.ended(ctx, e, program) {
				d.releaseSwept(ctx, e, server, program)
			}
			return nil
		})
	}
	_ = group.Wait()
}

// ended reports whether a program has certainly ended. In doubt it has not: the
// home may be unreachable, or a new home may not have read its shard yet.
func (d *Dispatcher) ended(ctx context.Context, e *engine, program string) bool {
	state, err := d.programs.State(ctx, program)
	switch {
	case err == nil:
		e.doubts.clear(program)
		return state.Ended
	case verdict.HasReason(err, verdict.ProgramEnded):
		return true
	case verdict.HasReason(err, verdict.UnknownProgram):
		return e.doubts.add(program) >= unknownSweeps
	default:
		e.doubts.clear(program)
		return false
	}
}

func (d *Dispatcher) releaseSwept(ctx context.Context, e *engine, server structs.Server, program string) {
	if err := forgotten(d.deps.Engines.ReleaseKV(ctx, server, program)); err != nil {
		return
	}
	e.cache.remove(program)
	d.measures.swept.Inc()
	d.deps.Log.WithField("program", program).WithField("engine", e.name).Info("released memory of an ended program")
}

// inUse reports whether a program has a request at the engine or had one within
// the given time.
func (e *engine) inUse(program string, within time.Duration) bool {
	return e.underWay.has(program) || e.cache.usedWithin(program, within)
}
