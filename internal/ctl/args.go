// Package ctl implements the ibisctl command line tool: it edits catalogue entries
// by conditional updates of platform objects, waits until an edit is in force at
// all live daemons, shows daemon state, sends orders to engines, and explains the
// outcome of a request from log files.
package ctl

import (
	"io"
	"time"

	"github.com/alexflint/go-arg"

	"ibisline/internal/backend"
)

// Default limits of a whole command, waiting included.
const (
	defaultTimeout = 30 * time.Second
	orderTimeout   = 2 * time.Minute
)

// Args is the command line of ibisctl.
type Args struct {
	Platform []string      `arg:"--platform,separate,env:IBISCTL_PLATFORM" help:"IP:port of the platform's object API; may be repeated" placeholder:"ADDR"`
	Author   string        `arg:"--author,env:IBISCTL_AUTHOR" help:"name recorded with an edit"`
	JSON     bool          `arg:"--json" help:"write JSON instead of tables"`
	Wait     bool          `arg:"--wait" help:"after an edit, wait until it is in force at all live daemons"`
	Timeout  time.Duration `arg:"--timeout" help:"limit of the whole command, waiting included [default: 30s, order: 2m]"`

	Entry  *EntryArgs  `arg:"subcommand:entry" help:"show and edit catalogue entries"`
	Dump   *DumpArgs   `arg:"subcommand:dump" help:"show the state of daemons as JSON"`
	Status *StatusArgs `arg:"subcommand:status" help:"show the live daemons and the catalogue revision that each has in force"`
	Server *ServerArgs `arg:"subcommand:server" help:"show backend servers"`
	Turn   *TurnArgs   `arg:"subcommand:turn" help:"show a turn that is kept, the turns before it, and the keepers that hold them"`
	Order  *OrderArgs  `arg:"subcommand:order" help:"send an order to an engine"`

	Route *RouteArgs `arg:"subcommand:route" help:"show where a request would go now, and why, without sending it"`

	Team *TeamArgs `arg:"subcommand:team" help:"show the teams with their quotas, use and refusals over all gateways"`

	Explain *ExplainArgs `arg:"subcommand:explain" help:"reconstruct the timeline of one request from the log files of all daemons"`
}

// RouteArgs are the arguments of route.
type RouteArgs struct {
	Host    string   `arg:"positional,required" help:"host of the request"`
	Path    string   `arg:"positional,required" help:"path of the request"`
	Team    string   `arg:"--team" help:"team of the caller"`
	Program string   `arg:"--program" help:"identifier of the program"`
	Session string   `arg:"--session" help:"identifier of the sequence of turns"`
	Prompt  string   `arg:"--prompt" help:"parts of the prompt, ID:TOKENS,..."`
	Daemons []string `arg:"--daemon,separate" help:"name or IP:port of a gateway; all live gateways when none is given" placeholder:"DAEMON"`
}

// TeamArgs are the arguments of team.
type TeamArgs struct {
	Names []string `arg:"positional" help:"teams to show; all when none is given" placeholder:"TEAM"`
}

// ExplainArgs are the arguments of explain.
type ExplainArgs struct {
	Request string   `arg:"positional,required" help:"identifier of the request, as sent by its caller"`
	Logs    []string `arg:"positional" help:"log files of all daemons; standard input when none is given" placeholder:"LOG"`
}

// EntryArgs selects an entry command.
type EntryArgs struct {
	List   *ListArgs   `arg:"subcommand:list" help:"list all entries"`
	Get    *GetArgs    `arg:"subcommand:get" help:"show one entry"`
	Put    *PutArgs    `arg:"subcommand:put" help:"create an entry or set some of its fields"`
	Raise  *LimitArgs  `arg:"subcommand:raise" help:"raise limits of an entry; 0 means unlimited"`
	Lower  *LimitArgs  `arg:"subcommand:lower" help:"lower limits of an entry"`
	Retire *RetireArgs `arg:"subcommand:retire" help:"end an entry: its programs end and no new ones open"`
	Report *ReportArgs `arg:"subcommand:report" help:"show raised limits, and shares granted against shares received"`
}

// ListArgs are the arguments of entry list and server list.
type ListArgs struct{}

// ServerArgs selects a server command.
type ServerArgs struct {
	List *ListArgs `arg:"subcommand:list" help:"list the backend servers registered with the platform"`
}

// OrderArgs selects an order. Orders are idempotent: repeating one that the engine
// has accepted has no further effect.
type OrderArgs struct {
	LoadModel   *OrderTarget `arg:"subcommand:load-model" help:"make an engine load a model"`
	LoadAdapter *OrderTarget `arg:"subcommand:load-adapter" help:"make an engine load an adapter"`
	SetRole     *OrderTarget `arg:"subcommand:set-role" help:"change the role of an engine"`
}

