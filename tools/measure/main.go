// Command measure runs load profiles against real daemons and stand-ins on the
// loopback interface, once per policy and seed, and writes the medians as a table
// and the latency distributions as a plot.
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

// arguments holds the command-line flags.
type arguments struct {
	Bin       string   `arg:"--bin" default:"bin" help:"directory of the programs"`
	Out       string   `arg:"--out" default:"measured" help:"directory for results"`
	Profiles  []string `arg:"--profile,separate" help:"profile file; may be repeated"`
	SeedCount int      `arg:"--seeds" default:"5" help:"seeds 1 to so many"`
	FirstSeed int      `arg:"--first-seed" default:"1" help:"first seed"`
	Variants  []string `arg:"--variant,separate" help:"policy; may be repeated: baseline, new, fifo, round-robin, fixed-window, no-stragglers, no-kv-transfer"`
	Slowdowns bool     `arg:"--slow" help:"slow the engines down that the profile names"`
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

// measure runs all profiles and writes a report for each.
func measure(ctx context.Context, args arguments) error {
	if err := os.MkdirAll(args.Out, 0o755); err != nil {
		return errors.Wrap(err, "create output directory")
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

// measureProfile runs all variants of a seed in succession before the next seed,
// so that they run under similar conditions of the machine.
func measureProfile(ctx context.Context, args arguments, profile load.Profile) error {
	results := map[string][]load.Result{}
	for seed := args.FirstSeed; seed < args.FirstSeed+args.SeedCount; seed++ {
		for _, name := range args.Variants {
			settings, ok := variantSettings[name]
			if !ok {
				return errors.Errorf("unknown variant %q", name)
			}
			result, err := runOnce(ctx, args, profile, settings, uint64(seed))
			if err != nil {
				return errors.Wrapf(err, "run variant %s with seed %d", name, seed)
			}
			results[name] = append(results[name], result)
			fmt.Println(summaryLine(name, result))
		}
	}
	return writeReport(args, profile.Name, results)
}

// summaryLine formats a result as one line.
func summaryLine(variant string, r load.Result) string {
	return fmt.Sprintf("%s seed %d %-14s load %.2f (peak %.2f) programs %d failed %d unfinished %d refused %d "+
		"p50 %.0f p95 %.0f p99 %.0f ms, short p95 %.0f (floor p95 %.0f, short %.0f), "+
		"jain %.3f (all demand %.3f), recomputed %d of %d, in time %.3f of %d, late steps %.3f, "+
		"daemon CPU %.1f s %v",
		r.Profile, r.Seed, variant, r.OfferedLoad, r.OfferedPeakLoad, r.Programs, r.Failed, r.Unfinished, r.Refused,
		r.Latency.P50, r.Latency.P95, r.Latency.P99, r.Short.P95,
		r.FloorAtCapacity.All.P95, r.FloorAtCapacity.Short.P95, r.Jain, r.JainAllDemand, r.RecomputedTokens, r.HistoryTokens,
		r.InTimeFraction, r.InTimePrograms, r.DelayedStepFraction, r.DaemonCPUSeconds, r.Reasons)
}

// writeReport writes the results as JSON, as a Markdown table and as an SVG plot.
func writeReport(args arguments, profile string, results map[string][]load.Result) error {
	name := profile
	if args.Slowdowns {
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
