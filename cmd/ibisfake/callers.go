package main

import (
	"context"
	"os"
	"strings"

	"ibisline/internal/job"
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