// OrderTarget names an engine and the model, adapter or role that it is ordered to
// load or take.
type OrderTarget struct {
	Engine string `arg:"positional,required" help:"name of the engine as registered with the platform"`
	Name   string `arg:"positional,required" help:"model, adapter or role"`
}

// selected returns the kind of the selected order and its target.
func (a *OrderArgs) selected() (backend.OrderKind, *OrderTarget) {
	switch {
	case a.LoadModel != nil:
		return backend.LoadModel, a.LoadModel
	case a.LoadAdapter != nil:
		return backend.LoadAdapter, a.LoadAdapter
	default:
		return backend.SetRole, a.SetRole
	}
}

// TurnArgs are the arguments of turn.
type TurnArgs struct {
	ID      string   `arg:"positional,required" help:"identifier of the turn, as sent by its caller"`
	Keepers []string `arg:"positional" help:"IP:port of the keepers; those registered with the platform when none is given" placeholder:"ADDR"`
}

// StatusArgs are the arguments of status.
type StatusArgs struct{}

// ReportArgs are the arguments of entry report.
type ReportArgs struct{}

// GetArgs are the arguments of entry get.
type GetArgs struct {
	Name string `arg:"positional,required"`
}

// EditArgs are common to all edits.
type EditArgs struct {
	Reason  string `arg:"--reason" help:"why the entry is changed"`
	Version int64  `arg:"--version" help:"edit only if the entry still has this version"`
}

// LimitFlags set limits. A nil flag leaves its limit unchanged.
type LimitFlags struct {
	Share         *float64 `arg:"--share" help:"weight in the fair queue"`
	MaxConcurrent *int     `arg:"--max-concurrent" help:"maximum number of concurrent requests in the fleet"`
	MaxQueued     *int     `arg:"--max-queued" help:"maximum number of queued requests in the fleet"`
	RatePerSecond *float64 `arg:"--rate" help:"maximum number of requests started per second in the fleet"`
}

// LimitArgs are the arguments of entry raise and entry lower.
type LimitArgs struct {
	Name string `arg:"positional,required"`
	LimitFlags
	EditArgs
}

// RetireArgs are the arguments of entry retire.
type RetireArgs struct {
	Name string `arg:"positional,required"`
	EditArgs
}

// PutArgs are the arguments of entry put.
type PutArgs struct {
	Name string `arg:"positional,required"`
	File string `arg:"--file" help:"JSON file with the whole entry, - for standard input"`
	// Owner and Class are required for a new entry.
	Owner        *string `arg:"--owner"`
	Class        *string `arg:"--class"`
	BudgetTokens *int    `arg:"--budget-tokens" help:"tokens of one program, its sub-agents included"`
	BudgetTurns  *int    `arg:"--budget-turns" help:"turns of one program, its sub-agents included"`
	BudgetCalls  *int    `arg:"--budget-calls" help:"tool calls of one program, its sub-agents included"`
	IdleSeconds  *int    `arg:"--idle-seconds" help:"end a program that has been idle for this many seconds"`
	Restore      bool    `arg:"--restore" help:"restore a retired entry"`
	LimitFlags
	EditArgs
}

// DumpArgs are the arguments of dump.
type DumpArgs struct {
	Daemons []string `arg:"positional" help:"daemon names or IP:port; all live daemons when none is given"`
}

// Epilogue returns the exit codes, which go-arg appends to the help text.
func (Args) Epilogue() string { return exitHelp }

// parse parses the command line. helpWritten is true when help was requested and
// has been written to out.
func parse(argv []string, out io.Writer) (args Args, helpWritten bool, err error) {
	parser, err := arg.NewParser(arg.Config{Program: "ibisctl"}, &args)
	if err != nil {
		return args, false, err
	}
	err = parser.Parse(argv)
	switch {
	case err == arg.ErrHelp:
		return args, true, parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...)
	case err != nil:
		return args, false, usageError("%s", err)
	case parser.Subcommand() == nil:
		return args, false, usageError("a command is needed; see ibisctl --help")
	}
	if group := args.groupWithoutCommand(); group != "" {
		return args, false, usageError("%s needs a command; see ibisctl %s --help", group, group)
	}
	if args.Timeout == 0 {
		args.Timeout = args.commandTimeout()
	}
	return args, false, nil
}

// groupWithoutCommand returns the command group that was given without a command,
// or "".
func (a Args) groupWithoutCommand() string {
	switch {
	case a.Entry != nil && *a.Entry == (EntryArgs{}):
		return "entry"
	case a.Server != nil && *a.Server == (ServerArgs{}):
		return "server"
	case a.Order != nil && *a.Order == (OrderArgs{}):
		return "order"
	default:
		return ""
	}
}

// commandTimeout is the limit of a command without --timeout. An order may have to
// wait until the daemon that sent the previous one can no longer send any.
func (a Args) commandTimeout() time.Duration {
	if a.Order != nil {
		return orderTimeout
	}
	return defaultTimeout
}
