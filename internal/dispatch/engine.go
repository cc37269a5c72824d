package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/backend"
	"ibisline/internal/policy/fairshare"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// engine is one model engine that this daemon dispatches to.
type engine struct {
	name    string
	queue   *serverQueue
	client  EngineClient
	account *account

	mu      sync.Mutex
	server  structs.Server
	leaving bool
	down    bool
	gap     time.Duration
}

func newEngine(server structs.Server, client EngineClient, queue *serverQueue, account *account) *engine {
	return &engine{name: server.Name, server: server, client: client, queue: queue, account: account}
}

// run waits for a slot, then streams the answer of the engine.
func (e *engine) run(ctx context.Context, request structs.GenerateRequest, emit func(text string) error) (structs.Generated, error) {
	item := newItem(request, time.Now())
	e.account.addWaiting(request.Entry, 1)
	grant, err := e.queue.acquire(ctx, item, request.Deadline)
	e.account.addWaiting(request.Entry, -1)
	if err != nil {
		return structs.Generated{}, err
	}
	generated, err := e.client.Generate(ctx, e.description(), request, emit)
	e.observe(err)
	cost := actualCost(item, generated, err)
	e.account.addReceived(request.Entry, cost)
	grant.release(cost)
	return generated, err
}

// newItem describes a request to the fair queue.
func newItem(request structs.GenerateRequest, now time.Time) *fairshare.Item {
	return &fairshare.Item{
		Owner:    request.Owner,
		Class:    request.Class,
		Cost:     float64(request.PromptTokens + request.MaxTokens),
		Attained: float64(request.Attained),
		Arrived:  now,
	}
}

// actualCost is what a request cost the engine. A failed one is charged its
// estimate, because the engine worked on it for an unknown time.
func actualCost(item *fairshare.Item, generated structs.Generated, err error) float64 {
	if err != nil {
		return item.Cost
	}
	usage := generated.Usage
	return float64(usage.PromptTokens - usage.CachedTokens + usage.OutputTokens)
}

// observe draws conclusions about the engine from the outcome of a request.
func (e *engine) observe(err error) {
	switch {
	case errors.Is(err, backend.ErrLeaving):
		e.setLeaving(true)
	case errors.Is(err, backend.ErrUnreachable):
		e.setDown(true)
	}
}

// setLeaving closes or opens the queue as the engine leaves or stays.
func (e *engine) setLeaving(leaving bool) {
	e.mu.Lock()
	e.leaving = leaving
	e.mu.Unlock()
	e.applyState()
}

// setDown closes or opens the queue as the engine fails or answers again.
func (e *engine) setDown(down bool) {
	e.mu.Lock()
	e.down = down
	e.mu.Unlock()
	e.applyState()
}

func (e *engine) applyState() {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.leaving || e.server.State == structs.StateLeaving:
		e.queue.close(verdict.Refuse(verdict.NoServer, "engine %s is leaving", e.server.Name))
	case e.down:
		e.queue.close(verdict.Refuse(verdict.NoServer, "engine %s cannot be reached", e.server.Name))
	default:
		e.queue.open()
	}
}

// describe takes over a newer description from the platform's list.
func (e *engine) describe(server structs.Server) {
	e.mu.Lock()
	changed := e.server.State != server.State
	e.server = server
	e.mu.Unlock()
	if changed {
		e.applyState()
	}
}

func (e *engine) description() structs.Server {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.server
}

// status is what routers are told.
func (e *engine) status() EngineStatus {
	state := e.queue.state()
	e.mu.Lock()
	defer e.mu.Unlock()
	return EngineStatus{
		Engine:      e.server.Name,
		Window:      state.Limit,
		Running:     state.Running,
		Waiting:     state.Waiting,
		WaitingCost: state.WaitingCost,
		Gap:         e.gap,
		Leaving:     e.leaving || e.server.State == structs.StateLeaving,
		Down:        e.down,
	}
}

// poll asks the engine for its load report.
func (e *engine) poll(ctx context.Context) {
	load, err := e.client.Load(ctx, e.description())
	switch {
	case err == nil:
		e.mu.Lock()
		changed := e.leaving != load.Leaving || e.down
		e.leaving = load.Leaving
		e.down = false
		e.mu.Unlock()
		if changed {
			e.applyState()
		}
	case errors.Is(err, backend.ErrUnreachable):
		e.setDown(true)
	}
}
