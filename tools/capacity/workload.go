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
	// workloadDaemons is the size of the fleet that runs the workloads.
	workloadDaemons = 9
	// workers is the number of concurrent programs, each with its own catalogue
	// entry.
	workers         = 64
	turnsPerProgram = 4
	model           = "base"
)

// workload is the load of one measurement.
type workload struct {
	// programsPerWorker is the number of programs that each worker runs in
	// sequence.
	programsPerWorker int
	// promptBytes is the length of the new message of each turn.
	promptBytes int
	// outputTokens is the length of each answer.
	outputTokens int
}

// workloads vary the answer length and the message length separately, so that
// the costs of an output token and of a byte of history follow from the
// differences.
var workloads = []workload{
	{programsPerWorker: 8, promptBytes: 400, outputTokens: 8},
	{programsPerWorker: 8, promptBytes: 400, outputTokens: 64},
	{programsPerWorker: 8, promptBytes: 400, outputTokens: 256},
	{programsPerWorker: 1, promptBytes: 50_000, outputTokens: 8},
}

// workloadCost is the resource usage of the whole fleet for one workload.
// platformReads does not count watches.
type workloadCost struct {
	workload
	turns             int
	totalOutputTokens int
	cpuSeconds        float64 // sum over all daemons
	peerKB            float64
	platformWrites    int
	platformReads     int
	meanRSSMB         float64 // mean over the daemons, at the end
	openPrograms      int
}

// idleDelay is the wait after a workload until the fleet is idle: dispatchers
// keep polling each other's status for some time, and sweeps skip programs that
// were used recently.
const idleDelay = 15 * time.Second

// measureWorkloads runs all workloads. It returns their costs and the costs of
// the idle fleet before the first program and with all programs open.
func measureWorkloads(ctx context.Context, o options) ([]workloadCost, []openProgramsCost, error) {
	var costs []workloadCost
	var idle []openProgramsCost
	err := withFleet(ctx, o.bin, func(t *testFleet) error {
		if err := t.startWorkloadFleet(ctx); err != nil {
			return err
		}
		if err := t.measureOpenPrograms(ctx, o, 0, &idle); err != nil {
			return err
		}
		open := 0
		for _, l := range workloads {
			cost, err := t.measureWorkload(ctx, l)
			if err != nil {
				return err
			}
			open += workers * l.programsPerWorker
			cost.openPrograms = open
			costs = append(costs, cost)
		}
		return t.measureOpenPrograms(ctx, o, open, &idle)
	})
	return costs, idle, err
}

// openProgramsCost is the resource usage of a fleet with engines and idle open
// programs.
type openProgramsCost struct {
	programs int
	idleCost
}

// measureOpenPrograms waits until the fleet is idle and appends its resource
// usage to costs.
func (t *testFleet) measureOpenPrograms(ctx context.Context, o options, programs int, costs *[]openProgramsCost) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(idleDelay):
	}
	cost := openProgramsCost{programs: programs, idleCost: idleCost{daemons: workloadDaemons}}
	if err := t.measureIdle(ctx, o.idlePeriod, &cost.idleCost); err != nil {
		return err
	}
	*costs = append(*costs, cost)
	return nil
}

// startWorkloadFleet starts fast engines in all regions, then the daemons.
func (t *testFleet) startWorkloadFleet(ctx context.Context) error {
	for region := range regions {
		for i := range 3 {
			name := fmt.Sprintf("engine-%d-%d", region, i)
			_, err := t.StartStandIn(ctx, name, "engine", "--name", name, "--region", fmt.Sprintf("region-%d", region),
				"--models", model, "--kv-tokens", "2000000", "--scale", "0.05", "--register", t.Addr("platform"))
			if err != nil {
				return err
			}
		}
	}
	if err := t.putEntries(ctx, workers); err != nil {
		return err
	}
	return t.addDaemons(ctx, workloadDaemons)
}

