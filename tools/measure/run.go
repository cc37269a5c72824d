package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"ibisline/internal/caller"
	"ibisline/internal/fake/engine"
	"ibisline/internal/fake/fleet"
	"ibisline/internal/load"
	"ibisline/internal/structs"
)

// variantSettings holds the daemon settings of each policy.
var variantSettings = map[string]string{
	"baseline": `queue = "fifo"
placement = "round_robin"
window = "fixed"
fixed_window = 64
stragglers = false
kv_transfer = false
`,
	"new":           "",
	"fifo":          "queue = \"fifo\"\n",
	"round-robin":   "placement = \"round_robin\"\n",
	"fixed-window":  "window = \"fixed\"\nfixed_window = 64\n",
	"no-stragglers": "stragglers = false\n",
	// Equivalent to "new" if the engines do not support KV transfer.
	"no-kv-transfer": "kv_transfer = false\n",
}

// commonSettings apply to all variants.
const commonSettings = `
[log]
level = "error"
[stop]
balancer_delay = "0s"
drain_limit = "5s"
[dispatch]
queue_limit = 100000
`

// warmUpTimeout bounds the time until each daemon has served one program.
const warmUpTimeout = 30 * time.Second

// testFleet is the fleet of one run.
type testFleet struct {
	fleet   *fleet.Fleet
	profile load.Profile
	targets load.Targets
	engines []string
}

// runOnce starts a fleet, runs the schedule of one seed and kills the fleet.
func runOnce(
	ctx context.Context, args arguments, profile load.Profile, settings string, seed uint64,
) (load.Result, error) {
	dir, err := os.MkdirTemp("", "ibisline-measure-")
	if err != nil {
		return load.Result{}, errors.Wrap(err, "create fleet directory")
	}
	defer os.RemoveAll(dir)
	t := &testFleet{fleet: fleet.New(dir, args.Bin), profile: profile}
	defer t.fleet.KillAll()
	if err := t.start(ctx, commonSettings+settings); err != nil {
		return load.Result{}, err
	}
	schedule := load.NewSchedule(profile, seed)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if args.Slowdowns {
		t.scheduleSlowdowns(ctx)
	}
	samples, err := load.Run(ctx, profile, schedule, t.targets)
	if err != nil {
		return load.Result{}, err
	}
	result := load.Summarise(profile, seed, schedule, samples)
	result.DelayedStepFraction, err = t.delayedStepFraction(ctx)
	if err != nil {
		return result, err
	}
	t.fleet.KillAll()
	daemons, _ := t.fleet.CPUTime()
	result.DaemonCPUSeconds = daemons.Seconds()
	return result, nil
}

// delayedStepFraction returns the fraction of all engines' steps that were late.
func (t *testFleet) delayedStepFraction(ctx context.Context) (float64, error) {
	late, steps := 0, 1
	for _, name := range t.engines {
		var counts engine.Counts
		if err := t.fleet.Counts(ctx, name, &counts); err != nil {
			return 0, err
		}
		late += counts.LateSteps
		steps += counts.Steps
	}
	return float64(late) / float64(steps), nil
}

