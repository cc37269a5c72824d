package home

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/objectapi"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// point is a place at which a process may be killed.
type point int

const (
	atPut point = iota
	afterPut
	atSend
	afterSend
	atGenerate
)

// process stands between a home and everything outside it. A dead process has
// no effect any more and gets no answers; a paused one has neither until it is
// resumed.
type process struct {
	world *world
	name  string
	dead  chan struct{}

	mu      sync.Mutex
	paused  chan struct{} // closed at resume, or nil
	armed   map[point]bool
	stopped bool
	running map[string]int // generations under way by program
	failing time.Time      // of the first write without an answer since the last answered one
}

func newProcess(w *world, name string) *process {
	return &process{world: w, name: name, dead: make(chan struct{}), armed: map[point]bool{}, running: map[string]int{}}
}

// kill makes the process dead.
func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.stopped {
		p.stopped = true
		close(p.dead)
	}
}

func (p *process) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused == nil {
		p.paused = make(chan struct{})
	}
}

func (p *process) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused != nil {
		close(p.paused)
		p.paused = nil
	}
}

func (p *process) arm(at point) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.armed[at] = true
}

// count notes generations under way; a home runs one of a program at a time.
func (p *process) count(program string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[program] += n
	if p.running[program] > 1 {
		p.world.violate("order: home %s runs two turns of %s at once", p.name, program)
	}
}

// noteWrite notes since when writes get no answer. A conflict is an answer: it
// is followed by a read that tells what happened.
func (p *process) noteWrite(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failing.IsZero() && err != nil {
		p.failing = time.Now()
	}
	if err == nil || errors.Is(err, objectapi.ErrConflict) {
		p.failing = time.Time{}
	}
}

// outage reports whether the living process has had no answered write for the
// given time.
func (p *process) outage(grace time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.stopped && !p.failing.IsZero() && time.Since(p.failing) >= grace
}

// pass waits while the process is paused, and returns false when it is dead or
// is killed at this point.
func (p *process) pass(at point) bool {
	p.mu.Lock()
	fire := p.armed[at]
	delete(p.armed, at)
	paused := p.paused
	p.mu.Unlock()
	if fire {
		p.kill()
		p.world.live.remove(p.name)
	}
	if paused != nil {
		select {
		case <-paused:
		case <-p.dead:
		}
	}
	select {
	case <-p.dead:
		return false
	default:
		return true
	}
}

// faultyStore is the store as one process sees it.
type faultyStore struct {
	objectapi.Store
	process *process
}

// Put implements objectapi.Store.
func (s *faultyStore) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	if !s.process.pass(atPut) {
		return 0, objectapi.ErrUnknown
	}
	version, err := s.Store.Put(ctx, key, value, expected)
	if !s.process.pass(afterPut) {
		return 0, objectapi.ErrUnknown
	}
	s.process.noteWrite(err)
	return version, err
}

// Get implements objectapi.Store.
func (s *faultyStore) Get(ctx context.Context, key string) (objectapi.Object, error) {
	if !s.process.pass(-1) {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	object, err := s.Store.Get(ctx, key)
	if !s.process.pass(-1) {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	return object, err
}

// Delete implements objectapi.Store.
func (s *faultyStore) Delete(ctx context.Context, key string, expected int64) error {
	if !s.process.pass(-1) {
		return objectapi.ErrUnknown
	}
	return s.Store.Delete(ctx, key, expected)
}

// faultyBackends are the router and the sender as one process sees them.
type faultyBackends struct {
	*backends
	process *process
}

var errKilled = verdict.New(verdict.MayHaveRun, verdict.PeerLost, "process was killed")

// Generate implements dispatch.Router.
func (b *faultyBackends) Generate(ctx context.Context, r structs.GenerateRequest, emit func(string) error) (structs.Generated, error) {
	if !b.process.pass(atGenerate) {
		return structs.Generated{}, errKilled
	}
	b.importCache(r)
	b.process.count(r.Program, 1)
	defer b.process.count(r.Program, -1)
	g, err := b.backends.Generate(ctx, r, emit)
	if !b.process.pass(-1) {
		return structs.Generated{}, errKilled
	}
	return g, err
}

// importCache plays an import at another engine than the one that will run the
// turn, once the home has recorded it. What happens to the turn then is left to
// the other faults.
func (b *faultyBackends) importCache(r structs.GenerateRequest) {
	d := b.process.world.daemon(b.process.name)
	b.mu.Lock()
	target := engines[(b.runs+2)%len(engines)].Name
	b.mu.Unlock()
	if d == nil || d.RecordHolder(r.Program, target) != nil {
		return
	}
	b.mu.Lock()
	b.held[target+"/"+r.Program] = true
	b.mu.Unlock()
	b.onImport(r.Program)
}

// Send implements dispatch.Sender.
func (b *faultyBackends) Send(ctx context.Context, server structs.Server, r structs.CallRequest) (structs.CallReply, error) {
	if !b.process.pass(atSend) {
		return structs.CallReply{}, errKilled
	}
	reply, err := b.backends.Send(ctx, server, r)
	if !b.process.pass(afterSend) {
		return structs.CallReply{}, errKilled
	}
	return reply, err
}

// ReleaseKV implements dispatch.Router.
func (b *faultyBackends) ReleaseKV(ctx context.Context, engine, program string) error {
	if !b.process.pass(-1) {
		return errKilled
	}
	return b.backends.ReleaseKV(ctx, engine, program)
}

func (p *process) isDead() bool {
	select {
	case <-p.dead:
		return true
	default:
		return false
	}
}

func (p *process) isPaused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.paused != nil
}
