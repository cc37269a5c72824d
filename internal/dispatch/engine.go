package dispatch

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/backend"
	"ibisline/internal/policy/fairshare"
	"ibisline/internal/policy/quarantine"
	"ibisline/internal/policy/straggler"
	"ibisline/internal/policy/window"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// engineDeps are the dependencies shared by all engines of a dispatcher.
type engineDeps struct {
	usage      *entryUsage
	lengths    *lengthEstimator
	metrics    *dispatchMetrics
	quarantine *sharedQuarantine
}

// engine is the local state of a model engine that this daemon dispatches to.
type engine struct {
	engineDeps
	name          string
	client        EngineClient
	queue         *serverQueue
	cache         *cacheMap
	inFlight      *inFlightRequests
	unknownCounts *unknownCounts
	imports       *importHistory
	// suspectSlot limits the engine to one request suspected of crashing engines
	// at a time.
	suspectSlot semaphore

	mu      sync.Mutex
	server  structs.Server
	leaving bool
	down    bool
	kvFree  int
	slow    straggler.Detector
}

func newEngine(server structs.Server, client EngineClient, queue *serverQueue, deps engineDeps) *engine {
	return &engine{
		engineDeps:    deps,
		name:          server.Name,
		client:        client,
		queue:         queue,
		cache:         newCacheMap(),
		inFlight:      newInFlightRequests(),
		unknownCounts: newUnknownCounts(),
		imports:       newImportHistory(),
		suspectSlot:   make(semaphore, 1),
		server:        server,
		kvFree:        server.KVTokens,
	}
}

// run waits for a slot, then streams the engine's answer. A request suspected of
// crashing engines never runs concurrently with another suspect.
func (e *engine) run(
	ctx context.Context, request structs.GenerateRequest, emit func(text string) error,
) (structs.GenerateResult, error) {
	if e.quarantine.find(request).Standing == quarantine.Suspect {
		return e.runSuspect(ctx, request, emit)
	}
	grant, err := e.admit(ctx, request)
	if err != nil {
		return structs.GenerateResult{}, err
	}
	entry := e.quarantine.find(request)
	switch entry.Standing {
	case quarantine.Clear:
		return e.runGranted(ctx, grant, request, emit)
	case quarantine.Suspect:
		grant.release(0)
		return e.runSuspect(ctx, request, emit)
	default:
		grant.release(0)
		return structs.GenerateResult{}, quarantineRefusal(entry)
	}
}

// runSuspect runs a suspected request once no other suspect runs at the engine.
func (e *engine) runSuspect(
	ctx context.Context, request structs.GenerateRequest, emit func(text string) error,
) (structs.GenerateResult, error) {
	if err := e.suspectSlot.acquire(ctx, request.Deadline); err != nil {
		return structs.GenerateResult{}, err
	}
	defer e.suspectSlot.release()
	grant, err := e.admit(ctx, request)
	if err != nil {
		return structs.GenerateResult{}, err
	}
	if err := e.quarantine.check(request); err != nil {
		grant.release(0)
		return structs.GenerateResult{}, err
	}
	generated, err := e.runGranted(ctx, grant, request, emit)
	if err == nil {
		e.quarantine.clearSuspect(request)
	}
	return generated, err
}

// runGranted runs an admitted request.
func (e *engine) runGranted(
	ctx context.Context, grant *grant, request structs.GenerateRequest, emit func(text string) error,
) (structs.GenerateResult, error) {
	if err := e.importBeforeRun(ctx, grant, &request); err != nil {
		grant.release(0)
		return structs.GenerateResult{}, err
	}
	running := e.inFlight.begin(request)
	generated, err := e.stream(ctx, grant, request, emit)
	if errors.Is(err, backend.ErrTruncated) {
		e.handleConnectionLoss(ctx, running)
	}
	e.inFlight.end(running)
	e.updateState(err)
	cost := actualCost(grant.item, generated, err)
	e.usage.addReceived(request.Entry, cost)
	grant.release(cost)
	return generated, err
}

// admit queues a request and waits for a slot.
func (e *engine) admit(ctx context.Context, request structs.GenerateRequest) (*grant, error) {
	uncached := e.uncachedAfterImport(e.lengths.withExpectedPrompt(&request))
	item := &fairshare.Item{
		Owner:    request.Owner,
		Class:    request.Class,
		Cost:     float64(uncached + e.lengths.expectedOutput(&request)),
		Attained: float64(request.AttainedTokens),
		Age:      request.Age,
		Arrived:  time.Now(),
	}
	need := window.Need{
		KVTokens:      request.PromptTokens + request.MaxTokens,
		PrefillTokens: uncached,
	}
	e.usage.addWaiting(request.Entry, 1)
	defer e.usage.addWaiting(request.Entry, -1)
	grant, err := e.queue.acquire(ctx, item, need, request.Deadline)
	if err != nil {
		return nil, err
	}
	e.metrics.observeWait(request.Class, time.Since(item.Arrived))
	return grant, nil
}

