package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/jedib0t/go-pretty/v6/table"
	"golang.org/x/sync/errgroup"

	"ibisline/internal/caller"
	"ibisline/internal/fake/objects"
	"ibisline/internal/structs"
)

const (
	// workDaemons is the fleet in which work is measured.
	workDaemons = 9
	// workers is the number of programs under way at once, each of an entry of
	// its own.
	workers   = 64
	turnsEach = 4
	model     = "base"
)

// load is the work of one measurement.
type load struct {
	// programs is the number that each worker runs one after the other.
	programs int
	// prompt is the length of a turn's new message in bytes.
	prompt int
	// output is the length of an answer in tokens.
	output int
}

// loads differ in one number each: the differences are the costs of a token and
// of a byte of history.
var loads = []load{
	{programs: 8, prompt: 400, output: 8},
	{programs: 8, prompt: 400, output: 64},
	{programs: 8, prompt: 400, output: 256},
	{programs: 1, prompt: 50_000, output: 8},
}

// workCost is what work costs in the whole fleet.
type workCost struct {
	load
	turns  int
	tokens int
	cpu    float64 // seconds of all daemons
	peerKB float64
	writes int
	reads  int
	rss    float64 // mean in MB, at the end
	open   int
}

// afterWork is the wait before programs count as idle: dispatchers ask each other
// for status some time longer, and sweeps pass over what was used lately.
const afterWork = 15 * time.Second

// measureWork runs programs with answers of different length. It returns their
// costs, and those of the idle fleet without programs and with all of them open.
func measureWork(ctx context.Context, o options) ([]workCost, []openCost, error) {
	var costs []workCost
	var idle []openCost
	err := inSite(ctx, o.bin, func(s *site) error {
		if err := s.startWork(ctx); err != nil {
			return err
		}
		if err := s.watchOpen(ctx, o, 0, &idle); err != nil {
			return err
		}
		open := 0
		for _, l := range loads {
			cost, err := s.work(ctx, l)
			if err != nil {
				return err
			}
			open += workers * l.programs
			cost.open = open
			costs = append(costs, cost)
		}
		return s.watchOpen(ctx, o, open, &idle)
	})
	return costs, idle, err
}

// openCost is what a fleet with engines and idle programs costs.
type openCost struct {
	programs int
	idleCost
}

// watchOpen waits until the fleet is idle and appends what it costs.
func (s *site) watchOpen(ctx context.Context, o options, programs int, costs *[]openCost) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(afterWork):
	}
	cost := openCost{programs: programs, idleCost: idleCost{daemons: workDaemons}}
	if err := s.watchIdle(ctx, o.span, &cost.idleCost); err != nil {
		return err
	}
	*costs = append(*costs, cost)
	return nil
}

// startWork starts fast engines in all regions and the daemons.
func (s *site) startWork(ctx context.Context) error {
	for region := range regions {
		for i := range 3 {
			name := fmt.Sprintf("engine-%d-%d", region, i)
			_, err := s.StartStandIn(ctx, name, "engine", "--name", name, "--region", fmt.Sprintf("region-%d", region),
				"--models", model, "--kv-tokens", "2000000", "--scale", "0.05", "--register", s.Addr("platform"))
			if err != nil {
				return err
			}
		}
	}
	if err := s.putEntries(ctx, workers); err != nil {
		return err
	}
	return s.addDaemons(ctx, workDaemons)
}

