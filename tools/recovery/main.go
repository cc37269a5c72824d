// Command recovery measures on real processes the recovery time of a fleet after
// a crash of a program's home and after an outage of the platform, and the time
// until a catalogue edit is in force at all daemons.
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
	bin            string
	daemons        int
	homeKills      int
	outages        int
	outageDuration time.Duration
	edits          int
}

func main() {
	var o options
	flag.StringVar(&o.bin, "bin", "bin", "directory of the binaries")
	flag.IntVar(&o.daemons, "daemons", 9, "number of daemons, spread over three regions")
	flag.IntVar(&o.homeKills, "kills", 20, "number of homes to kill")
	flag.IntVar(&o.outages, "outages", 3, "number of platform outages")
	flag.DurationVar(&o.outageDuration, "outage", 20*time.Second, "duration of each outage")
	flag.IntVar(&o.edits, "edits", 50, "number of catalogue edits")
	fleet.Main("recovery", func(ctx context.Context) error {
		return fleet.WithTempDir("recovery", o.bin, func(f *fleet.Fleet) error {
			t := &testFleet{fleet: f}
			return t.measure(ctx, o)
		})
	})
}

// measure runs the three measurements and prints their results.
func (t *testFleet) measure(ctx context.Context, o options) error {
	if err := t.start(ctx, o.daemons); err != nil {
		return err
	}
	var measured results
	measurements := []struct {
		name  string
		count int
		once  func(context.Context, int) (time.Duration, error)
	}{
		{"edit accepted until in force at all daemons", o.edits, t.editEntry},
		{"kill -9 of a home until the next turn is served", o.homeKills, t.killHome},
		{
			"platform restored until a non-idempotent call is served",
			o.outages,
			func(ctx context.Context, _ int) (time.Duration, error) {
				return t.platformOutage(ctx, o.outageDuration)
			},
		},
	}
	for _, measurement := range measurements {
		for i := range measurement.count {
			took, err := measurement.once(ctx, i)
			if err != nil {
				return errors.Wrapf(err, "%s, number %d", measurement.name, i+1)
			}
			measured.add(measurement.name, took)
		}
	}
	measured.print(os.Stdout)
	return t.fleet.Stop(ctx)
}
