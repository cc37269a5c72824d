package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"ibisline/internal/backend"
	"ibisline/internal/caller"
	"ibisline/internal/structs"
)

const (
	// prompt makes the stand-in engine answer with outputTokens tokens.
	prompt       = "[out=16] a care label of forty words"
	outputTokens = 16
	// maxLatencyMicros and significantDigits configure the histograms.
	maxLatencyMicros  = 60_000_000
	significantDigits = 3
	// maxParallelOpens bounds the programs that are opened concurrently.
	maxParallelOpens = 32
)

// messages returns the new messages of a turn.
func messages() []structs.Message { return []structs.Message{{Role: "user", Content: prompt}} }

// openLoop calls send at a fixed rate, independent of response times, and records
// the latency from each intended start to the end of the answer.
func (t *testFleet) openLoop(
	ctx context.Context, o options, send func(ctx context.Context, index int) error,
) (*hdrhistogram.Histogram, error) {
	latencies := hdrhistogram.New(1, maxLatencyMicros, significantDigits)
	var mu sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	startedAt := time.Now()
	for i := range int(o.openLoopDuration.Seconds() * float64(o.turnsPerSecond)) {
		intended := startedAt.Add(time.Duration(i) * time.Second / time.Duration(o.turnsPerSecond))
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(intended)):
		}
		group.Go(func() error {
			if err := send(ctx, i); err != nil {
				return errors.Wrapf(err, "request %d", i)
			}
			mu.Lock()
			defer mu.Unlock()
			return latencies.RecordValue(time.Since(intended).Microseconds())
		})
	}
	return latencies, group.Wait()
}

// sendToEngine sends one request directly to the engine.
func (t *testFleet) sendToEngine(ctx context.Context, index int) error {
	engine := structs.Server{Name: "engine", Addr: t.Addr("engine")}
	request := structs.GenerateRequest{
		Program:   fmt.Sprintf("direct-%d", index),
		Model:     model,
		Messages:  messages(),
		MaxTokens: outputTokens,
	}
	_, err := t.engines.Generate(ctx, engine, request, func(string) error { return nil })
	return err
}

// openLoopThroughDaemons runs the open loop over o.turnsPerSecond programs in
// rotation, so that each program runs one turn per second.
func (t *testFleet) openLoopThroughDaemons(ctx context.Context, o options) (*hdrhistogram.Histogram, error) {
	programs, err := t.openPrograms(ctx, o.turnsPerSecond)
	if err != nil {
		return nil, err
	}
	return t.openLoop(ctx, o, func(ctx context.Context, index int) error {
		return programs[index%len(programs)].runTurn(ctx)
	})
}

// closedLoop runs programs concurrently, each with its turns in sequence, and
// returns the number of turns per second of CPU time of the daemons.
func (t *testFleet) closedLoop(ctx context.Context, o options) (float64, error) {
	programs, err := t.openPrograms(ctx, o.workers)
	if err != nil {
		return 0, err
	}
	before, err := t.cpuSeconds(ctx)
	if err != nil {
		return 0, err
	}
	group, runCtx := errgroup.WithContext(ctx)
	for _, p := range programs {
		group.Go(func() error { return p.runTurns(runCtx, o.turnsPerWorker) })
	}
	if err := group.Wait(); err != nil {
		return 0, err
	}
	after, err := t.cpuSeconds(ctx)
	return float64(len(programs)*o.turnsPerWorker) / (after - before), err
}

// openIdlePrograms opens programs, runs one turn of each and leaves them open.
func (t *testFleet) openIdlePrograms(ctx context.Context, count int) error {
	_, err := t.openPrograms(ctx, count)
	return err
}

// openPrograms opens programs and runs the first turn of each.
func (t *testFleet) openPrograms(ctx context.Context, count int) ([]*program, error) {
	programs := make([]*program, count)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelOpens)
	for i := range programs {
		group.Go(func() error {
			var err error
			programs[i], err = t.openProgram(ctx, i)
			return err
		})
	}
	return programs, group.Wait()
}

// program is an open program with a client of a daemon that is not its home.
type program struct {
	mu       sync.Mutex
	id       string
	nextTurn int
	home     string
	client   *caller.Client
}

// openProgram opens a program, determines its home from a first turn and selects
// another daemon for the following turns.
func (t *testFleet) openProgram(ctx context.Context, index int) (*program, error) {
	p := &program{nextTurn: 1, client: t.clients[t.daemons[index%len(t.daemons)]]}
	var err error
	if p.id, err = p.client.Open(ctx, structs.OpenRequest{Entry: entryName}); err != nil {
		return nil, errors.Wrap(err, "open program")
	}
	if err := p.runTurn(ctx); err != nil {
		return nil, err
	}
	for i := range t.daemons {
		other := t.daemons[(index+i)%len(t.daemons)]
		if other != p.home {
			p.client = t.clients[other]
			return p, nil
		}
	}
	return nil, errors.New("no daemon other than the home")
}

// runTurn runs the next turn of the program. Concurrent calls run in sequence.
func (p *program) runTurn(ctx context.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	answer, err := p.client.Turn(ctx, structs.TurnRequest{
		Program:   p.id,
		Turn:      p.nextTurn,
		Messages:  messages(),
		Model:     model,
		MaxTokens: outputTokens,
	})
	if err != nil {
		return errors.Wrapf(err, "turn %d of %s", p.nextTurn, p.id)
	}
	p.home = answer.Last.Home
	p.nextTurn++
	return nil
}

// runTurns runs count turns in sequence.
func (p *program) runTurns(ctx context.Context, count int) error {
	for range count {
		if err := p.runTurn(ctx); err != nil {
			return err
		}
	}
	return nil
}

// createClients creates the clients of the engine and of the daemons. The
// clients of the daemons share one transport.
func (t *testFleet) createClients() {
	t.engines = backend.NewEngines(backend.EngineOptions{})
	t.clients = map[string]*caller.Client{}
	transport := caller.NewTransport()
	for _, daemon := range t.daemons {
		t.clients[daemon] = caller.New(t.Addr(daemon), transport)
	}
}
