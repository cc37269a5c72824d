package scenarios

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"ibisline/internal/structs"
)

// background is a load of programs that run turn after turn through a balancer
// that knows which daemons are healthy, until it is settled.
type background struct {
	w       *world
	entry   string
	daemons []string

	stop   atomic.Bool
	turns  atomic.Int64
	wg     sync.WaitGroup
	mu     sync.Mutex
	failed []error
}

// load is "load NAME ENTRY PROGRAMS DAEMON...".
func load(_ *testscript.TestScript, w *world, raw []string) error {
	if len(raw) < 4 {
		return errors.New("usage: load NAME ENTRY PROGRAMS DAEMON...")
	}
	var programs int
	if _, err := fmt.Sscan(raw[2], &programs); err != nil {
		return errors.Wrap(err, "programs")
	}
	b := &background{w: w, entry: raw[1], daemons: raw[3:]}
	w.loads[raw[0]] = b
	for i := range programs {
		b.wg.Add(1)
		go b.run(i)
	}
	return w.wait(func() error { return b.progress(int64(2 * programs)) })
}

// progress fails until so many turns are done.
func (b *background) progress(turns int64) error {
	if done := b.turns.Load(); done < turns {
		return errors.Errorf("%d turns done, want %d: %v", done, turns, b.errs())
	}
	return nil
}

// settle is "settle NAME [more=N]": it waits for N more turns, ends the load and
// fails when any request of it failed.
func settle(ts *testscript.TestScript, w *world, raw []string) error {
	a := parse(raw)
	b, ok := w.loads[a.word(0)]
	if !ok {
		return errors.Errorf("no load %q", a.word(0))
	}
	more, err := a.number("more", 0)
	if err != nil {
		return err
	}
	goal := b.turns.Load() + int64(more)
	err = w.wait(func() error { return b.progress(goal) })
	b.stop.Store(true)
	b.wg.Wait()
	ts.Logf("%d turns", b.turns.Load())
	return errors.Join(err, b.errs())
}

func (b *background) errs() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return errors.Join(b.failed...)
}

func (b *background) fail(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failed = append(b.failed, err)
}

// run runs one program until the load ends or a request fails.
func (b *background) run(i int) {
	defer b.wg.Done()
	id, err := b.w.clients(b.pick(i)).Open(b.w.ctx, structs.OpenRequest{Entry: b.entry})
	if err != nil {
		b.fail(errors.Wrap(err, "open"))
		return
	}
	p := &program{id: id}
	for !b.stop.Load() {
		daemon := b.pick(i + p.turn)
		if err := b.turn(p, daemon); err != nil {
			b.fail(errors.Wrapf(err, "turn %d via %s", p.turn+1, daemon))
			return
		}
		b.turns.Add(1)
	}
}

// turn runs one checked turn.
func (b *background) turn(p *program, daemon string) error {
	a := args{words: []string{"", daemon}, options: map[string]string{"out": "10", "text": "load"}}
	request, err := p.next(a)
	if err != nil {
		return err
	}
	return b.w.send(a, p, request)
}

// pick returns a daemon that says it takes callers, as a balancer would.
func (b *background) pick(i int) string {
	for offset := range b.daemons {
		name := b.daemons[(i+offset)%len(b.daemons)]
		if b.w.fleet.GetJSON(b.w.ctx, "http://"+b.w.fleet.Addr(name)+"/healthz", nil) == nil {
			return name
		}
	}
	return b.daemons[i%len(b.daemons)]
}
