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

// killPoint is a place at which a process can be killed.
type killPoint int

const (
	atPut killPoint = iota
	afterPut
	atSend
	afterSend
	atGenerate
)

// process wraps the connections between a home and its environment. A dead process has
// no effects and gets no answers; a paused one has neither until it is resumed.
type process struct {
	cluster *cluster
	name    string
	dead    chan struct{}

	mu           sync.Mutex
	paused       chan struct{} // closed at resume, or nil
	armed        map[killPoint]bool
	stopped      bool
	running      map[string]int // number of generations in progress, by program
	failingSince time.Time      // time of the first unanswered write since the last answered one
}

func newProcess(cl *cluster, name string) *process {
	return &process{cluster: cl, name: name, dead: make(chan struct{}), armed: map[killPoint]bool{}, running: map[string]int{}}
}

// kill marks the process as dead.
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

func (p *process) arm(at killPoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.armed[at] = true
}

// countRunning counts the generations in progress. A home runs at most one per program.
func (p *process) countRunning(program string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[program] += n
	if p.running[program] > 1 {
		p.cluster.reportViolation("order: home %s runs two turns of %s at once", p.name, program)
	}
}

// recordWrite records since when writes are unanswered. A conflict counts as an answer,
// because it is followed by a read that shows the result.
func (p *process) recordWrite(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failingSince.IsZero() && err != nil {
		p.failingSince = time.Now()
	}
	if err == nil || errors.Is(err, objectapi.ErrConflict) {
		p.failingSince = time.Time{}
	}
}

// outage reports whether the live process has had no answered write for at least grace.
func (p *process) outage(grace time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.stopped && !p.failingSince.IsZero() && time.Since(p.failingSince) >= grace
}

// reach blocks while the process is paused, and returns false if the process is dead or
// is killed at this point.
func (p *process) reach(at killPoint) bool {
	p.mu.Lock()
	fire := p.armed[at]
	delete(p.armed, at)
	paused := p.paused
	p.mu.Unlock()
	if fire {
		p.kill()
		p.cluster.membership.remove(p.name)
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

// faultyStore is the store as seen by one process.
type faultyStore struct {
	objectapi.Store
	process *process
}

func (s *faultyStore) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	if !s.process.reach(atPut) {
		return 0, objectapi.ErrUnknown
	}
	version, err := s.Store.Put(ctx, key, value, expected)
	if !s.process.reach(afterPut) {
		return 0, objectapi.ErrUnknown
	}
	s.process.recordWrite(err)
	return version, err
}

func (s *faultyStore) Get(ctx context.Context, key string) (objectapi.Object, error) {
	if !s.process.reach(-1) {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	object, err := s.Store.Get(ctx, key)
	if !s.process.reach(-1) {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	return object, err
}

func (s *faultyStore) Delete(ctx context.Context, key string, expected int64) error {
	if !s.process.reach(-1) {
		return objectapi.ErrUnknown
	}
	return s.Store.Delete(ctx, key, expected)
}

// faultyBackends are the router and the sender as seen by one process.
type faultyBackends struct {
	*backends
	process *process
}

var errKilled = verdict.New(verdict.MayHaveRun, verdict.PeerLost, "process was killed")

func (b *faultyBackends) Generate(
	ctx context.Context, r structs.GenerateRequest, emit func(string) error,
) (structs.GenerateResult, error) {
	if !b.process.reach(atGenerate) {
		return structs.GenerateResult{}, errKilled
	}
	b.importKVCache(r)
	b.process.countRunning(r.Program, 1)
	defer b.process.countRunning(r.Program, -1)
	g, err := b.backends.Generate(ctx, r, emit)
	if !b.process.reach(-1) {
		return structs.GenerateResult{}, errKilled
	}
	return g, err
}

// importKVCache simulates an import at an engine other than the one that will run the
// turn, after the home has recorded it. Failures of that turn are left to the other
// faults.
func (b *faultyBackends) importKVCache(r structs.GenerateRequest) {
	d := b.process.cluster.daemon(b.process.name)
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

func (b *faultyBackends) Send(
	ctx context.Context, server structs.Server, r structs.CallRequest,
) (structs.CallReply, error) {
	if !b.process.reach(atSend) {
		return structs.CallReply{}, errKilled
	}
	reply, err := b.backends.Send(ctx, server, r)
	if !b.process.reach(afterSend) {
		return structs.CallReply{}, errKilled
	}
	return reply, err
}

func (b *faultyBackends) ReleaseKV(ctx context.Context, engine, program string) error {
	if !b.process.reach(-1) {
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
