// Command measure runs load profiles against real daemons and stand-ins on the
// loopback interface, once for each policy and seed, and writes the medians as a
// table and the latencies as a plot.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"

	"github.com/alexflint/go-arg"
	"github.com/go-faster/errors"

	"ibisline/internal/load"
)

// arguments is the command line.
type arguments struct {
	Bin      string   `arg:"--bin" default:"bin" help:"directory of the programs"`
	Out      string   `arg:"--out" default:"measured" help:"directory for results"`
	Profiles []string `arg:"--profile,separate" help:"profile file; may be repeated"`
	Seeds    int      `arg:"--seeds" default:"5" help:"seeds 1 to so many"`
	First    int      `arg:"--first-seed" default:"1" help:"first seed"`
	Variants []string `arg:"--variant,separate" help:"policy; may be repeated: baseline, new, fifo, round-robin, fixed-window, no-stragglers, no-kv-transfer"`
	Slow     bool     `arg:"--slow" help:"slow the engines down that the profile names"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if len(args.Profiles) == 0 {
		args.Profiles = []string{"tools/measure/profiles/consorcio.toml", "tools/measure/profiles/lesepreis.toml"}
	}
	if len(args.Variants) == 0 {
		args.Variants = []string{"baseline", "new"}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	err := measure(ctx, args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

// measure runs everything and writes the report of each profile.
func measure(ctx context.Context, args arguments) error {
	if err := os.MkdirAll(args.Out, 0o755); err != nil {
		return errors.Wrap(err, "make directory")
	}
	for _, file := range args.Profiles {
		profile, err := load.ReadProfile(file)
		if err != nil {
			return err
		}
		if err := measureProfile(ctx, args, profile); err != nil {
			return errors.Wrap(err, profile.Name)
		}
	}
	return nil
}

// measureProfile runs each seed with all variants, one after the other, so that
// they meet the machine in the same state.
func measureProfile(ctx context.Context, args arguments, profile load.Profile) error {
	results := map[string][]load.Result{}
	for seed := args.First; seed < args.First+args.Seeds; seed++ {
		for _, name := range args.Variants {
			settings, ok := variants[name]
			if !ok {
				return errors.Errorf("unknown variant %q", name)
			}
			result, err := runOnce(ctx, args, profile, settings, uint64(seed))
			if err != nil {
				return errors.Wrapf(err, "%s, seed %d", name, seed)
			}
			results[name] = append(results[name], result)
			fmt.Println(line(name, result))
		}
	}
	return write(args, profile.Name, results)
}

// line is a short form of one result.
func line(variant string, r load.Result) string {
	return fmt.Sprintf("%s seed %d %-14s load %.2f (crest %.2f) programs %d failed %d unfinished %d refused %d "+
		"p50 %.0f p95 %.0f p99 %.0f ms, short p95 %.0f (floor p95 %.0f, short %.0f), jain %.3f (all demand %.3f), recomputed %d of %d, in time %.3f of %d, late steps %.3f, daemons %.1f s %v",
		r.Profile, r.Seed, variant, r.Offered, r.OfferedCrest, r.Programs, r.Failed, r.Unfinished, r.Refused,
		r.Latency.P50, r.Latency.P95, r.Latency.P99, r.Short.P95,
		r.FloorCapacity.All.P95, r.FloorCapacity.Short.P95, r.Jain, r.JainAllDemand, r.Recomputed, r.HistoryTokens,
		r.InTime, r.InTimeCount, r.LateSteps, r.DaemonSeconds, r.Reasons)
}

// write writes the results as JSON, table and plot.
func write(args arguments, profile string, results map[string][]load.Result) error {
	name := profile
	if args.Slow {
		name += "-slow"
	}
	base := filepath.Join(args.Out, name)
	encoded, err := json.MarshalIndent(results, "", " ")
	if err != nil {
		return errors.Wrap(err, "encode results")
	}
	if err := os.WriteFile(base+".json", encoded, 0o644); err != nil {
		return errors.Wrap(err, "write results")
	}
	table := load.Table(args.Variants, results)
	fmt.Println(strings.TrimSpace(table))
	if err := os.WriteFile(base+".md", []byte(table), 0o644); err != nil {
		return errors.Wrap(err, "write table")
	}
	return load.Plot(base+".svg", name, args.Variants, results)
}
