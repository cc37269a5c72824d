// Command overhead measures on real processes the latency, CPU time and memory
// that the daemons add to an engine of negligible latency. Callers send their
// turns to a daemon that is not the home of their program.
package main

import (
	"context"
	"flag"
	"os"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/fake/fleet"
)

// options holds the command-line flags.
type options struct {
	bin              string
	turnsPerSecond   int
	openLoopDuration time.Duration
	workers          int
	turnsPerWorker   int
	openPrograms     int
}

func main() {
	var o options
	flag.StringVar(&o.bin, "bin", "bin", "directory of the binaries")
	flag.IntVar(&o.turnsPerSecond, "rate", 200, "turns per second of the open loops")
	flag.DurationVar(&o.openLoopDuration, "span", 20*time.Second, "duration of each open loop")
	flag.IntVar(&o.workers, "workers", 64, "concurrent programs of the closed loop")
	flag.IntVar(&o.turnsPerWorker, "turns", 50, "turns per program of the closed loop")
	flag.IntVar(&o.openPrograms, "programs", 3000, "idle programs kept open")
	fleet.Main("overhead", func(ctx context.Context) error {
		return fleet.WithTempDir("overhead", o.bin, func(f *fleet.Fleet) error { return run(ctx, f, o) })
	})
}

// run measures the fleet, prints the results and stops the fleet gracefully.
func run(ctx context.Context, f *fleet.Fleet, o options) error {
	t := &testFleet{Fleet: f}
	measured, err := t.measure(ctx, o)
	if err != nil {
		return err
	}
	measured.print(os.Stdout)
	return t.Stop(ctx)
}

// measure starts the fleet and runs all measurements. Memory is read before and
// after the load, to cover a freshly started fleet and one that has served load.
func (t *testFleet) measure(ctx context.Context, o options) (results, error) {
	r := results{options: o}
	if err := t.start(ctx); err != nil {
		return r, err
	}
	var err error
	if r.idleRSSBytes, err = t.maxRSSBytes(ctx); err != nil {
		return r, err
	}
	if r.directLatency, err = t.openLoop(ctx, o, t.sendToEngine); err != nil {
		return r, errors.Wrap(err, "open loop to the engine")
	}
	if r.daemonLatency, err = t.openLoopThroughDaemons(ctx, o); err != nil {
		return r, errors.Wrap(err, "open loop through daemons")
	}
	if r.turnsPerCPUSecond, err = t.closedLoop(ctx, o); err != nil {
		return r, errors.Wrap(err, "closed loop")
	}
	if err := t.openIdlePrograms(ctx, o.openPrograms); err != nil {
		return r, errors.Wrap(err, "open idle programs")
	}
	r.openRSSBytes, err = t.maxRSSBytes(ctx)
	return r, err
}
