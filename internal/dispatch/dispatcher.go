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
	account     *account
	lengths     *lengths
	measures    *measures
	quarantined *quarantined
	programs    ProgramStates
	holders     HolderRecords
	orders      *orderDesk
	board       *statusBoard
	slots       *slotTable

	// turns counts placements in turn, pulls the rounds of status requests.
	turns atomic.Uint64
	pulls atomic.Uint64
	// requested is the time of the last request, in Unix nanoseconds.
	requested atomic.Int64
	// draining is set once a planned stop began.
	draining atomic.Bool

	mu       sync.Mutex
	engines  map[string]*engine
	services map[string]*serverQueue
	lastRuns *recentMap[lastRun]
	begun    *recentMap[time.Time]
	retries  *retrybudget.Budget
}

var _ Router = (*Dispatcher)(nil)

// New returns a dispatcher and registers its handlers with the mux.
func New(config Config, deps Deps) *Dispatcher {
	config = config.withDefaults()
	d := &Dispatcher{
		config:      config,
		deps:        deps,
		shares:      newShareTable(deps.Catalogue),
		account:     newAccount(),
		lengths:     newLengths(),
		measures:    newMeasures(deps.Metrics),
		quarantined: newQuarantined(deps),
		orders:      newOrderDesk(deps, config.PauseAllowance),
		board:       newStatusBoard(),
		slots:       newSlotTable(),
		engines:     map[string]*engine{},
		services:    map[string]*serverQueue{},
		lastRuns:    newRecentMap[lastRun](maxLastRuns),
		begun:       newRecentMap[time.Time](maxLastRuns),
		retries:     retrybudget.New(time.Now()),
	}
	deps.Mux.Handle(methodGenerate, d.handleGenerate)
	deps.Mux.Handle(methodSlot, d.handleSlot)
	deps.Mux.Handle(methodStatus, d.handleStatus)
	deps.Mux.Handle(methodQuarantine, d.quarantined.handle)
	deps.Mux.Handle(methodOrder, d.handleOrder)
	return d
}

// Run polls the engines and exchanges status until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return every(ctx, d.config.PollInterval, d.pollEngines) })
	group.Go(func() error { return every(ctx, d.config.StatusInterval, d.pullStatus) })
	group.Go(func() error { return every(ctx, d.config.SweepInterval, d.sweepEngines) })
	group.Go(func() error { return d.quarantined.watch(ctx) })
	group.Go(func() error { return every(ctx, cleanInterval, d.quarantined.clean) })
	return group.Wait()
}

// countRequest records that a model call came in.
func (d *Dispatcher) countRequest() {
	d.requested.Store(time.Now().UnixNano())
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retries.RecordRequest()
}

// spendRetry takes one retry out of the budget that moves and retries share.
func (d *Dispatcher) spendRetry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.retries.Spend(time.Now()) {
		d.measures.noBudget.Inc()
		return false
	}
	d.measures.retries.Inc()
	return true
}

// lastRequest is the time at which the last model call came in.
func (d *Dispatcher) lastRequest() time.Time { return time.Unix(0, d.requested.Load()) }

// every calls duty now and then at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, duty func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		duty(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// newQueue returns an empty queue of the configured kind.
func (d *Dispatcher) newQueue() fairshare.Queue {
	if d.config.Queue == QueueFIFO {
		return fairshare.NewFIFO()
	}
	return fairshare.NewFair()
}

// newWindow returns the window of an engine.
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

// engineOf returns the engine's state here, made at its first use.
func (d *Dispatcher) engineOf(server structs.Server) *engine {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.engines[server.Name]
	if e == nil {
		queue := newServerQueue(d.newQueue(), d.newWindow(server), d.shares, d.config.QueueLimit)
		e = newEngine(server, d.deps.Engines, queue, engineParts{
			account:     d.account,
			lengths:     d.lengths,
			measures:    d.measures,
			quarantined: d.quarantined,
		})
		e.applyState()
		d.engines[server.Name] = e
	}
	return e
}

// knownEngine returns an engine dispatched to here, or nil.
func (d *Dispatcher) knownEngine(name string) *engine {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.engines[name]
}

// serviceQueue returns the queue before a plain service, made at its first use.
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

// findServer returns a backend server of the platform's list by name.
func (d *Dispatcher) findServer(name string) (structs.Server, bool) {
	for _, server := range d.deps.View.Servers() {
		if server.Name == name {
			return server, true
		}
	}
	return structs.Server{}, false
}

// Snapshot is the state shown by Dump.
type Snapshot struct {
	Config   Config                `json:"config"`
	Engines  []EngineStatus        `json:"engines"`
	Services map[string]queueState `json:"services"`
	Known    []EngineStatus        `json:"known"`
	Slots    int                   `json:"slots"`
	// Quarantine lists requests that are suspected of crashing engines.
	Quarantine []quarantine.Entry `json:"quarantine"`
}

// Dump returns a Snapshot.
func (d *Dispatcher) Dump() any {
	snapshot := Snapshot{
		Config:     d.config,
		Engines:    d.statuses(),
		Services:   map[string]queueState{},
		Known:      d.board.all(),
		Slots:      d.slots.count(),
		Quarantine: d.quarantined.all(),
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, queue := range d.services {
		snapshot.Services[name] = queue.state()
	}
	return snapshot
}
