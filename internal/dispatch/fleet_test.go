package dispatch_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/vmihailenco/msgpack/v5"

	"ibisline/internal/backend"
	"ibisline/internal/dispatch"
	"ibisline/internal/fake/objects"
	"ibisline/internal/peer"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// fleet is a set of dispatchers in one process, joined by streams in memory.
type fleet struct {
	mu      sync.Mutex
	live    []structs.Instance
	servers []structs.Server
	entries []structs.Entry
	daemons map[string]*daemon
	engines *fakeEngines
	store   *objects.Store
	changed chan struct{}
}

type daemon struct {
	*dispatch.Dispatcher
	name     string
	handlers map[string]peer.Handler
	fleet    *fleet
	ctx      context.Context
	kill     context.CancelFunc
	blind    bool // sees no servers; guarded by fleet.mu
}

// runFleet runs test in a bubble of virtual time with the named daemons.
func runFleet(t *testing.T, config dispatch.Config, names []string, servers []structs.Server, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(servers)
		for _, name := range names {
			f.start(config, name)
		}
		defer func() {
			for _, d := range f.daemons {
				d.kill()
			}
			synctest.Wait()
		}()
		test(t, f)
	})
}

func newFleet(servers []structs.Server) *fleet {
	return &fleet{
		servers: servers,
		daemons: map[string]*daemon{},
		engines: newFakeEngines(),
		store:   objects.New(),
		changed: make(chan struct{}),
	}
}

func (f *fleet) start(config dispatch.Config, name string) *daemon {
	return f.startWith(config, name, func(*daemon) {})
}

// startWith starts a daemon after prepare was called with it.
func (f *fleet) startWith(config dispatch.Config, name string, prepare func(d *daemon)) *daemon {
	ctx, kill := context.WithCancel(context.Background())
	d := &daemon{name: name, handlers: map[string]peer.Handler{}, fleet: f, ctx: ctx, kill: kill}
	d.Dispatcher = dispatch.New(config, dispatch.Deps{
		Self:      name,
		Region:    "r1",
		View:      view{d},
		Catalogue: f,
		Dialer:    d,
		Mux:       d,
		Engines:   f.engines,
		Store:     f.store,
		Metrics:   metrics.NewSet(),
		Log:       &log.Logger{Handler: discard.Default, Level: log.FatalLevel},
	})
	prepare(d)
	f.mu.Lock()
	f.daemons[name] = d
	f.live = append(f.live, structs.Instance{Name: name, Region: "r1", State: structs.StateLive})
	f.mu.Unlock()
	go func() { _ = d.Run(ctx) }()
	return d
}

// lose kills a daemon and takes it off the list.
func (f *fleet) lose(name string) {
	f.daemons[name].kill()
	f.leave(name)
}

// leave takes a daemon off the list.
func (f *fleet) leave(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, instance := range f.live {
		if instance.Name == name {
			f.live = append(append([]structs.Instance{}, f.live[:i]...), f.live[i+1:]...)
			return
		}
	}
}

// setServers replaces the platform's list of backend servers.
func (f *fleet) setServers(servers []structs.Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.servers = servers
}

// setEntries replaces the catalogue.
func (f *fleet) setEntries(entries []structs.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = entries
}

// blind makes one daemon see no servers.
func (f *fleet) blind(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.daemons[name].blind = true
}

// view implements member.View.
type view struct{ d *daemon }

func (v view) Self() structs.Instance {
	return structs.Instance{Name: v.d.name, Region: "r1", State: structs.StateLive}
}

func (v view) Live() []structs.Instance {
	v.d.fleet.mu.Lock()
	defer v.d.fleet.mu.Unlock()
	return v.d.fleet.live
}

func (v view) Lookup(name string) (structs.Instance, bool) {
	for _, instance := range v.Live() {
		if instance.Name == name {
			return instance, true
		}
	}
	return structs.Instance{}, false
}

func (v view) Servers() []structs.Server {
	v.d.fleet.mu.Lock()
	defer v.d.fleet.mu.Unlock()
	if v.d.blind {
		return nil
	}
	return v.d.fleet.servers
}

func (v view) Changed() <-chan struct{} { return v.d.fleet.changed }

// The fleet implements catalogue.Reader.

func (f *fleet) Entry(name string) (structs.Entry, bool) {
	for _, entry := range f.Entries() {
		if entry.Name == name {
			return entry, true
		}
	}
	return structs.Entry{}, false
}

func (f *fleet) Entries() []structs.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entries
}

func (f *fleet) Revision() int64 { return int64(len(f.Entries())) }
func (f *fleet) Admit() error    { return nil }

