package dispatch

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"ibisline/internal/policy/fairshare"
	"ibisline/internal/policy/quarantine"
	"ibisline/internal/policy/retrybudget"
	"ibisline/internal/policy/window"
	"ibisline/internal/structs"
)

// Dispatcher routes the requests of this daemon's homes and dispatches to the
// backend servers that this daemon owns. It is safe for concurrent use.
type Dispatcher struct {
	config      Config
	deps        Deps
	shares      *shareTable
	usage       *entryUsage
	lengths     *lengthEstimator
	metrics     *dispatchMetrics
	quarantine  *sharedQuarantine
	programs    ProgramStates
	holders     HolderRecords
	orders      *orderSender
	statusCache *statusCache
	slots       *slotTable

	// roundRobin counts round-robin placements, statusRounds the rounds of
	// status requests.
	roundRobin   atomic.Uint64
	statusRounds atomic.Uint64
	// lastRequestNanos is the time of the last model call in Unix nanoseconds.
	lastRequestNanos atomic.Int64
	// draining is set when a planned stop begins.
	draining atomic.Bool

	mu         sync.Mutex
	engines    map[string]*engine
	services   map[string]*serverQueue
	lastRuns   *recentMap[lastRun]
	firstCalls *recentMap[time.Time]
	retries    *retrybudget.Budget
}

var _ Router = (*Dispatcher)(nil)

// New returns a dispatcher and registers its handlers with the mux.
func New(config Config, deps Deps) *Dispatcher {
	config = config.withDefaults()
	d := &Dispatcher{
		config:      config,
		deps:        deps,
		shares:      newShareTable(deps.Catalogue),
		usage:       newEntryUsage(),
		lengths:     newLengthEstimator(),
		metrics:     newDispatchMetrics(deps.Metrics),
		quarantine:  newSharedQuarantine(deps),
		orders:      newOrderSender(deps, config.PauseAllowance),
		statusCache: newStatusCache(),
		slots:       newSlotTable(),
		engines:     map[string]*engine{},
		services:    map[string]*serverQueue{},
		lastRuns:    newRecentMap[lastRun](maxTrackedPrograms),
		firstCalls:  newRecentMap[time.Time](maxTrackedPrograms),
		retries:     retrybudget.New(time.Now()),
	}
	deps.Mux.Handle(methodGenerate, d.handleGenerate)
	deps.Mux.Handle(methodSlot, d.handleSlot)
	deps.Mux.Handle(methodStatus, d.handleStatus)
	deps.Mux.Handle(methodQuarantine, d.quarantine.handle)
	deps.Mux.Handle(methodOrder, d.handleOrder)
	return d
}

// Run polls the engines and exchanges status until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return runPeriodically(ctx, d.config.PollInterval, d.pollEngines) })
	group.Go(func() error { return runPeriodically(ctx, d.config.StatusInterval, d.pullStatus) })
	group.Go(func() error { return runPeriodically(ctx, d.config.SweepInterval, d.sweepEngines) })
	group.Go(func() error { return d.quarantine.watch(ctx) })
	group.Go(func() error { return runPeriodically(ctx, quarantineCleanupInterval, d.quarantine.removeExpired) })
	group.Go(func() error { return runPeriodically(ctx, quarantineStoreInterval, d.quarantine.storeUnstored) })
	return group.Wait()
}

// countRequest records the arrival of a model call.
func (d *Dispatcher) countRequest() {
	d.lastRequestNanos.Store(time.Now().UnixNano())
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retries.RecordRequest()
}

// spendRetry takes one retry from the budget shared by moves and retries. It
// returns false if the budget is exhausted.
func (d *Dispatcher) spendRetry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.retries.Spend(time.Now()) {
		d.metrics.retriesRefused.Inc()
		return false
	}
	d.metrics.retries.Inc()
	return true
}

// lastRequest is the arrival time of the last model call.
func (d *Dispatcher) lastRequest() time.Time { return time.Unix(0, d.lastRequestNanos.Load()) }

// runPeriodically calls task immediately and then at each interval until ctx
// ends.
func runPeriodically(ctx context.Context, interval time.Duration, task func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		task(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// newQueue returns an empty queue with the configured policy.
func (d *Dispatcher) newQueue() fairshare.Queue {
	if d.config.Queue == QueueFIFO {
		return fairshare.NewFIFO()
	}
	return fairshare.NewFair()
}

// newWindow returns the concurrency window of an engine.
func (d *Dispatcher) newWindow(server structs.Server) *window.Window {
	return window.New(window.Config{
		Limit:            d.config.FixedWindow,
		Fixed:            d.config.Window == WindowFixed,
		MaxLimit:         maxWindow,
		GapTarget:        d.config.TokenGapTarget,
		FirstTokenTarget: d.config.FirstTokenTarget,
		KVTokens:         server.KVTokens,
	})
}

// engineOf returns the local state of an engine, creating it on first use.
func (d *Dispatcher) engineOf(server structs.Server) *engine {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.engines[server.Name]
	if e == nil {
		queue := newServerQueue(d.newQueue(), d.newWindow(server), d.shares, d.config.QueueLimit)
		e = newEngine(server, d.deps.Engines, queue, engineDeps{
			usage:      d.usage,
			lengths:    d.lengths,
			metrics:    d.metrics,
			quarantine: d.quarantine,
		})
		e.applyState()
		d.engines[server.Name] = e
	}
	return e
}

// knownEngine returns the local state of an engine, or nil if there is none.
func (d *Dispatcher) knownEngine(name string) *engine {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.engines[name]
}

// serviceQueue returns the queue of a plain service, creating it on first use.
func (d *Dispatcher) serviceQueue(server structs.Server) *serverQueue {
	d.mu.Lock()
	defer d.mu.Unlock()
	limit := cmp.Or(server.Slots, unlimited)
	queue := d.services[server.Name]
	if queue == nil {
		slots := window.New(window.Config{Limit: limit, Fixed: true})
		queue = newServerQueue(d.newQueue(), slots, d.shares, d.config.QueueLimit)
		d.services[server.Name] = queue
	}
	queue.setLimit(limit)
	return queue
}

// findServer looks up a backend server in the platform's list by name.
func (d *Dispatcher) findServer(name string) (structs.Server, bool) {
	for _, server := range d.deps.View.Servers() {
		if server.Name == name {
			return server, true
		}
	}
	return structs.Server{}, false
}

// Snapshot is the dispatcher state that Dump returns.
type Snapshot struct {
	Config   Config                `json:"config"`
	Engines  []EngineStatus        `json:"engines"`
	Services map[string]queueState `json:"services"`
	Known    []EngineStatus        `json:"known"`
	Slots    int                   `json:"slots"`
	// Quarantine lists the requests suspected of or known for crashing engines.
	Quarantine []quarantine.Entry `json:"quarantine"`
}

// Dump returns a Snapshot.
func (d *Dispatcher) Dump() any {
	snapshot := Snapshot{
		Config:     d.config,
		Engines:    d.statuses(),
		Services:   map[string]queueState{},
		Known:      d.statusCache.all(),
		Slots:      d.slots.count(),
		Quarantine: d.quarantine.entries(),
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, queue := range d.services {
		snapshot.Services[name] = queue.state()
	}
	return snapshot
}
