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

// variants are the daemons' settings for each policy that is compared.
var variants = map[string]string{
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
	// Without engines that offer it, this is the same as "new".
	"no-kv-transfer": "kv_transfer = false\n",
}

// common are the settings of all daemons.
const common = `
[log]
level = "error"
[stop]
balancer_delay = "0s"
drain_limit = "5s"
[dispatch]
queue_limit = 100000
`

// warmLimit bounds the time until the fleet serves its first programs.
const warmLimit = 30 * time.Second

// bench is a fleet that plays one run.
type bench struct {
	fleet   *fleet.Fleet
	profile load.Profile
	targets load.Targets
	engines []string
}

// runOnce starts a fleet, plays one schedule and stops the fleet.
func runOnce(ctx context.Context, args arguments, profile load.Profile, settings string, seed uint64) (load.Result, error) {
	dir, err := os.MkdirTemp("", "ibisline-measure-")
	if err != nil {
		return load.Result{}, errors.Wrap(err, "make directory")
	}
	defer os.RemoveAll(dir)
	b := &bench{fleet: fleet.New(dir, args.Bin), profile: profile}
	defer b.fleet.KillAll()
	if err := b.start(ctx, common+settings); err != nil {
		return load.Result{}, err
	}
	schedule := load.NewSchedule(profile, seed)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if args.Slow {
		b.slowDown(ctx)
	}
	samples, err := load.Run(ctx, profile, schedule, b.targets)
	if err != nil {
		return load.Result{}, err
	}
	result := load.Summarise(profile, seed, schedule, samples)
	result.LateSteps, err = b.lateSteps(ctx)
	if err != nil {
		return result, err
	}
	b.fleet.KillAll()
	daemons, _ := b.fleet.CPUTime()
	result.DaemonSeconds = daemons.Seconds()
	return result, nil
}

// lateSteps is the part of all engines' steps that came late.
func (b *bench) lateSteps(ctx context.Context) (float64, error) {
	late, steps := 0, 1
	for _, name := range b.engines {
		var counts engine.Counts
		if err := b.fleet.Counts(ctx, name, &counts); err != nil {
			return 0, err
		}
		late += counts.LateSteps
		steps += counts.Steps
	}
	return float64(late) / float64(steps), nil
}

// start starts stand-ins and daemons and waits until each daemon serves.
func (b *bench) start(ctx context.Context, settings string) error {
	platform, err := b.fleet.StartStandIn(ctx, "platform", "objects")
	if err != nil {
		return err
	}
	for _, entry := range b.profile.Entry {
		if err := fleet.PutEntry(ctx, b.fleet.Store("platform"), entry); err != nil {
			return err
		}
	}
	var group errgroup.Group
	b.targets = make(load.Targets, len(b.profile.Fleet.Regions))
	for i, region := range b.profile.Fleet.Regions {
		for n := range b.profile.Fleet.Engines[i] {
			name := fmt.Sprintf("engine-%s-%d", region, n+1)
			b.engines = append(b.engines, name)
			group.Go(func() error { return b.startEngine(ctx, name, region, platform) })
		}
	}
	group.Go(func() error { return b.startServices(ctx, platform) })
	if err := group.Wait(); err != nil {
		return err
	}
	for i, region := range b.profile.Fleet.Regions {
		group.Go(func() error { return b.startDaemons(ctx, i, region, platform, settings) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return b.warm(ctx)
}

func (b *bench) startEngine(ctx context.Context, name, region, platform string) error {
	shape := b.profile.Engine
	_, err := b.fleet.StartStandIn(ctx, name, "engine", "--name", name, "--region", region, "--dc", region+"-1",
		"--register", platform,
		"--models", b.profile.Model,
		"--kv-tokens", fmt.Sprint(shape.KVTokens),
		"--max-batch", fmt.Sprint(shape.MaxBatch),
		"--step", shape.Step.Std().String(),
		"--step-per-sequence", shape.StepPerSequence.Std().String(),
		"--prefill-per-token", shape.PrefillPerToken.Std().String(),
		"--kv-transfer", fmt.Sprint(shape.KVTransfer))
	return err
}

// startServices starts the plain services, one for each region in turn.
func (b *bench) startServices(ctx context.Context, platform string) error {
	regions := b.profile.Fleet.Regions
	for n := range b.profile.Fleet.Services {
		name := fmt.Sprintf("%s-%d", b.profile.Fleet.Service, n+1)
		region := regions[n%len(regions)]
		_, err := b.fleet.StartStandIn(ctx, name, "service", "--name", name, "--region", region, "--dc", region+"-1",
			"--register", platform, "--service", b.profile.Fleet.Service)
		if err != nil {
			return err
		}
	}
	return nil
}

// startDaemons starts the daemons of one region.
func (b *bench) startDaemons(ctx context.Context, i int, region, platform, settings string) error {
	for n := range b.profile.Fleet.Daemons[i] {
		d, err := b.fleet.StartDaemon(ctx, fleet.Daemon{
			Name:       fmt.Sprintf("%s-%d", region, n+1),
			Region:     region,
			DataCentre: region + "-1",
			Platform:   platform,
			Settings:   settings,
		})
		if err != nil {
			return err
		}
		b.targets[i] = append(b.targets[i], d.HTTPAddr)
	}
	return nil
}

// warm runs one small program through each daemon.
func (b *bench) warm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, warmLimit)
	defer cancel()
	transport := caller.NewTransport()
	defer transport.CloseIdleConnections()
	var group errgroup.Group
	for _, daemons := range b.targets {
		for _, addr := range daemons {
			client := caller.New(addr, transport)
			group.Go(func() error { return b.warmOne(ctx, client) })
		}
	}
	return group.Wait()
}

// warmOne tries until one program ran.
func (b *bench) warmOne(ctx context.Context, client *caller.Client) error {
	for {
		err := b.program(ctx, client)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "warm up")
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (b *bench) program(ctx context.Context, client *caller.Client) error {
	id, err := client.Open(ctx, structs.OpenRequest{Entry: b.profile.Entry[0].Name})
	if err != nil {
		return err
	}
	_, err = client.Turn(ctx, structs.TurnRequest{
		Program:   id,
		Turn:      1,
		Messages:  []structs.Message{{Role: "user", Content: "[out=4]"}},
		Model:     b.profile.Model,
		MaxTokens: 8,
	})
	if err != nil {
		return err
	}
	return client.End(ctx, id)
}

// slowDown plays the profile's slow engines in the background.
func (b *bench) slowDown(ctx context.Context) {
	for _, slow := range b.profile.Slow {
		name := b.engines[slow.Engine]
		b.later(ctx, slow.From.Std(), name, engine.Faults{Speed: slow.Speed})
		b.later(ctx, slow.To.Std(), name, engine.Faults{})
	}
}

// later sets the faults of an engine after a time.
func (b *bench) later(ctx context.Context, after time.Duration, name string, faults engine.Faults) {
	go func() {
		select {
		case <-ctx.Done():
		case <-time.After(after):
			if err := b.fleet.SetFaults(ctx, name, faults); err != nil && ctx.Err() == nil {
				fmt.Fprintln(os.Stderr, "measure:", err)
			}
		}
	}()
}