// start starts the stand-ins, then the daemons, and waits until each daemon has
// served a program.
func (t *testFleet) start(ctx context.Context, settings string) error {
	platform, err := t.fleet.StartStandIn(ctx, "platform", "objects")
	if err != nil {
		return err
	}
	for _, entry := range t.profile.Entry {
		if err := fleet.PutEntry(ctx, t.fleet.Store("platform"), entry); err != nil {
			return err
		}
	}
	var group errgroup.Group
	t.targets = make(load.Targets, len(t.profile.Fleet.Regions))
	for i, region := range t.profile.Fleet.Regions {
		for n := range t.profile.Fleet.Engines[i] {
			name := fmt.Sprintf("engine-%s-%d", region, n+1)
			t.engines = append(t.engines, name)
			group.Go(func() error { return t.startEngine(ctx, name, region, platform) })
		}
	}
	group.Go(func() error { return t.startServices(ctx, platform) })
	if err := group.Wait(); err != nil {
		return err
	}
	for i, region := range t.profile.Fleet.Regions {
		group.Go(func() error { return t.startDaemons(ctx, i, region, platform, settings) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return t.warmUp(ctx)
}

func (t *testFleet) startEngine(ctx context.Context, name, region, platform string) error {
	shape := t.profile.Engine
	_, err := t.fleet.StartStandIn(ctx, name, "engine", "--name", name, "--region", region, "--dc", region+"-1",
		"--register", platform,
		"--models", t.profile.Model,
		"--kv-tokens", fmt.Sprint(shape.KVTokens),
		"--max-batch", fmt.Sprint(shape.MaxBatch),
		"--step", shape.Step.Std().String(),
		"--step-per-sequence", shape.StepPerSequence.Std().String(),
		"--prefill-per-token", shape.PrefillPerToken.Std().String(),
		"--kv-transfer", fmt.Sprint(shape.KVTransfer))
	return err
}

// startServices starts the services that are no engines, distributed over the
// regions in turn.
func (t *testFleet) startServices(ctx context.Context, platform string) error {
	regions := t.profile.Fleet.Regions
	for n := range t.profile.Fleet.Services {
		name := fmt.Sprintf("%s-%d", t.profile.Fleet.Service, n+1)
		region := regions[n%len(regions)]
		_, err := t.fleet.StartStandIn(ctx, name, "service", "--name", name, "--region", region, "--dc", region+"-1",
			"--register", platform, "--service", t.profile.Fleet.Service)
		if err != nil {
			return err
		}
	}
	return nil
}

// startDaemons starts the daemons of region, which has index i in the profile.
func (t *testFleet) startDaemons(ctx context.Context, i int, region, platform, settings string) error {
	for n := range t.profile.Fleet.Daemons[i] {
		d, err := t.fleet.StartDaemon(ctx, fleet.Daemon{
			Name:       fmt.Sprintf("%s-%d", region, n+1),
			Region:     region,
			DataCentre: region + "-1",
			Platform:   platform,
			Settings:   settings,
		})
		if err != nil {
			return err
		}
		t.targets[i] = append(t.targets[i], d.HTTPAddr)
	}
	return nil
}

// warmUp runs one small program through each daemon.
func (t *testFleet) warmUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, warmUpTimeout)
	defer cancel()
	transport := caller.NewTransport()
	defer transport.CloseIdleConnections()
	var group errgroup.Group
	for _, daemons := range t.targets {
		for _, addr := range daemons {
			client := caller.New(addr, transport)
			group.Go(func() error { return t.warmUpDaemon(ctx, client) })
		}
	}
	return group.Wait()
}

// warmUpDaemon retries until one program has run.
func (t *testFleet) warmUpDaemon(ctx context.Context, client *caller.Client) error {
	for {
		err := t.runWarmUpProgram(ctx, client)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "warm up daemon")
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (t *testFleet) runWarmUpProgram(ctx context.Context, client *caller.Client) error {
	id, err := client.Open(ctx, structs.OpenRequest{Entry: t.profile.Entry[0].Name})
	if err != nil {
		return err
	}
	_, err = client.Turn(ctx, structs.TurnRequest{
		Program:   id,
		Turn:      1,
		Messages:  []structs.Message{{Role: "user", Content: "[out=4]"}},
		Model:     t.profile.Model,
		MaxTokens: 8,
	})
	if err != nil {
		return err
	}
	return client.End(ctx, id)
}

// scheduleSlowdowns applies the profile's engine slowdowns in the background.
func (t *testFleet) scheduleSlowdowns(ctx context.Context) {
	for _, slow := range t.profile.Slow {
		name := t.engines[slow.Engine]
		t.scheduleFaults(ctx, slow.From.Std(), name, engine.Faults{Speed: slow.Speed})
		t.scheduleFaults(ctx, slow.To.Std(), name, engine.Faults{})
	}
}

// scheduleFaults sets the faults of a stand-in engine after a delay, in the
// background.
func (t *testFleet) scheduleFaults(ctx context.Context, after time.Duration, name string, faults engine.Faults) {
	go func() {
		select {
		case <-ctx.Done():
		case <-time.After(after):
			if err := t.fleet.SetFaults(ctx, name, faults); err != nil && ctx.Err() == nil {
				fmt.Fprintln(os.Stderr, "measure:", err)
			}
		}
	}()
}
