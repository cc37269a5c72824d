package dispatch_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/vmihailenco/msgpack/v5"

	"ibisline/internal/dispatch"
	"ibisline/internal/fake/engines"
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
	engines *engines.Set
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
		engines: engines.New(),
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