// measureWorkload runs the programs of a workload and returns the differences of
// all counters.
func (t *testFleet) measureWorkload(ctx context.Context, l workload) (workloadCost, error) {
	countersBefore, err := t.readCounters(ctx)
	if err != nil {
		return workloadCost{}, err
	}
	var callsBefore, callsAfter objects.Counts
	if err := t.Counts(ctx, "platform", &callsBefore); err != nil {
		return workloadCost{}, err
	}
	tokens, err := t.runPrograms(ctx, l)
	if err != nil {
		return workloadCost{}, err
	}
	countersAfter, err := t.readCounters(ctx)
	if err != nil {
		return workloadCost{}, err
	}
	if err := t.Counts(ctx, "platform", &callsAfter); err != nil {
		return workloadCost{}, err
	}
	cost := workloadCost{
		workload:          l,
		turns:             workers * l.programsPerWorker * turnsPerProgram,
		totalOutputTokens: tokens,
		platformWrites:    callsAfter.Puts - callsBefore.Puts,
		platformReads:     callsAfter.Gets + callsAfter.Lists - callsBefore.Gets - callsBefore.Lists,
	}
	for i, last := range countersAfter {
		cost.cpuSeconds += last.cpuSeconds - countersBefore[i].cpuSeconds
		cost.peerKB += (last.peerBytes - countersBefore[i].peerBytes) / 1e3
		cost.meanRSSMB += last.rssBytes / 1e6 / float64(len(countersAfter))
	}
	return cost, nil
}

// runPrograms runs the programs of a workload and returns their output tokens.
func (t *testFleet) runPrograms(ctx context.Context, l workload) (int, error) {
	group, ctx := errgroup.WithContext(ctx)
	transport := caller.NewTransport()
	tokens := make([]int, workers)
	for w := range workers {
		group.Go(func() error {
			for i := range l.programsPerWorker {
				client := caller.New(t.Addr(t.daemons[(w+i)%len(t.daemons)]), transport)
				used, err := runProgram(ctx, client, catalogueEntry(w, 1).Name, l)
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

// runProgram opens a program, runs its turns, leaves it open and returns its
// output tokens.
func runProgram(ctx context.Context, client *caller.Client, entryName string, l workload) (int, error) {
	program, err := client.Open(ctx, structs.OpenRequest{Entry: entryName})
	if err != nil {
		return 0, errors.Wrap(err, "open program")
	}
	tokens := 0
	for turn := 1; turn <= turnsPerProgram; turn++ {
		answer, err := client.Turn(ctx, structs.TurnRequest{
			Program:   program,
			Turn:      turn,
			Messages:  []structs.Message{{Role: "user", Content: prompt(l)}},
			Model:     model,
			MaxTokens: l.outputTokens,
		})
		if err != nil {
			return 0, errors.Wrapf(err, "turn %d", turn)
		}
		tokens += answer.Last.Usage.OutputTokens
	}
	return tokens, nil
}

// prompt returns a message of l.promptBytes bytes to which a stand-in engine
// answers with l.outputTokens tokens.
func prompt(l workload) string {
	outputMark := fmt.Sprintf("[out=%d]", l.outputTokens)
	return outputMark + strings.Repeat("x", l.promptBytes-len(outputMark))
}

// printWorkloadCosts writes the costs of each workload per turn and token.
func printWorkloadCosts(w io.Writer, costs []workloadCost) {
	t := table.NewWriter()
	t.SetOutputMirror(w)
	t.AppendHeader(table.Row{"message bytes", "tokens/answer", "turns", "output tokens", "CPU ms/turn", "CPU us/token",
		"peer KB/turn", "platform writes/turn", "platform reads/turn", "RSS mean, MB", "open programs"})
	for _, c := range costs {
		turns := float64(c.turns)
		t.AppendRow(table.Row{
			c.promptBytes, c.outputTokens, c.turns, c.totalOutputTokens,
			formatFigure(c.cpuSeconds / turns * 1e3), formatFigure(c.cpuSeconds / float64(c.totalOutputTokens) * 1e6),
			formatFigure(c.peerKB / turns), formatFigure(float64(c.platformWrites) / turns),
			formatFigure(float64(c.platformReads) / turns), formatFigure(c.meanRSSMB), c.openPrograms,
		})
	}
	t.RenderMarkdown()
}

// printOpenProgramCosts writes the costs of idle open programs.
func printOpenProgramCosts(w io.Writer, costs []openProgramsCost) {
	t := table.NewWriter()
	t.SetOutputMirror(w)
	t.AppendHeader(table.Row{"open programs", "CPU, % of a core", "RSS mean, MB", "RSS max, MB", "peer KB/s",
		"platform reads/s", "platform writes/s", "open watches"})
	for _, c := range costs {
		t.AppendRow(table.Row{
			c.programs, formatFigure(c.cpuPercent), formatFigure(c.meanRSSMB), formatFigure(c.maxRSSMB),
			formatFigure(c.peerKBPerSecond), formatFigure(c.readsPerSecond), formatFigure(c.writesPerSecond),
			c.openWatches,
		})
	}
	t.RenderMarkdown()
}
