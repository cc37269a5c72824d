// Command overhead measures on real processes what the way through the daemons
// adds to an engine that costs next to nothing: latency, processor time and
// memory. Callers speak to a daemon that is not the home of their program.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/go-faster/errors"
	"github.com/zeromicro/go-zero/core/logx"

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
	flag.Parse()
	logx.Disable()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, "overhead:", err)
		os.Exit(1)
	}
}

// run starts the fleet in a directory of its own, which is kept on a failure.
func run(ctx context.Context, o options) error {
	dir, err := os.MkdirTemp("", "ibisline-overhead-")
	if err != nil {
		return errors.Wrap(err, "make directory")
	}
	s := &site{Fleet: fleet.New(dir, o.bin)}
	defer s.KillAll()
	figures, err := s.measure(ctx, o)
	if err != nil {
		return errors.Wrapf(err, "logs in %s", dir)
	}
	figures.print(os.Stdout)
	if err := s.Stop(ctx); err != nil {
		return errors.Wrapf(err, "logs in %s", dir)
	}
	return os.RemoveAll(dir)
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
