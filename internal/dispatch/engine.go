package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/backend"
	"ibisline/internal/policy/fairshare"
	"ibisline/internal/policy/straggler"
	"ibisline/internal/policy/window"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// engine is one model engine that this daemon dispatches to.
type engine struct {
	name    string
	queue   *serverQueue
	client  EngineClient
	account *account
	cache   *cacheMap
	outputs *outputs

	mu      sync.Mutex
	server  structs.Server
	leaving bool
	down    bool
	kvFree  int
	slow    straggler.Detector
}

func newEngine(server structs.Server, client EngineClient, queue *serverQueue, account *account, outputs *outputs) *engine {
	return &engine{
		name:    server.Name,
		server:  server,
		client:  client,
		queue:   queue,
		account: account,
		cache:   newCacheMap(),
		outputs: outputs,
		kvFree:  server.KVTokens,
	}
}

// run waits for a slot, then streams the answer of the engine.
func (e *engine) run(ctx context.Context, request structs.GenerateRequest, emit func(text string) error) (structs.Generated, error) {
	grant, err := e.admit(ctx, request)
	if err != nil {
		return structs.Generated{}, err
	}
	generated, err := e.stream(ctx, grant, request, emit)
	e.observe(err)
	cost := actualCost(grant.item, generated, err)
	e.account.addReceived(request.Entry, cost)
	grant.release(cost)
	return generated, err
}

// admit waits for a slot.
func (e *engine) admit(ctx context.Context, request structs.GenerateRequest) (*grant, error) {
	uncached := e.cache.uncached(request)
	item := &fairshare.Item{
		Owner:    request.Owner,
		Class:    request.Class,
		Cost:     float64(uncached + e.outputs.expect(request)),
		Attained: float64(request.Attained),
		Arrived:  time.Now(),
	}
	need := window.Need{
		KVTokens:      request.PromptTokens + request.MaxTokens,
		PrefillTokens: uncached,
	}
	e.account.addWaiting(request.Entry, 1)
	defer e.account.addWaiting(request.Entry, -1)
	return e.queue.acquire(ctx, item, need, request.Deadline)
}

// stream runs a granted request and records its progress.
func (e *engine) stream(ctx context.Context, grant *grant, request structs.GenerateRequest, emit func(text string) error) (structs.Generated, error) {
	generated, err := e.client.Generate(ctx, e.description(), request, func(text string) error {
		grant.piece(time.Now())
		err := emit(text)
		grant.passed(time.Now())
		return err
	})
	if err != nil {
		return structs.Generated{}, err
	}
	usage := generated.Usage
	grant.prefilled(usage.PromptTokens - usage.CachedTokens)
	grant.finished(actualCost(grant.item, generated, nil), time.Now())
	e.cache.stored(request.Program, usage.PromptTokens+usage.OutputTokens, time.Now())
	e.outputs.observe(request, usage)
	return generated, nil
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
		Gap:         state.Gap,
		Service:     state.Service,
		Prefilling:  state.Prefilling,
		PrefillRate: state.PrefillRate,
		KVFree:      e.kvFree,
		CacheAge:    e.cache.meanAge(),
		Leaving:     e.leaving || e.server.State == structs.StateLeaving,
		Down:        e.down,
		Slow:        e.slow.Slow(),
	}
}

// poll asks the engine for its load report and its cache events.
func (e *engine) poll(ctx context.Context) {
	server := e.description()
	load, err := e.client.Load(ctx, server)
	if err != nil {
		if errors.Is(err, backend.ErrUnreachable) {
			e.setDown(true)
		}
		return
	}
	e.reported(load)
	events, err := e.client.KVEvents(ctx, server, e.cache.position())
	if err == nil {
		e.cache.apply(events, time.Now())
	}
	e.queue.forget(time.Now())
}

// reported takes over a load report.
func (e *engine) reported(load backend.Load) {
	e.mu.Lock()
	changed := e.leaving != load.Leaving || e.down
	e.leaving = load.Leaving
	e.down = false
	e.kvFree = orDefault(load.KVTotalTokens, e.server.KVTokens) - load.KVUsedTokens
	e.mu.Unlock()
	if changed {
		e.applyState()
	}
}

// judge compares the engine with the gaps of its peers. The window of one that
// turns out slow shrinks at once.
func (e *engine) judge(peers []time.Duration, target time.Duration) {
	gap := e.queue.state().Gap
	e.mu.Lock()
	before := e.slow.Slow()
	slow := e.slow.Judge(gap, peers, target)
	e.mu.Unlock()
	if slow && !before {
		e.queue.shrink(float64(target)/float64(gap), time.Now())
	}
}