// stream sends a granted request to the engine and records its progress.
func (e *engine) stream(
	ctx context.Context, grant *grant, request structs.GenerateRequest, emit func(text string) error,
) (structs.GenerateResult, error) {
	generated, err := e.client.Generate(ctx, e.currentServer(), request, func(text string) error {
		grant.recordPiece(time.Now())
		err := emit(text)
		grant.recordPassedOn(time.Now())
		return err
	})
	if err != nil {
		return structs.GenerateResult{}, err
	}
	usage := generated.Usage
	e.metrics.countTokens(usage)
	e.metrics.firstToken.Update(grant.firstTokenDelay.Seconds())
	grant.recordPrefill(usage.PromptTokens-usage.CachedTokens, time.Now())
	grant.recordFinished(actualCost(grant.item, generated, nil), time.Now())
	e.cache.recordStored(request.Program, usage.PromptTokens+usage.OutputTokens, time.Now())
	e.lengths.observePrompt(&request, usage.PromptTokens)
	e.lengths.observeOutput(&request, usage.OutputTokens)
	return generated, nil
}

// actualCost is the cost of a request in computed tokens. A failed request is
// charged its estimate, because the work done by the engine is unknown.
func actualCost(item *fairshare.Item, generated structs.GenerateResult, err error) float64 {
	if err != nil {
		return item.Cost
	}
	usage := generated.Usage
	return float64(usage.PromptTokens - usage.CachedTokens + usage.OutputTokens)
}

// updateState updates the state of the engine from the error of a request.
func (e *engine) updateState(err error) {
	switch {
	case errors.Is(err, backend.ErrLeaving):
		e.setLeaving(true)
	case errors.Is(err, backend.ErrUnreachable):
		e.setDown(true)
	}
}

// setLeaving sets whether the engine is leaving and closes or opens its queue.
func (e *engine) setLeaving(leaving bool) {
	e.mu.Lock()
	e.leaving = leaving
	e.mu.Unlock()
	e.applyState()
}

// setDown sets whether the engine is unreachable and closes or opens its queue.
func (e *engine) setDown(down bool) {
	e.mu.Lock()
	e.down = down
	e.mu.Unlock()
	e.applyState()
}

func (e *engine) applyState() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if refusal := e.stateRefusal(); refusal != nil {
		e.queue.close(refusal)
		return
	}
	e.queue.open()
}

// refusal returns the error for new requests while the engine accepts none, or
// nil.
func (e *engine) refusal() *verdict.Error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stateRefusal()
}

// stateRefusal implements refusal. The caller must hold mu.
func (e *engine) stateRefusal() *verdict.Error {
	switch {
	case e.leaving || e.server.State == structs.StateLeaving:
		return verdict.Refuse(verdict.NoServer, "engine %s is leaving", e.server.Name)
	case e.down:
		return verdict.Refuse(verdict.NoServer, "engine %s cannot be reached", e.server.Name)
	default:
		return nil
	}
}

// setServer updates the engine's entry from the platform's list.
func (e *engine) setServer(server structs.Server) {
	e.mu.Lock()
	changed := e.server.State != server.State
	e.server = server
	e.mu.Unlock()
	if changed {
		e.applyState()
	}
}

func (e *engine) currentServer() structs.Server {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.server
}

// status returns the status reported to routers.
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
		DecodeGap:   state.DecodeGap,
		Service:     state.Service,
		Prefilling:  state.Prefilling,
		PrefillRate: state.PrefillRate,
		KVFree:      e.kvFree,
		CacheAge:    e.cache.meanEvictionAge(),
		Leaving:     e.leaving || e.server.State == structs.StateLeaving,
		Down:        e.down,
		Slow:        e.slow.Slow(),

		TransferRate:  e.imports.rate(),
		TransferAvoid: e.imports.avoided(),
	}
}

// poll reads the engine's load report and cache events.
func (e *engine) poll(ctx context.Context) {
	server := e.currentServer()
	load, err := e.client.Load(ctx, server)
	if err != nil {
		if errors.Is(err, backend.ErrUnreachable) {
			e.setDown(true)
		}
		return
	}
	e.applyLoadReport(load)
	events, err := e.client.KVEvents(ctx, server, e.cache.nextEventNumber())
	if err == nil {
		e.cache.apply(events, time.Now(), e.memoryShort(load))
	}
	e.queue.expireObservations(time.Now())
}

// memoryShortFraction is the free fraction of the KV memory below which an
// engine may have evicted prefixes.
const memoryShortFraction = 0.25

// memoryShort reports whether the engine's KV memory is so full that it may have
// evicted prefixes.
func (e *engine) memoryShort(load backend.Load) bool {
	total := cmp.Or(load.KVTotalTokens, e.currentServer().KVTokens)
	return float64(total-load.KVUsedTokens) < memoryShortFraction*float64(total)
}

// applyLoadReport updates the engine from a load report.
func (e *engine) applyLoadReport(load backend.Load) {
	e.mu.Lock()
	changed := e.leaving != load.Leaving || e.down
	e.leaving = load.Leaving
	e.down = false
	e.kvFree = cmp.Or(load.KVTotalTokens, e.server.KVTokens) - load.KVUsedTokens
	e.mu.Unlock()
	e.queue.applyLoadReport(load.Running, load.Waiting)
	if changed {
		e.applyState()
	}
}

// detectSlow compares the engine's token gap with those of its peers. When the
// engine is newly detected as slow, its window is reduced immediately.
func (e *engine) detectSlow(peers []time.Duration, target time.Duration) {
	gap := e.queue.state().DecodeGap
	e.mu.Lock()
	before := e.slow.Slow()
	slow := e.slow.Judge(gap, peers, target)
	e.mu.Unlock()
	if slow && !before {
		e.queue.shrink(float64(target)/float64(gap), time.Now())
	}
}
