// Package ctl is the operators' tool: it edits catalogue entries by conditional
// updates of the platform's objects, waits until an edit is in force at all live
// daemons, and shows their state.
package ctl

import (
	"io"
	"time"

	"github.com/alexflint/go-arg"
)

// Args is the command line of ibisctl.
type Args struct {
	Platform []string      `arg:"--platform,separate,env:IBISCTL_PLATFORM" help:"IP:port of the platform's object API; may be repeated" placeholder:"ADDR"`
	Author   string        `arg:"--author,env:IBISCTL_AUTHOR" help:"name recorded with an edit"`
	JSON     bool          `arg:"--json" help:"write JSON instead of tables"`
	Wait     bool          `arg:"--wait" help:"after an edit, wait until it is in force at all live daemons"`
	Timeout  time.Duration `arg:"--timeout" default:"30s" help:"limit of the whole command, waiting included"`

	Entry  *EntryArgs  `arg:"subcommand:entry" help:"show and edit catalogue entries"`
	Dump   *DumpArgs   `arg:"subcommand:dump" help:"show the state of daemons as JSON"`
	Status *StatusArgs `arg:"subcommand:status" help:"show which daemons live and which catalogue revision they have in force"`
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

// ListArgs are the arguments of entry list.
type ListArgs struct{}

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

// LimitFlags set limits. A flag that is not given leaves its limit as it is.
type LimitFlags struct {
	Share         *float64 `arg:"--share" help:"weight in the fair queue"`
	MaxConcurrent *int     `arg:"--max-concurrent" help:"requests under way in the fleet"`
	MaxQueued     *int     `arg:"--max-queued" help:"requests waiting in the fleet"`
	RatePerSecond *float64 `arg:"--rate" help:"requests started a second in the fleet"`
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
	// Owner and Class are needed for a new entry.
	Owner        *string `arg:"--owner"`
	Class        *string `arg:"--class"`
	BudgetTokens *int    `arg:"--budget-tokens" help:"tokens of one program with its sub-agents"`
	BudgetTurns  *int    `arg:"--budget-turns" help:"turns of one program with its sub-agents"`
	BudgetCalls  *int    `arg:"--budget-calls" help:"tool calls of one program with its sub-agents"`
	IdleSeconds  *int    `arg:"--idle-seconds" help:"end a program that was idle for so long"`
	Restore      bool    `arg:"--restore" help:"bring a retired entry back"`
	LimitFlags
	EditArgs
}

// DumpArgs are the arguments of dump.
type DumpArgs struct {
	Daemons []string `arg:"positional" help:"daemon names or IP:port; all live daemons when none is given"`
}

// Epilogue implements go-arg's Epilogued: it lists the exit codes.
func (Args) Epilogue() string { return exitHelp }

// parse reads the command line. done is true when help was asked for and written.
func parse(argv []string, out io.Writer) (args Args, done bool, err error) {
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
	if entry := args.Entry; entry != nil && *entry == (EntryArgs{}) {
		return args, false, usageError("an entry command is needed; see ibisctl entry --help")
	}
	return args, false, nil
}
