// Command recovery measures on real processes how long a fleet takes to serve
// again: after the death of a program's home, after an outage of the platform,
// and until an edit of the catalogue is in force at all daemons.
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
	bin     string
	daemons int
	kills   int
	outages int
	outage  time.Duration
	edits   int
}

func main() {
	var o options
	flag.StringVar(&o.bin, "bin", "bin", "directory of the programs")
	flag.IntVar(&o.daemons, "daemons", 9, "number of daemons, spread over three regions")
	flag.IntVar(&o.kills, "kills", 20, "homes to kill")
	flag.IntVar(&o.outages, "outages", 3, "outages of the platform")
	flag.DurationVar(&o.outage, "outage", 20*time.Second, "length of an outage")
	flag.IntVar(&o.edits, "edits", 50, "catalogue edits")
	fleet.Main("recovery", func(ctx context.Context) error {
		return fleet.WithTempDir("recovery", o.bin, func(f *fleet.Fleet) error {
			s := &site{fleet: f}
			return s.measure(ctx, o)
		})
	})
}

// measure runs the three measurements and prints their figures.
func (s *site) measure(ctx context.Context, o options) error {
	if err := s.start(ctx, o.daemons); err != nil {
		return err
	}
	var measured results
	steps := []struct {
		name  string
		count int
		once  func(context.Context, int) (time.Duration, error)
	}{
		{"edit accepted to in force at all daemons", o.edits, s.edit},
		{"kill -9 of a home to the next turn served", o.kills, s.killHome},
		{"platform back to a non-repeatable call served", o.outages, func(ctx context.Context, _ int) (time.Duration, error) {
			return s.outage(ctx, o.outage)
		}},
	}
	for _, step := range steps {
		for i := range step.count {
			took, err := step.once(ctx, i)
			if err != nil {
				return errors.Wrapf(err, "%s, number %d", step.name, i+1)
			}
			measured.add(step.name, took)
		}
	}
	measured.print(os.Stdout)
	return s.fleet.Stop(ctx)
}
