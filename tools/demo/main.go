// Command demo starts stand-ins and three daemons, runs the main job through two
// of the daemons, prints its output and stops all processes gracefully.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"ibisline/internal/fake/fleet"
	"ibisline/internal/job"
	"ibisline/internal/structs"
)

const (
	region = "nav-a"
	// demoTimeout bounds the whole demo.
	demoTimeout = time.Minute
	// daemonSettings shortens the planned stop, as there is no load balancer.
	daemonSettings = "[stop]\nbalancer_delay = \"200ms\"\ndrain_limit = \"10s\"\n"
)

func main() {
	bin := flag.String("bin", "bin", "directory of the binaries")
	fleet.Main("demo", func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, demoTimeout)
		defer cancel()
		return fleet.WithTempDir("demo", *bin, func(f *fleet.Fleet) error { return run(ctx, f) })
	})
}

// run starts the fleet, runs the job and stops the fleet.
func run(ctx context.Context, f *fleet.Fleet) error {
	platform, err := startStandIns(ctx, f)
	if err != nil {
		return err
	}
	daemons, err := startDaemons(ctx, f, platform)
	if err != nil {
		return err
	}
	fmt.Printf("stand-ins and %d daemons are running\n", len(daemons))
	config := job.Config{Daemons: daemons[:2], Entry: "demo", Model: "base", Service: "orders"}
	if err := job.Run(ctx, config, os.Stdout); err != nil {
		return err
	}
	if err := f.Stop(ctx); err != nil {
		return err
	}
	fmt.Println("all processes stopped gracefully")
	return nil
}

// startStandIns starts the platform, two engines and a service, and writes the
// catalogue entry of the demo.
func startStandIns(ctx context.Context, f *fleet.Fleet) (string, error) {
	platform, err := f.StartStandIn(ctx, "platform", "objects")
	if err != nil {
		return "", err
	}
	for _, name := range []string{"engine-1", "engine-2"} {
		if _, err := f.StartStandIn(ctx, name, "engine", "--name", name, "--region", region, "--register", platform); err != nil {
			return "", err
		}
	}
	_, err = f.StartStandIn(ctx, "orders", "service", "--name", "orders", "--region", region, "--register", platform)
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
