// Command ibisfake simulates the systems around ibisline for tests: the object API of
// the platform, model engines, plain services and callers.
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
	Objects *objectsArgs `arg:"subcommand:objects" help:"simulate the object API of the platform"`
	Engine  *engineArgs  `arg:"subcommand:engine" help:"simulate a model engine"`
	Service *serviceArgs `arg:"subcommand:service" help:"simulate a plain service"`
	Job     *jobArgs     `arg:"subcommand:job" help:"run one program through daemons and check its answers"`
	Load    *loadArgs    `arg:"subcommand:load" help:"generate load on daemons from a load profile"`
}

// command is implemented by the arguments of each subcommand.
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
