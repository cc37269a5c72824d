// Command capacity measures on real processes what a daemon costs: processor
// time, memory, peer traffic and calls of the platform, by the size of the fleet
// and by the number of catalogue entries. docs/CAPACITY.md extrapolates from it.
package main

import (
	"context"
	"flag"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/fake/fleet"
)

// options are the command line.
type options struct {
	bin     string
	fleets  []int
	entries []int
	span    time.Duration
	edits   int
}

func main() {
	o := options{}
	fleets := flag.String("fleets", "3,9,27,60", "numbers of daemons")
	entries := flag.String("entries", "0,1000,10000,43000", "numbers of catalogue entries")
	flag.StringVar(&o.bin, "bin", "bin", "directory of the programs")
	flag.DurationVar(&o.span, "span", 20*time.Second, "time over which an idle fleet is watched")
	flag.IntVar(&o.edits, "edits", 20, "edits made in each fleet")
	fleet.Main("capacity", func(ctx context.Context) error {
		if err := errors.Join(parseList(*fleets, &o.fleets), parseList(*entries, &o.entries)); err != nil {
			return err
		}
		return run(ctx, o)
	})
}

// parseList reads numbers separated by commas.
func parseList(text string, into *[]int) error {
	for _, word := range strings.Split(text, ",") {
		n, err := strconv.Atoi(word)
		if err != nil {
			return errors.Wrapf(err, "list %q", text)
		}
		*into = append(*into, n)
	}
	return nil
}

// run measures all fleets and all catalogues and prints the tables.
func run(ctx context.Context, o options) error {
	var idle []idleCost
	for _, size := range o.fleets {
		cost, err := measureFleet(ctx, o, size)
		if err != nil {
			return errors.Wrapf(err, "fleet of %d", size)
		}
		idle = append(idle, cost)
	}
	printIdle(os.Stdout, idle)
	work, open, err := measureWork(ctx, o)
	if err != nil {
		return errors.Wrap(err, "work")
	}
	printWork(os.Stdout, work)
	printOpen(os.Stdout, open)
	var starts []startCost
	for _, entries := range o.entries {
		cost, err := measureStart(ctx, o, entries)
		if err != nil {
			return errors.Wrapf(err, "catalogue of %d entries", entries)
		}
		starts = append(starts, cost)
	}
	printStarts(os.Stdout, starts)
	return nil
}
