// Command demo starts stand-ins and three daemons, runs the main job through two
// of them, shows what happened and stops all processes as planned.
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
	"ibisline/internal/job"
	"ibisline/internal/structs"
)

const (
	region = "nav-a"
	// limit bounds the whole demo.
	limit = time.Minute
	// daemonSettings shorten the planned stop, as no balancer stands in front.
	daemonSettings = "[stop]\nbalancer_delay = \"200ms\"\ndrain_limit = \"10s\"\n"
)

func main() {
	bin := flag.String("bin", "bin", "directory of the programs")
	flag.Parse()
	logx.Disable()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if err := run(ctx, *bin); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

// run runs the demo in a directory of its own, which is kept when it fails.
func run(ctx context.Context, bin string) error {
	dir, err := os.MkdirTemp("", "ibisline-demo-")
	if err != nil {
		return errors.Wrap(err, "make directory")
	}
	f := fleet.New(dir, bin)
	defer f.KillAll()
	if err := play(ctx, f); err != nil {
		return errors.Wrapf(err, "logs in %s", dir)
	}
	return os.RemoveAll(dir)
}

// play starts everything, runs the job and stops everything.
func play(ctx context.Context, f *fleet.Fleet) error {
	platform, err := startStandIns(ctx, f)
	if err != nil {
		return err
	}
	daemons, err := startDaemons(ctx, f, platform)
	if err != nil {
		return err
	}
	fmt.Printf("stand-ins and %d daemons run\n", len(daemons))
	config := job.Config{Daemons: daemons[:2], Entry: "demo", Model: "base", Service: "orders"}
	if err := job.Run(ctx, config, os.Stdout); err != nil {
		return err
	}
	if err := f.Stop(ctx); err != nil {
		return err
	}
	fmt.Println("all processes stopped as planned")
	return nil
}

// startStandIns starts the platform, two engines and a service, and writes the
// catalogue entry of the demo.
func startStandIns(ctx context.Context, f *fleet.Fleet) (string, error) {
	platform, err := f.StandIn(ctx, "platform", "objects")
	if err != nil {
		return "", err
	}
	for _, name := range []string{"engine-1", "engine-2"} {
		if _, err := f.StandIn(ctx, name, "engine", "--name", name, "--region", region, "--register", platform); err != nil {
			return "", err
		}
	}
	_, err = f.StandIn(ctx, "orders", "service", "--name", "orders", "--region", region, "--register", platform)
	if err != nil {
		return "", err
	}
	entry := structs.Entry{
		Name:         "demo",
		Owner:        "weaver",
		Class:        "interactive",
		Share:        1,
		BudgetTokens: 100_000,
	}
	return platform, fleet.PutEntry(ctx, f.Store("platform"), entry)
}

// startDaemons starts three daemons and returns their HTTP addresses.
func startDaemons(ctx context.Context, f *fleet.Fleet, platform string) ([]string, error) {
	var addrs []string
	for i := range 3 {
		d, err := f.StartDaemon(ctx, fleet.Daemon{
			Name:       fmt.Sprintf("entry-%d", i+1),
			Region:     region,
			DataCentre: "nav-a-1",
			Platform:   platform,
			Settings:   daemonSettings,
		})
		if err != nil {
			return nil, err
		}
		addrs = append(addrs, d.HTTPAddr)
	}
	return addrs, nil
}
