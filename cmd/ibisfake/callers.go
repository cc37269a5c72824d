package main

import (
	"context"
	"encoding/json"
	"os"
	"strings"

	"github.com/go-faster/errors"

	"ibisline/internal/job"
	"ibisline/internal/load"
)

type jobArgs struct {
	Daemons string `arg:"--daemons,required" help:"IP:port of daemons, separated by commas"`
	Entry   string `arg:"--entry" default:"demo"`
	Model   string `arg:"--model" default:"base"`
	Service string `arg:"--service" default:"orders"`
}

func (a *jobArgs) run(ctx context.Context) error {
	config := job.Config{
		Daemons: strings.Split(a.Daemons, ","),
		Entry:   a.Entry,
		Model:   a.Model,
		Service: a.Service,
	}
	return job.Run(ctx, config, os.Stdout)
}

type loadArgs struct {
	Profile string   `arg:"--profile,required" help:"TOML file; see tools/measure/profiles"`
	Seed    uint64   `arg:"--seed" default:"1"`
	Daemons []string `arg:"--daemons,required" help:"for each region of the profile, the IP:port of its daemons separated by commas"`
}

// run generates the load of a profile on running daemons and writes the result as JSON
// to standard output.
func (a *loadArgs) run(ctx context.Context) error {
	profile, err := load.ReadProfile(a.Profile)
	if err != nil {
		return err
	}
	if len(a.Daemons) != len(profile.Fleet.Regions) {
		return errors.Errorf("--daemons has %d lists for %d regions of the profile", len(a.Daemons), len(profile.Fleet.Regions))
	}
	var targets load.Targets
	for _, addrs := range a.Daemons {
		targets = append(targets, strings.Split(addrs, ","))
	}
	schedule := load.NewSchedule(profile, a.Seed)
	samples, err := load.Run(ctx, profile, schedule, targets)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", " ")
	return encoder.Encode(load.Summarise(profile, a.Seed, schedule, samples))
}
