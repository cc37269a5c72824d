// Command overhead measures on real processes what the way through the daemons
// adds to an engine that costs next to nothing: latency, processor time and
// memory. Callers speak to a daemon that is not the home of their program.
package main

import (
	"context"
	"flag"
	"os"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/fake/fleet"
)

// options are the command line.
type options struct {
	bin      string
	rate     int
	span     time.Duration
	workers  int
	turns    int
	programs int
}

func main() {
	var o options
	flag.StringVar(&o.bin, "bin", "bin", "directory of the programs")
	flag.IntVar(&o.rate, "rate", 200, "turns a second of the open loop")
	flag.DurationVar(&o.span, "span", 20*time.Second, "length of each open loop")
	flag.IntVar(&o.workers, "workers", 64, "programs at once of the closed loop")
	flag.IntVar(&o.turns, "turns", 50, "turns of each program of the closed loop")
	flag.IntVar(&o.programs, "programs", 3000, "programs held open")
	fleet.Main("overhead", func(ctx context.Context) error {
		return fleet.WithTempDir("overhead", o.bin, func(f *fleet.Fleet) error { return run(ctx, f, o) })
	})
}

// run takes and prints the figures, and stops the fleet as planned.
func run(ctx context.Context, f *fleet.Fleet, o options) error {
	s := &site{Fleet: f}
	figures, err := s.measure(ctx, o)
	if err != nil {
		return err
	}
	figures.print(os.Stdout)
	return s.Stop(ctx)
}

// measure takes all figures. Memory is taken before the load and after it, so
// that it is that of a fresh fleet and of one that has worked.
func (s *site) measure(ctx context.Context, o options) (figures, error) {
	f := figures{options: o}
	if err := s.start(ctx); err != nil {
		return f, err
	}
	var err error
	if f.idleRSS, err = s.greatestRSS(ctx); err != nil {
		return f, err
	}
	if f.direct, err = s.openLoop(ctx, o, s.askEngine); err != nil {
		return f, errors.Wrap(err, "engine alone")
	}
	if f.through, err = s.loopThroughDaemons(ctx, o); err != nil {
		return f, errors.Wrap(err, "through daemons")
	}
	if f.turnsPerCore, err = s.closedLoop(ctx, o); err != nil {
		return f, errors.Wrap(err, "closed loop")
	}
	if err := s.holdOpen(ctx, o.programs); err != nil {
		return f, errors.Wrap(err, "open programs")
	}
	f.openRSS, err = s.greatestRSS(ctx)
	return f, err
}
