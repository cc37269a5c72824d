// Command ibislined is the scheduler daemon of ibisline; one runs on each of its instances.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"ibisline/internal/daemon"
	"ibisline/internal/settings"
	"ibisline/platform"
)

// Exit codes of failures.
const (
	exitFailed   = 1
	exitSettings = 2
)

// fileArgs are the arguments of all subcommands.
type fileArgs struct {
	File string `arg:"positional,required" help:"settings file in TOML"`
}

// arguments is the command line.
type arguments struct {
	Run   *fileArgs `arg:"subcommand:run" help:"run the daemon"`
	Check *fileArgs `arg:"subcommand:check" help:"check a settings file and exit"`
}

// Description returns the text that --help shows.
func (arguments) Description() string {
	return "ibislined schedules the requests of agent programs onto model engines and services.\n" +
		"Exit codes: 0 planned stop, 1 failure, 2 invalid settings or arguments."
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	switch {
	case args.Run != nil:
		os.Exit(run(args.Run.File))
	case args.Check != nil:
		os.Exit(check(args.Check.File))
	default:
		parser.WriteHelp(os.Stderr)
		os.Exit(exitSettings)
	}
}

// check reads a settings file, reports all errors in it and returns the exit code.
func check(file string) int {
	if _, err := settings.Load(file); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	fmt.Printf("%s: settings are valid\n", file)
	return 0
}

// run runs the daemon until a planned stop or a failure and returns the exit code.
func run(file string) int {
	loaded, err := settings.Load(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	adapter := platform.Adapter{Regions: loaded.Gateway.Regions}
	if err := daemon.Run(file, loaded, daemon.Adapter{
		Protocol:      platform.Objects{},
		WatchTimeout:  platform.WatchTimeout,
		Dialect:       adapter,
		RoutesPrefix:  platform.RoutesPrefix,
		Routes:        adapter.RouteTable,
		WithoutKeys:   adapter.WithoutKeys,
		ServersPrefix: platform.ServersPrefix,
		Servers:       adapter.Server,

		RetirementsPrefix: platform.RetirementsPrefix,
		Retirements:       adapter,
		ScarceMemory:      platform.ScarceMemory(loaded.Platform.Features),
	}); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return 0
}