// The daemon implements peer.Mux and peer.Dialer.

func (d *daemon) Handle(method string, h peer.Handler) { d.handlers[method] = h }

func (d *daemon) Open(opened context.Context, name, method string) (peer.Stream, error) {
	target := d.fleet.daemons[name]
	if target == nil || target.ctx.Err() != nil {
		return nil, verdict.Refuse(verdict.PeerLost, "daemon %s is down", name)
	}
	ctx, cancel := context.WithCancel(target.ctx)
	context.AfterFunc(opened, cancel)
	up, down := make(chan []byte, 4096), make(chan []byte, 4096)
	end := &streamEnd{}
	caller := &memoryStream{ctx: ctx, cancel: cancel, out: up, in: down, end: end}
	callee := &memoryStream{ctx: ctx, cancel: cancel, out: down, in: up}
	go func() {
		end.err = target.handlers[method](ctx, callee)
		if end.err == nil {
			end.err = io.EOF
		}
		close(down)
	}()
	return caller, nil
}

// streamEnd carries the result of a handler; it is set before its channel is
// closed.
type streamEnd struct{ err error }

// memoryStream implements peer.Stream over channels of encoded frames.
type memoryStream struct {
	ctx    context.Context
	cancel context.CancelFunc
	out    chan<- []byte
	in     <-chan []byte
	end    *streamEnd
}

func (s *memoryStream) Send(message any) error {
	frame, err := msgpack.Marshal(message)
	if err != nil {
		return err
	}
	select {
	case s.out <- frame:
		return nil
	case <-s.ctx.Done():
		return lost()
	}
}

func (s *memoryStream) Recv(message any) error {
	select {
	case frame, ok := <-s.in:
		if !ok {
			return s.end.err
		}
		return msgpack.Unmarshal(frame, message)
	case <-s.ctx.Done():
		return lost()
	}
}

func lost() error { return verdict.New(verdict.MayHaveRun, verdict.PeerLost, "stream broke") }

func (s *memoryStream) CloseSend() error { return nil }
func (s *memoryStream) Close() error     { s.cancel(); return nil }

// fakeEngine is one scripted engine.
type fakeEngine struct {
	// tokens is the number of pieces of an answer, one each gap.
	tokens int
	gap    time.Duration
	// failAfter ends an answer with failure after so many pieces; -1 never.
	failAfter int
	failure   error
	// hang holds each request before its first piece until its context ends.
	hang     bool
	leaving  bool
	down     bool
	usage    structs.Usage
	kv       map[string]int
	offered  int
	started  int
	running  int
	peak     int
	crashes  int
	crashed  chan struct{}
	released []string
	orders   backend.OrderState
	// loseOrders is the number of coming orders whose reply is lost; loseEffect
	// loses the order itself.
	loseOrders  int
	loseEffect  bool
	ordersTaken int
	order       []string
	// importing is the time that an import takes, hangExport keeps imports from
	// this engine from ending.
	importing  time.Duration
	hangExport bool
	imports    int
}

// fakeEngines implements dispatch.EngineClient in memory.
type fakeEngines struct {
	mu      sync.Mutex
	engines map[string]*fakeEngine
}

func newFakeEngines() *fakeEngines { return &fakeEngines{engines: map[string]*fakeEngine{}} }

// set changes an engine under the lock.
func (f *fakeEngines) set(name string, change func(e *fakeEngine)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f.engine(name))
}

// get returns a copy of an engine's state.
func (f *fakeEngines) get(name string) fakeEngine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return *f.engine(name)
}

func (f *fakeEngines) engine(name string) *fakeEngine {
	e := f.engines[name]
	if e == nil {
		e = &fakeEngine{tokens: 3, gap: 10 * time.Millisecond, failAfter: -1, kv: map[string]int{}, crashed: make(chan struct{})}
		f.engines[name] = e
	}
	return e
}

func unreachable() error {
	return verdict.Wrap(backend.ErrUnreachable, verdict.NotRun, verdict.BackendFailed, "no connection")
}

func cut() error {
	return verdict.Wrap(backend.ErrCut, verdict.MayHaveRun, verdict.BackendFailed, "cut")
}

