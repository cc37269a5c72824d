// Command ibisfake plays the systems around ibisline: the object API, model
// engines, plain services and callers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/go-faster/errors"
)

// arguments is the command line.
type arguments struct {
	Objects *objectsArgs `arg:"subcommand:objects" help:"play the platform's object API"`
	Engine  *engineArgs  `arg:"subcommand:engine" help:"play a model engine"`
	Service *serviceArgs `arg:"subcommand:service" help:"play a plain service"`
	Job     *jobArgs     `arg:"subcommand:job" help:"run one program through daemons and check its answers"`
	Load    *loadArgs    `arg:"subcommand:load" help:"drive daemons by a load profile"`
}

// command is a subcommand.
type command interface {
	run(ctx context.Context) error
}

func main() {
	args := arguments{Engine: newEngineArgs()}
	parser := arg.MustParse(&args)
	selected, ok := parser.Subcommand().(command)
	if !ok {
		parser.Fail("a command is needed")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := selected.run(ctx)
	stop()
	if err != nil && !errors.Is(err, context.Canceled) {
		fmt.Fprintln(os.Stderr, "ibisfake:", err)
		os.Exit(1)
	}
}
