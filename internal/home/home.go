// Package home runs the programs of the shards that a daemon holds: it orders their
// turns, keeps their history, enforces their budgets and sends each non-repeatable call
// at most once.
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

// Service is the interface of a home to the front, for a local or a remote home. All
// errors are *verdict.Error. A daemon that does not hold the program's shard fails with
// reason NotHome. Every method may be retried after any error: turns are identified by
// program and number, calls by program and key.
type Service interface {
	Open(ctx context.Context, request structs.OpenRequest) (structs.OpenReply, error)
	// Turn runs the turn, joins it if it is in progress, or replays it if it is
	// finished, and delivers its events from the first one. The turn continues when
	// ctx ends.
	Turn(ctx context.Context, request structs.TurnRequest, sink structs.Sink) error
	// Resume delivers the events of an existing turn after request.After.
	Resume(ctx context.Context, request structs.ResumeRequest, sink structs.Sink) error
	Call(ctx context.Context, request structs.CallRequest) (structs.CallReply, error)
	State(ctx context.Context, program string) (structs.ProgramState, error)
	End(ctx context.Context, program string) error
}

// Peer methods of Service.
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

	started chan struct{} // closed once Run has set ctx
	ctx     context.Context
	work    sync.WaitGroup

	mu       sync.Mutex
	shards   map[structs.ShardID]*shard
	claims   map[structs.ShardID]*claim
	draining bool
	// skipClaimUntil maps a shard to the time before which the upkeep does not try to
	// claim it. A zero time, set for a shard that is not stored, means until the
	// membership changes.
	skipClaimUntil    map[structs.ShardID]time.Time
	membershipChanged <-chan struct{}
}

var _ Service = (*Home)(nil)

// New returns a home that holds no shards. It serves requests once Run has been called.
func New(cfg Config, deps Deps) *Home {
	h := &Home{
		cfg:               cfg.withDefaults(),
		deps:              deps,
		checks:            invariant.New(deps.Metrics, deps.Log),
		log:               deps.Log.WithField("service", "home"),
		started:           make(chan struct{}),
		shards:            map[structs.ShardID]*shard{},
		claims:            map[structs.ShardID]*claim{},
		skipClaimUntil:    map[structs.ShardID]time.Time{},
		membershipChanged: deps.View.Changed(),
	}
	h.counts = newCounters(deps.Metrics, h)
	return h
}

// Run holds shards and runs the upkeep until ctx ends. Shards that are still held then
// are dropped without a write; call Drain first to hand them over.
func (h *Home) Run(ctx context.Context) error {
	h.ctx = ctx
	close(h.started)
	ticker := time.NewTicker(h.cfg.UpkeepInterval)
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

// retrySoon and retryLater are the retry delays suggested to callers in refusals.
const (
	retrySoon  = 100 * time.Millisecond
	retryLater = 2 * time.Second
)

// notHome returns the refusal of a daemon that does not hold the shard.
func notHome(format string, args ...any) error {
	return verdict.Refuse(verdict.NotHome, format, args...).RetryIn(retrySoon)
}

// findAndTouch returns the held shard and the program, and records activity of the
// program.
func (h *Home) findAndTouch(ctx context.Context, id string) (*shard, *program, error) {
	sh, p, err := h.findProgram(ctx, id)
	if err == nil {
		sh.touch(id)
	}
	return sh, p, err
}

// findProgram returns the held shard and the program, and records no activity.
func (h *Home) findProgram(ctx context.Context, id string) (*shard, *program, error) {
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
		return nil, nil, h.confirmRefusal(ctx, sh, err)
	}
	return sh, p, nil
}

// activeEntry returns the catalogue entry if it admits new work.
func (h *Home) activeEntry(name string) (structs.Entry, error) {
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

// acquireLimit waits until the fleet-wide limits of the entry admit one more request.
func (h *Home) acquireLimit(ctx context.Context, entry structs.Entry, deadline time.Time) (func(), error) {
	if h.deps.Limits == nil {
		return func() {}, nil
	}
	return h.deps.Limits.Acquire(ctx, entry, deadline)
}

// slotDeadline returns the time by which a turn must have a slot.
func (h *Home) slotDeadline(deadlineMS int) time.Time {
	if deadlineMS <= 0 {
		return time.Now().Add(h.cfg.QueueFor)
	}
	return time.Now().Add(time.Duration(deadlineMS) * time.Millisecond)
}

// State returns the state of a program. It does not count as activity of the program,
// because the dispatchers call it in every sweep.
func (h *Home) State(ctx context.Context, id string) (structs.ProgramState, error) {
	sh, _, err := h.findProgram(ctx, id)
	if err != nil {
		return structs.ProgramState{}, err
	}
	var state structs.ProgramState
	sh.journal.View(func(s *journal.State) { state = h.programState(s, id) })
	return state, nil
}

// programState returns the caller-visible state of a program.
func (h *Home) programState(s *journal.State, id string) structs.ProgramState {
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