func (f *fakeEngines) Generate(ctx context.Context, server structs.Server, request structs.GenerateRequest, emit func(string) error) (structs.Generated, error) {
	script, err := f.begin(server.Name, request)
	if err != nil {
		return structs.Generated{}, err
	}
	defer f.set(server.Name, func(e *fakeEngine) { e.running-- })
	if script.hang {
		<-ctx.Done()
	}
	if request.Messages[0].Content == poison {
		f.crash(server.Name)
	}
	for i := range script.tokens {
		if i == script.failAfter {
			return structs.Generated{}, script.failure
		}
		select {
		case <-ctx.Done():
			return structs.Generated{}, verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.Canceled, "canceled")
		case <-script.crashed:
			return structs.Generated{}, cut()
		case <-time.After(script.gap):
		}
		if err := emit("x"); err != nil {
			return structs.Generated{}, verdict.Wrap(err, verdict.MayHaveRun, verdict.Canceled, "reader gone")
		}
	}
	usage := script.usage
	if usage == (structs.Usage{}) {
		usage = structs.Usage{PromptTokens: request.PromptTokens, OutputTokens: script.tokens}
	}
	return structs.Generated{Engine: server.Name, Usage: usage, Finish: "stop"}, nil
}

// crash ends all requests of an engine, which stays down for a second.
func (f *fakeEngines) crash(name string) {
	f.set(name, func(e *fakeEngine) {
		e.crashes++
		e.down = true
		e.kv = map[string]int{}
		close(e.crashed)
		e.crashed = make(chan struct{})
	})
	time.AfterFunc(time.Second, func() { f.set(name, func(e *fakeEngine) { e.down = false }) })
}

func (f *fakeEngines) begin(name string, request structs.GenerateRequest) (fakeEngine, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engine(name)
	e.offered++
	if e.down {
		return fakeEngine{}, unreachable()
	}
	if e.leaving {
		return fakeEngine{}, verdict.Wrap(backend.ErrLeaving, verdict.MayHaveRun, verdict.NoServer, "leaving")
	}
	e.started++
	e.running++
	e.peak = max(e.peak, e.running)
	e.order = append(e.order, request.Program)
	e.kv[request.Program] = request.PromptTokens
	return *e, nil
}

func (f *fakeEngines) Load(_ context.Context, server structs.Server) (backend.Load, error) {
	e := f.get(server.Name)
	if e.down {
		return backend.Load{}, unreachable()
	}
	return backend.Load{Leaving: e.leaving}, nil
}

func (f *fakeEngines) ListKV(_ context.Context, server structs.Server) (map[string]int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engine(server.Name)
	if e.down {
		return nil, unreachable()
	}
	held := map[string]int{}
	for program, tokens := range e.kv {
		held[program] = tokens
	}
	return held, nil
}

func (f *fakeEngines) ReleaseKV(_ context.Context, server structs.Server, program string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engine(server.Name)
	if e.down {
		return unreachable()
	}
	if _, ok := e.kv[program]; !ok {
		return backend.ErrNotHeld
	}
	delete(e.kv, program)
	e.released = append(e.released, program)
	return nil
}

// beginImport takes over the memory and returns its tokens and how long the
// import takes.
func (f *fakeEngines) beginImport(server structs.Server, program, from string) (int, time.Duration, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	source := f.engine(from)
	tokens, held := source.kv[program]
	if !held {
		return 0, 0, backend.ErrNotHeld
	}
	e := f.engine(server.Name)
	e.imports++
	e.kv[program] = tokens
	if source.hangExport {
		return tokens, time.Hour, nil
	}
	return tokens, e.importing, nil
}

func (f *fakeEngines) ImportKV(ctx context.Context, server structs.Server, program, from string) (int, error) {
	tokens, wait, err := f.beginImport(server, program, from)
	if err != nil {
		return 0, err
	}
	select {
	case <-ctx.Done():
		return 0, verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.BackendTimeout, "no answer in time")
	case <-time.After(wait):
		return tokens, nil
	}
}

func (f *fakeEngines) KVEvents(context.Context, structs.Server, int64) (backend.KVEvents, error) {
	return backend.KVEvents{}, nil
}

func (f *fakeEngines) SendOrder(_ context.Context, server structs.Server, order backend.Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engine(server.Name)
	if e.down {
		return unreachable()
	}
	lost := e.loseOrders > 0
	if lost {
		e.loseOrders--
		if e.loseEffect {
			return cut()
		}
	}
	if server.Fences && order.Fence < e.orders.Fence {
		return backend.ErrFenced
	}
	e.ordersTaken++
	e.orders.Fence = order.Fence
	if order.Kind == backend.LoadModel {
		e.orders.Models = append(e.orders.Models, order.Name)
	}
	if lost {
		return cut()
	}
	return nil
}

func (f *fakeEngines) OrderState(_ context.Context, server structs.Server) (backend.OrderState, error) {
	e := f.get(server.Name)
	if e.down {
		return backend.OrderState{}, unreachable()
	}
	return e.orders, nil
}
