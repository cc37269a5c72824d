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
	// prompt makes the stand-in answer with outputTokens tokens.
	prompt       = "[out=16] a care label of forty words"
	outputTokens = 16
	// highestLatency in microseconds and digits bound the histograms.
	highestLatency = 60_000_000
	digits         = 3
	// openAtOnce bounds the programs that are opened side by side.
	openAtOnce = 32
)

// messages are the new messages of every turn.
func messages() []structs.Message { return []structs.Message{{Role: "user", Content: prompt}} }

// openLoop calls ask at a fixed rate, whatever the answers take, and records the
// time from each intended start to the end of the answer.
func (s *site) openLoop(ctx context.Context, o options, ask func(ctx context.Context, number int) error) (*hdrhistogram.Histogram, error) {
	latencies := hdrhistogram.New(1, highestLatency, digits)
	var mu sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	begun := time.Now()
	for i := range int(o.span.Seconds() * float64(o.rate)) {
		intended := begun.Add(time.Duration(i) * time.Second / time.Duration(o.rate))
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(intended)):
		}
		group.Go(func() error {
			if err := ask(ctx, i); err != nil {
				return errors.Wrapf(err, "request %d", i)
			}
			mu.Lock()
			defer mu.Unlock()
			return latencies.RecordValue(time.Since(intended).Microseconds())
		})
	}
	return latencies, group.Wait()
}

// askEngine sends one request to the engine itself.
func (s *site) askEngine(ctx context.Context, number int) error {
	engine := structs.Server{Name: "engine", Addr: s.Addr("engine")}
	request := structs.GenerateRequest{
		Program:   fmt.Sprintf("direct-%d", number),
		Model:     model,
		Messages:  messages(),
		MaxTokens: outputTokens,
	}
	_, err := s.engines.Generate(ctx, engine, request, func(string) error { return nil })
	return err
}

// loopThroughDaemons runs the open loop over programs that take turns, each a
// turn a second.
func (s *site) loopThroughDaemons(ctx context.Context, o options) (*hdrhistogram.Histogram, error) {
	programs, err := s.openPrograms(ctx, o.rate)
	if err != nil {
		return nil, err
	}
	return s.openLoop(ctx, o, func(ctx context.Context, number int) error {
		return programs[number%len(programs)].turn(ctx)
	})
}

// closedLoop runs programs side by side, each turn after the other, and returns
// the turns for each second of processor time that the daemons used.
func (s *site) closedLoop(ctx context.Context, o options) (float64, error) {
	programs, err := s.openPrograms(ctx, o.workers)
	if err != nil {
		return 0, err
	}
	before, err := s.processorSeconds(ctx)
	if err != nil {
		return 0, err
	}
	group, running := errgroup.WithContext(ctx)
	for _, p := range programs {
		group.Go(func() error { return p.turns(running, o.turns) })
	}
	if err := group.Wait(); err != nil {
		return 0, err
	}
	after, err := s.processorSeconds(ctx)
	return float64(len(programs)*o.turns) / (after - before), err
}

// holdOpen opens programs, each with one turn, and leaves them open.
func (s *site) holdOpen(ctx context.Context, count int) error {
	_, err := s.openPrograms(ctx, count)
	return err
}

// openPrograms opens programs and runs their first turns.
func (s *site) openPrograms(ctx context.Context, count int) ([]*program, error) {
	programs := make([]*program, count)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(openAtOnce)
	for i := range programs {
		group.Go(func() error {
			var err error
			programs[i], err = s.openProgram(ctx, i)
			return err
		})
	}
	return programs, group.Wait()
}

// program is an open program and the client of a daemon that is not its home.
type program struct {
	mu     sync.Mutex
	name   string
	next   int
	home   string
	client *caller.Client
}

// openProgram opens a program, finds its home by a first turn and chooses
// another daemon for the turns that follow.
func (s *site) openProgram(ctx context.Context, number int) (*program, error) {
	p := &program{next: 1, client: s.clients[s.daemons[number%len(s.daemons)]]}
	var err error
	if p.name, err = p.client.Open(ctx, structs.OpenRequest{Entry: entry}); err != nil {
		return nil, errors.Wrap(err, "open")
	}
	if err := p.turn(ctx); err != nil {
		return nil, err
	}
	for i := range s.daemons {
		front := s.daemons[(number+i)%len(s.daemons)]
		if front != p.home {
			p.client = s.clients[front]
			return p, nil
		}
	}
	return nil, errors.New("no daemon beside the home")
}

// turn runs the next turn of the program, after the one under way.
func (p *program) turn(ctx context.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	answer, err := p.client.Turn(ctx, structs.TurnRequest{
		Program:   p.name,
		Turn:      p.next,
		Messages:  messages(),
		Model:     model,
		MaxTokens: outputTokens,
	})
	if err != nil {
		return errors.Wrapf(err, "turn %d of %s", p.next, p.name)
	}
	p.home = answer.Last.Home
	p.next++
	return nil
}

// turns runs a number of turns one after the other.
func (p *program) turns(ctx context.Context, count int) error {
	for range count {
		if err := p.turn(ctx); err != nil {
			return err
		}
	}
	return nil
}

// connect makes the clients, which share one transport.
func (s *site) connect() {
	s.engines = backend.NewEngines(backend.EngineOptions{})
	s.clients = map[string]*caller.Client{}
	transport := caller.NewTransport()
	for _, daemon := range s.daemons {
		s.clients[daemon] = caller.New(s.Addr(daemon), transport)
	}
}
