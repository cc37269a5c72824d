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

// engineParts are shared by all engines of a dispatcher.
type engineParts struct {
	account     *account
	lengths     *lengths
	measures    *measures
	quarantined *quarantined
}

// engine is one model engine that this daemon dispatches to.
type engine struct {
	engineParts
	name     string
	client   EngineClient
	queue    *serverQueue
	cache    *cacheMap
	underWay *underWay
	doubts   *doubts
	imports  *imports
	// suspects lets one suspect at a time run here.
	suspects semaphore

	mu      sync.Mutex
	server  structs.Server
	leaving bool
	down    bool
	kvFree  int
	slow    straggler.Detector
}

func newEngine(server structs.Server, client EngineClient, queue *serverQueue, parts engineParts) *engine {
	return &engine{
		engineParts: parts,
		name:        server.Name,
		client:      client,
		queue:       queue,
		cache:       newCacheMap(),
		underWay:    newUnderWay(),
		doubts:      newDoubts(),
		imports:     newImports(),
		suspects:    make(semaphore, 1),
		server:      server,
		kvFree:      server.KVTokens,
	}
}

// run waits for a slot, then streams the answer of the engine. A request that
// is suspected of crashing engines runs with no other suspect beside it.
func (e *engine) run(ctx context.Context, request structs.GenerateRequest, emit func(text string) error) (structs.Generated, error) {
	if e.quarantined.standing(request).Standing == quarantine.Suspect {
		return e.runSuspect(ctx, request, emit)
	}
	grant, err := e.admit(ctx, request)
	if err != nil {
		return structs.Generated{}, err
	}
	entry := e.quarantined.standing(request)
	switch entry.Standing {
	case quarantine.Clear:
		return e.runGranted(ctx, grant, request, emit)
	case quarantine.Suspect:
		grant.release(0)
		return e.runSuspect(ctx, request, emit)
	default:
		grant.release(0)
		return structs.Generated{}, refusedAsPoison(entry)
	}
}

// runSuspect runs a suspect once no other one runs here.
func (e *engine) runSuspect(ctx context.Context, request structs.GenerateRequest, emit func(text string) error) (structs.Generated, error) {
	if err := e.suspects.acquire(ctx, request.Deadline); err != nil {
		return structs.Generated{}, err
	}
	defer e.suspects.release()
	grant, err := e.admit(ctx, request)
	if err != nil {
		return structs.Generated{}, err
	}
	if err := e.quarantined.check(request); err != nil {
		grant.release(0)
		return structs.Generated{}, err
	}
	generated, err := e.runGranted(ctx, grant, request, emit)
	if err == nil {
		e.quarantined.finished(request)
	}
	return generated, err
}

// runGranted runs an admitted request.
func (e *engine) runGranted(ctx context.Context, grant *grant, request structs.GenerateRequest, emit func(text string) error) (structs.Generated, error) {
	if err := e.prepare(ctx, grant, &request); err != nil {
		grant.release(0)
		return structs.Generated{}, err
	}
	flight := e.underWay.begin(request)
	generated, err := e.stream(ctx, grant, request, emit)
	if errors.Is(err, backend.ErrTruncated) {
		e.cut(ctx, flight)
	}
	e.underWay.end(flight)
	e.observe(err)
	cost := actualCost(grant.item, generated, err)
	e.account.addReceived(request.Entry, cost)
	grant.release(cost)
	return generated, err
}

// admit waits for a slot.
func (e *engine) admit(ctx context.Context, request structs.GenerateRequest) (*grant, error) {
	uncached := e.uncachedAfterImport(e.lengths.expected(&request))
	item := &fairshare.Item{
		Owner:    request.Owner,
		Class:    request.Class,
		Cost:     float64(uncached + e.lengths.output(&request)),
		Attained: float64(request.Attained),
		Age:      request.Age,
		Arrived:  time.Now(),
	}
	need := window.Need{
		KVTokens:      request.PromptTokens + request.MaxTokens,
		PrefillTokens: uncached,
	}
	e.account.addWaiting(request.Entry, 1)
	defer e.account.addWaiting(request.Entry, -1)
	grant, err := e.queue.acquire(ctx, item, need, request.Deadline)
	if err != nil {
		return nil, err
	}
	e.measures.waited(request.Class, time.Since(item.Arrived))
	return grant, nil
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
	e.measures.finished(usage)
	e.measures.firstToken.Update(grant.first.Seconds())
	grant.prefilled(usage.PromptTokens-usage.CachedTokens, time.Now())
	grant.finished(actualCost(grant.item, generated, nil), time.Now())
	e.cache.stored(request.Program, usage.PromptTokens+usage.OutputTokens, time.Now())
	e.lengths.observePrompt(&request, usage.PromptTokens)
	e.lengths.observeOutput(&request, usage.OutputTokens)
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
	if refusal := e.stateRefusal(); refusal != nil {
		e.queue.close(refusal)
		return
	}
	e.queue.open()
}

// refusal is the answer to requests while the engine takes none, or nil.
func (e *engine) refusal() *verdict.Error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stateRefusal()
}

// stateRefusal does the work of refusal. The caller holds mu.
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
		DecodeGap:   state.DecodeGap,
		Service:     state.Service,
		Prefilling:  state.Prefilling,
		PrefillRate: state.PrefillRate,
		KVFree:      e.kvFree,
		CacheAge:    e.cache.meanAge(),
		Leaving:     e.leaving || e.server.State == structs.StateLeaving,
		Down:        e.down,
		Slow:        e.slow.Slow(),

		TransferRate:  e.imports.rate(),
		TransferAvoid: e.imports.avoided(),
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
		e.cache.apply(events, time.Now(), e.shortOf(load))
	}
	e.queue.forget(time.Now())
}

// shortFraction is the free part of the KV memory below which an engine may
// have had to evict.
const shortFraction = 0.25

// shortOf reports whether the engine's memory is so full that it evicts.
func (e *engine) shortOf(load backend.Load) bool {
	total := cmp.Or(load.KVTotalTokens, e.description().KVTokens)
	return float64(total-load.KVUsedTokens) < shortFraction*float64(total)
}

// reported takes over a load report.
func (e *engine) reported(load backend.Load) {
	e.mu.Lock()
	changed := e.leaving != load.Leaving || e.down
	e.leaving = load.Leaving
	e.down = false
	e.kvFree = cmp.Or(load.KVTotalTokens, e.server.KVTokens) - load.KVUsedTokens
	e.mu.Unlock()
	e.queue.reported(load.Running, load.Waiting)
	if changed {
		e.applyState()
	}
}

// judge compares the engine with the gaps of its peers. The window of one that
// turns out slow shrinks at once.
func (e *engine) judge(peers []time.Duration, target time.Duration) {
	gap := e.queue.state().DecodeGap
	e.mu.Lock()
	before := e.slow.Slow()
	slow := e.slow.Judge(gap, peers, target)
	e.mu.Unlock()
	if slow && !before {
		e.queue.shrink(float64(target)/float64(gap), time.Now())
	}
}
