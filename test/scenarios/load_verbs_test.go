package scenarios

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"ibisline/internal/structs"
)

// backgroundLoad runs turns of several programs through healthy daemons, as
// behind a load balancer, until the script stops it.
type backgroundLoad struct {
	env     *scriptEnv
	entry   string
	daemons []string

	stop   atomic.Bool
	turns  atomic.Int64
	wg     sync.WaitGroup
	mu     sync.Mutex
	failed []error
}

// startLoad is "start-load NAME ENTRY PROGRAMS DAEMON...". It returns when
// the programs have run two turns each on average.
func startLoad(_ *testscript.TestScript, s *scriptEnv, raw []string) error {
	if len(raw) < 4 {
		return errors.New("usage: start-load NAME ENTRY PROGRAMS DAEMON...")
	}
	var programs int
	if _, err := fmt.Sscan(raw[2], &programs); err != nil {
		return errors.Wrap(err, "parse number of programs")
	}
	b := &backgroundLoad{env: s, entry: raw[1], daemons: raw[3:]}
	s.loads[raw[0]] = b
	for i := range programs {
		b.wg.Add(1)
		go b.run(i)
	}
	return s.wait(func() error { return b.checkTurns(int64(2 * programs)) })
}

// checkTurns fails until the given number of turns has completed.
func (b *backgroundLoad) checkTurns(turns int64) error {
	if done := b.turns.Load(); done < turns {
		return errors.Errorf("%d turns done, want %d: %v", done, turns, b.errs())
	}
	return nil
}

// stopLoad is "stop-load NAME [more=N]". It waits for N more turns, stops the load and
// fails if any of its requests failed.
func stopLoad(ts *testscript.TestScript, s *scriptEnv, raw []string) error {
	a := parse(raw)
	b, ok := s.loads[a.word(0)]
	if !ok {
		return errors.Errorf("no load %q", a.word(0))
	}
	more, err := a.number("more", 0)
	if err != nil {
		return err
	}
	goal := b.turns.Load() + int64(more)
	err = s.wait(func() error { return b.checkTurns(goal) })
	b.stop.Store(true)
	b.wg.Wait()
	ts.Logf("%d turns", b.turns.Load())
	return errors.Join(err, b.errs())
}

func (b *backgroundLoad) errs() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return errors.Join(b.failed...)
}

func (b *backgroundLoad) fail(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failed = append(b.failed, err)
}

// run executes turns of one program until the load is stopped or a request fails.
func (b *backgroundLoad) run(i int) {
	defer b.wg.Done()
	id, err := b.env.clients(b.healthyDaemon(i)).Open(b.env.ctx, structs.OpenRequest{Entry: b.entry})
	if err != nil {
		b.fail(errors.Wrap(err, "open"))
		return
	}
	p := &program{id: id}
	for !b.stop.Load() {
		daemon := b.healthyDaemon(i + p.turn)
		if err := b.turn(p, daemon); err != nil {
			b.fail(errors.Wrapf(err, "turn %d via %s", p.turn+1, daemon))
			return
		}
		b.turns.Add(1)
	}
}

// turn runs the next turn of a program and checks the answer.
func (b *backgroundLoad) turn(p *program, daemon string) error {
	a := args{words: []string{"", daemon}, options: map[string]string{"out": "10", "text": "load"}}
	request, err := p.nextRequest(a)
	if err != nil {
		return err
	}
	return b.env.send(a, p, request)
}

// healthyDaemon returns the first daemon, starting at index i, whose health check
// succeeds, as a load balancer would. If none does it returns daemon i.
func (b *backgroundLoad) healthyDaemon(i int) string {
	for offset := range b.daemons {
		name := b.daemons[(i+offset)%len(b.daemons)]
		if b.env.fleet.GetJSON(b.env.ctx, "http://"+b.env.fleet.Addr(name)+"/healthz", nil) == nil {
			return name
		}
	}
	return b.daemons[i%len(b.daemons)]
}
