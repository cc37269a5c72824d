// Command capacity measures the resource usage of daemons on real processes: CPU
// time, memory, peer traffic and platform calls, by fleet size and by number of
// catalogue entries. docs/CAPACITY.md extrapolates from its results.
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

// options holds the command-line flags.
type options struct {
	bin            string
	fleetSizes     []int
	catalogueSizes []int
	idlePeriod     time.Duration
	edits          int
}

func main() {
	o := options{}
	fleets := flag.String("fleets", "3,9,27,60", "fleet sizes to measure, in daemons")
	entries := flag.String("entries", "0,1000,10000,43000", "catalogue sizes to measure, in entries")
	flag.StringVar(&o.bin, "bin", "bin", "directory of the binaries")
	flag.DurationVar(&o.idlePeriod, "span", 20*time.Second, "measurement period of an idle fleet")
	flag.IntVar(&o.edits, "edits", 20, "catalogue edits per fleet")
	fleet.Main("capacity", func(ctx context.Context) error {
		if err := errors.Join(parseList(*fleets, &o.fleetSizes), parseList(*entries, &o.catalogueSizes)); err != nil {
			return err
		}
		return run(ctx, o)
	})
}

// parseList appends the comma-separated numbers of text to into.
func parseList(text string, into *[]int) error {
	for _, word := range strings.Split(text, ",") {
		n, err := strconv.Atoi(word)
		if err != nil {
			return errors.Wrapf(err, "parse list %q", text)
		}
		*into = append(*into, n)
	}
	return nil
}

// run measures all fleet sizes, workloads and catalogue sizes and prints a table
// for each.
func run(ctx context.Context, o options) error {
	var idle []idleCost
	for _, size := range o.fleetSizes {
		cost, err := measureIdleFleet(ctx, o, size)
		if err != nil {
			return errors.Wrapf(err, "measure fleet of %d daemons", size)
		}
		idle = append(idle, cost)
	}
	printIdleCosts(os.Stdout, idle)
	workloadCosts, openCosts, err := measureWorkloads(ctx, o)
	if err != nil {
		return errors.Wrap(err, "measure workloads")
	}
	printWorkloadCosts(os.Stdout, workloadCosts)
	printOpenProgramCosts(os.Stdout, openCosts)
	var starts []startCost
	for _, entries := range o.catalogueSizes {
		cost, err := measureStart(ctx, o, entries)
		if err != nil {
			return errors.Wrapf(err, "measure start with %d catalogue entries", entries)
		}
		starts = append(starts, cost)
	}
	printStartCosts(os.Stdout, starts)
	return nil
}
