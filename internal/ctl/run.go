package ctl

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/zeromicro/go-zero/core/logx"

	"ibisline/internal/objectapi"
)

// Streams are the standard streams of the command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// Run executes one command line, given without the program name, and returns its
// exit code.
func Run(ctx context.Context, argv []string, streams Streams) int {
	logx.Disable()
	args, helpWritten, err := parse(argv, streams.Out)
	if helpWritten {
		return ExitOK
	}
	if err == nil {
		err = execute(ctx, args, streams)
	}
	if err != nil {
		fmt.Fprintln(streams.Err, "ibisctl:", err)
	}
	return exitCode(err)
}

// execute runs the parsed command.
func execute(ctx context.Context, args Args, streams Streams) error {
	if args.Explain != nil {
		return explainRequest(args.Explain, streams, args.JSON)
	}
	if len(args.Platform) == 0 && (args.Turn == nil || len(args.Turn.Keepers) == 0) {
		return usageError("--platform or IBISCTL_PLATFORM is needed")
	}
	ctx, cancel := context.WithTimeout(ctx, args.Timeout)
	defer cancel()
	logger := &log.Logger{Handler: discard.New()}
	store := objectapi.NewClient(objectapi.Config{Addrs: args.Platform}, metrics.NewSet(), logger)
	c := &command{
		args:    args,
		store:   store,
		daemons: newDaemonClient(store),
		in:      streams.In,
		errOut:  streams.Err,
		out:     printer{out: streams.Out, json: args.JSON},
		now:     time.Now,
	}
	return c.run(ctx)
}

// command is one command with its dependencies.
type command struct {
	args    Args
	store   objectapi.Store
	daemons *daemonClient
	in      io.Reader
	errOut  io.Writer
	out     printer
	now     func() time.Time
}

// run dispatches to the selected subcommand.
func (c *command) run(ctx context.Context) error {
	switch {
	case c.args.Status != nil:
		return c.status(ctx)
	case c.args.Dump != nil:
		return c.dump(ctx, c.args.Dump.Daemons)
	case c.args.Route != nil:
		return c.route(ctx, c.args.Route)
	case c.args.Team != nil:
		return c.team(ctx, c.args.Team.Names)
	case c.args.Turn != nil:
		return c.turn(ctx, c.args.Turn)
	case c.args.Server != nil:
		return c.listServers(ctx)
	case c.args.Order != nil:
		return c.order(ctx, c.args.Order)
	default:
		return c.entry(ctx, c.args.Entry)
	}
}

// entry dispatches to the selected entry command.
func (c *command) entry(ctx context.Context, args *EntryArgs) error {
	switch {
	case args.List != nil:
		return c.list(ctx)
	case args.Get != nil:
		return c.get(ctx, args.Get.Name)
	case args.Put != nil:
		return c.put(ctx, args.Put)
	case args.Raise != nil:
		return c.raise(ctx, args.Raise)
	case args.Lower != nil:
		return c.lower(ctx, args.Lower)
	case args.Retire != nil:
		return c.retire(ctx, args.Retire)
	default:
		return c.report(ctx)
	}
}
