package dispatch_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"ibisline/internal/dispatch"
	"ibisline/internal/fake/objects"
	"ibisline/internal/fake/peers"
	"ibisline/internal/fake/scriptedengine"
	"ibisline/internal/structs"
)

// fleet is a set of dispatchers in one process, connected by in-memory streams.
type fleet struct {
	mu      sync.Mutex
	live    []structs.Instance
	servers []structs.Server
	entries []structs.Entry
	daemons map[string]*daemon
	engines *scriptedengine.Set
	store   *objects.Store
	network *peers.Network
}

type daemon struct {
	*dispatch.Dispatcher
	name          string
	node          *peers.Node
	fleet         *fleet
	ctx           context.Context
	stop          context.CancelFunc
	serversHidden bool // sees no servers; guarded by fleet.mu
}

// kill stops the daemon and closes the streams that it serves.
func (d *daemon) kill() {
	d.node.SetDown(true)
	d.stop()
}

// runFleet runs test with the named daemons in a synctest bubble.
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
		engines: scriptedengine.New(),
		store:   objects.New(),
		network: peers.New(nil),
	}
}

func (f *fleet) start(config dispatch.Config, name string) *daemon {
	return f.startWith(config, name, func(*daemon) {})
}

// startWith calls prepare with a new daemon and starts it.
func (f *fleet) startWith(config dispatch.Config, name string, prepare func(d *daemon)) *daemon {
	ctx, stop := context.WithCancel(context.Background())
	self := structs.Instance{Name: name, Region: "r1", State: structs.StateLive}
	d := &daemon{name: name, node: f.network.Join(self), fleet: f, ctx: ctx, stop: stop}
	d.Dispatcher = dispatch.New(config, dispatch.Deps{
		Self:      name,
		Region:    "r1",
		View:      d.view(),
		Catalogue: f,
		Dialer:    d.node,
		Mux:       d.node,
		Engines:   f.engines,
		Store:     f.store,
		Metrics:   metrics.NewSet(),
		Log:       &log.Logger{Handler: discard.Default, Level: log.FatalLevel},
	})
	prepare(d)
	f.mu.Lock()
	f.daemons[name] = d
	f.live = append(f.live, self)
	f.mu.Unlock()
	go func() { _ = d.Run(ctx) }()
	return d
}

// killAndRemove kills a daemon and removes it from the list of live daemons.
func (f *fleet) killAndRemove(name string) {
	f.daemons[name].kill()
	f.removeFromLive(name)
}

// removeFromLive removes a daemon from the list of live daemons.
func (f *fleet) removeFromLive(name string) {
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

// hideServers makes the list of servers empty for one daemon.
func (f *fleet) hideServers(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.daemons[name].serversHidden = true
}

// view is the member view of a daemon, with the fleet's lists of live daemons and
// servers.
type view struct {
	*peers.Node
	d *daemon
}

func (d *daemon) view() view { return view{d.node, d} }

func (v view) Live() []structs.Instance {
	v.d.fleet.mu.Lock()
	defer v.d.fleet.mu.Unlock()
	return v.d.fleet.live
}

func (v view) Servers() []structs.Server {
	v.d.fleet.mu.Lock()
	defer v.d.fleet.mu.Unlock()
	if v.d.serversHidden {
		return nil
	}
	return v.d.fleet.servers
}

// The methods below implement catalogue.Reader.

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