// work runs programs and returns the difference of all counters.
func (s *site) work(ctx context.Context, l load) (workCost, error) {
	before, err := s.samples(ctx)
	if err != nil {
		return workCost{}, err
	}
	var counted, after objects.Counts
	if err := s.Counts(ctx, "platform", &counted); err != nil {
		return workCost{}, err
	}
	tokens, err := s.runPrograms(ctx, l)
	if err != nil {
		return workCost{}, err
	}
	later, err := s.samples(ctx)
	if err != nil {
		return workCost{}, err
	}
	if err := s.Counts(ctx, "platform", &after); err != nil {
		return workCost{}, err
	}
	cost := workCost{
		load:   l,
		turns:  workers * l.programs * turnsEach,
		tokens: tokens,
		writes: after.Puts - counted.Puts,
		reads:  after.Gets + after.Lists - counted.Gets - counted.Lists,
	}
	for i, end := range later {
		cost.cpu += end.cpuSeconds - before[i].cpuSeconds
		cost.peerKB += (end.peerBytes - before[i].peerBytes) / 1e3
		cost.rss += end.rss / 1e6 / float64(len(later))
	}
	return cost, nil
}

// runPrograms runs the programs of one measurement and returns their output tokens.
func (s *site) runPrograms(ctx context.Context, l load) (int, error) {
	group, ctx := errgroup.WithContext(ctx)
	transport := caller.NewTransport()
	tokens := make([]int, workers)
	for w := range workers {
		group.Go(func() error {
			for i := range l.programs {
				client := caller.New(s.Addr(s.daemons[(w+i)%len(s.daemons)]), transport)
				used, err := runProgram(ctx, client, entry(w, 1).Name, l)
				if err != nil {
					return err
				}
				tokens[w] += used
			}
			return nil
		})
	}
	err := group.Wait()
	total := 0
	for _, used := range tokens {
		total += used
	}
	return total, err
}

// runProgram opens a program, runs its turns and leaves it open.
func runProgram(ctx context.Context, client *caller.Client, entryName string, l load) (int, error) {
	program, err := client.Open(ctx, structs.OpenRequest{Entry: entryName})
	if err != nil {
		return 0, errors.Wrap(err, "open")
	}
	tokens := 0
	for turn := 1; turn <= turnsEach; turn++ {
		answer, err := client.Turn(ctx, structs.TurnRequest{
			Program:   program,
			Turn:      turn,
			Messages:  []structs.Message{{Role: "user", Content: message(l)}},
			Model:     model,
			MaxTokens: l.output,
		})
		if err != nil {
			return 0, errors.Wrapf(err, "turn %d", turn)
		}
		tokens += answer.Last.Usage.OutputTokens
	}
	return tokens, nil
}

// message is a prompt that makes a stand-in engine answer with so many tokens.
func message(l load) string {
	mark := fmt.Sprintf("[out=%d]", l.output)
	return mark + strings.Repeat("x", l.prompt-len(mark))
}

// printWork writes the costs of work, in total and for each turn and token.
func printWork(w io.Writer, costs []workCost) {
	t := table.NewWriter()
	t.SetOutputMirror(w)
	t.AppendHeader(table.Row{"message bytes", "tokens an answer", "turns", "output tokens", "CPU ms a turn", "CPU us a token", "peer KB a turn", "platform writes a turn", "reads a turn", "MB", "open programs"})
	for _, c := range costs {
		turns := float64(c.turns)
		t.AppendRow(table.Row{c.prompt, c.output, c.turns, c.tokens, digits(c.cpu / turns * 1e3), digits(c.cpu / float64(c.tokens) * 1e6),
			digits(c.peerKB / turns), digits(float64(c.writes) / turns), digits(float64(c.reads) / turns), digits(c.rss), c.open})
	}
	t.RenderMarkdown()
}

// printOpen writes the costs of idle programs.
func printOpen(w io.Writer, costs []openCost) {
	t := table.NewWriter()
	t.SetOutputMirror(w)
	t.AppendHeader(table.Row{"open programs", "% of a core", "MB", "MB max", "peer KB/s", "platform reads/s", "writes/s", "watches"})
	for _, c := range costs {
		t.AppendRow(table.Row{c.programs, digits(c.cpu), digits(c.rss), digits(c.maxRSS), digits(c.bytes), digits(c.reads), digits(c.writes), c.watches})
	}
	t.RenderMarkdown()
}
