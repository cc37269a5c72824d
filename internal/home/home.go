// Package home runs the programs of the shards that this daemon owns: their
// order, history, budget and non-repeatable calls.
package home

import (
	"context"
	"encoding/hex"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"ibisline/internal/budget"
	"ibisline/internal/invariant"
	"ibisline/internal/journal"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// Service is what a front asks of a home, here or on another daemon. All errors
// are *verdict.Error. A daemon that does not own the program's shard answers
// with reason NotHome. Every method may be called again after any error: turns
// and calls are identified by program and turn or key.
type Service interface {
	Open(ctx context.Context, request structs.OpenRequest) (structs.OpenReply, error)
	// Turn runs the turn, or joins or replays it when it is known, and delivers
	// its events from the first. The turn goes on when ctx ends.
	Turn(ctx context.Context, request structs.TurnRequest, sink structs.Sink) error
	// Resume delivers the events of a known turn after request.After.
	Resume(ctx context.Context, request structs.ResumeRequest, sink structs.Sink) error
	Call(ctx context.Context, request structs.CallRequest) (structs.CallReply, error)
	State(ctx context.Context, program string) (structs.ProgramState, error)
	End(ctx context.Context, program string) error
}

// Methods under which a home is served to peers.
const (
	MethodOpen   = "home.open"
	MethodTurn   = "home.turn"
	MethodResume = "home.resume"
	MethodCall   = "home.call"
	MethodState  = "home.state"
	MethodEnd    = "home.end"
)

// Home implements Service for the shards that this daemon holds.
type Home struct {
	cfg    Config
	deps   Deps
	checks *invariant.Checker
	counts *counters
	log    log.Interface

	started chan struct{} // closed when Run set ctx
	ctx     context.Context
	work    sync.WaitGroup

	mu       sync.Mutex
	shards   map[structs.ShardID]*shard
	claims   map[structs.ShardID]*claim
	draining bool
	// settled are the shards that the upkeep need not look at before the time
	// given, or before the membership changes when that is zero.
	settled map[structs.ShardID]time.Time
	changed <-chan struct{}
}

var _ Service = (*Home)(nil)

// New returns a home that holds no shard yet. It serves once Run was called.
func New(cfg Config, deps Deps) *Home {
	h := &Home{
		cfg:     cfg.withDefaults(),
		deps:    deps,
		checks:  invariant.New(deps.Metrics, deps.Log),
		log:     deps.Log.WithField("service", "home"),
		started: make(chan struct{}),
		shards:  map[structs.ShardID]*shard{},
		claims:  map[structs.ShardID]*claim{},
		settled: map[structs.ShardID]time.Time{},
		changed: deps.View.Changed(),
	}
	h.counts = newCounters(deps.Metrics, h)
	return h
}

// Run holds shards and does the upkeep until ctx ends. Shards still held then
// are dropped without a write; Drain hands them over before.
func (h *Home) Run(ctx context.Context) error {
	h.ctx = ctx
	close(h.started)
	ticker := time.NewTicker(h.cfg.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			h.work.Wait()
			return ctx.Err()
		case <-ticker.C:
			h.upkeep()
		}
	}
}

// retrySoon and retryLater are the waits suggested with refusals.
const (
	retrySoon  = 100 * time.Millisecond
	retryLater = 2 * time.Second
)

// notHome is the refusal of a daemon that does not hold the shard.
func notHome(format string, args ...any) error {
	return verdict.Refuse(verdict.NotHome, format, args...).RetryIn(retrySoon)
}

// enter returns the held shard and the program, and counts as activity of it.
func (h *Home) enter(ctx context.Context, id string) (*shard, *program, error) {
	sh, p, err := h.find(ctx, id)
	if err == nil {
		sh.touch(id)
	}
	return sh, p, err
}

// find returns the held shard and the program.
func (h *Home) find(ctx context.Context, id string) (*shard, *program, error) {
	shardID, ok := structs.ShardOf(id)
	if !ok {
		return nil, nil, verdict.Refuse(verdict.BadRequest, "malformed program identifier %q", id)
	}
	sh, err := h.acquire(ctx, shardID)
	if err != nil {
		return nil, nil, err
	}
	p, err := sh.program(id)
	if err != nil {
		return nil, nil, h.confirmed(ctx, sh, err)
	}
	return sh, p, nil
}

// entry returns the catalogue entry if it may start new work.
func (h *Home) entry(name string) (structs.Entry, error) {
	if err := h.deps.Catalogue.Admit(); err != nil {
		return structs.Entry{}, err
	}
	entry, ok := h.deps.Catalogue.Entry(name)
	if !ok {
		return structs.Entry{}, verdict.Refuse(verdict.UnknownEntry, "no catalogue entry %q", name)
	}
	if entry.Retired {
		return structs.Entry{}, verdict.Refuse(verdict.EntryRetired, "catalogue entry %q is retired", name)
	}
	return entry, nil
}

// limit waits until the fleet-wide limits of the entry admit one more request.
func (h *Home) limit(ctx context.Context, entry structs.Entry, deadline time.Time) (func(), error) {
	if h.deps.Limits == nil {
		return func() {}, nil
	}
	return h.deps.Limits.Acquire(ctx, entry, deadline)
}

// deadline is the latest time for a slot.
func (h *Home) deadline(milliseconds int) time.Time {
	if milliseconds <= 0 {
		return time.Now().Add(h.cfg.QueueFor)
	}
	return time.Now().Add(time.Duration(milliseconds) * time.Millisecond)
}

// State implements Service. It does not count as activity of the program: the
// sweeps of the dispatchers ask for it all the time.
func (h *Home) State(ctx context.Context, id string) (structs.ProgramState, error) {
	sh, _, err := h.find(ctx, id)
	if err != nil {
		return structs.ProgramState{}, err
	}
	var state structs.ProgramState
	sh.journal.View(func(s *journal.State) { state = h.describe(s, id) })
	return state, nil
}

// describe returns what a caller sees of a program.
func (h *Home) describe(s *journal.State, id string) structs.ProgramState {
	p, root := s.Programs[id], s.Programs[s.Programs[id].Root]
	state := structs.ProgramState{
		Program:     id,
		Entry:       p.Entry,
		Owner:       p.Owner,
		Parent:      p.Parent,
		Home:        h.deps.Self,
		Epoch:       s.Epoch,
		NextTurn:    p.Turns + 1,
		Ended:       p.Ended,
		SpentTokens: root.Tokens.Spent,
		Engines:     slices.Clone(p.Engines),
		Digest:      hex.EncodeToString(p.Digest),
	}
	if entry, ok := h.deps.Catalogue.Entry(root.Entry); ok && entry.BudgetTokens != budget.Unlimited {
		left := root.Tokens.Left(entry.BudgetTokens, 0)
		state.BudgetLeft = &left
	}
	return state
}
