package catalogue_test

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"ibisline/internal/catalogue"
	"ibisline/internal/fake/objects"
	"ibisline/internal/fake/peers"
	"ibisline/internal/fake/testbed"
	"ibisline/internal/objectapi"
	"ibisline/internal/structs"
)

// gate is one daemon's way to the platform, with faults of its own.
type gate struct {
	objectapi.Store
	mu    sync.Mutex
	cut   bool
	stuck bool
	// held is closed when a paused daemon is resumed; nil while it runs.
	held chan struct{}
}

// set changes the faults.
func (g *gate) set(change func(g *gate)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(g)
}

// pause stops all answers until resume.
func (g *gate) pause() { g.set(func(g *gate) { g.held = make(chan struct{}) }) }

// resume lets the answers through that came in meanwhile.
func (g *gate) resume() {
	g.set(func(g *gate) {
		if g.held != nil {
			close(g.held)
			g.held = nil
		}
	})
}

// closed blocks while the daemon is paused, and reports whether the platform is
// out of its reach or its call was given up meanwhile.
func (g *gate) closed(ctx context.Context) bool {
	g.mu.Lock()
	held := g.held
	g.mu.Unlock()
	if held != nil {
		select {
		case <-held:
		case <-ctx.Done():
		}
	}
	return g.isCut() || held != nil && ctx.Err() != nil
}

func (g *gate) isCut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cut
}

func (g *gate) isPaused() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.held != nil
}

func (g *gate) isStuck() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stuck
}

func (g *gate) Get(ctx context.Context, key string) (objectapi.Object, error) {
	if g.closed(ctx) {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	object, err := g.Store.Get(ctx, key)
	if g.closed(ctx) {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	return object, err
}

func (g *gate) List(ctx context.Context, prefix string) ([]objectapi.Object, int64, error) {
	if g.closed(ctx) {
		return nil, 0, objectapi.ErrUnavailable
	}
	found, revision, err := g.Store.List(ctx, prefix)
	if g.closed(ctx) {
		return nil, 0, objectapi.ErrUnavailable
	}
	return found, revision, err
}

func (g *gate) Watch(ctx context.Context, prefix string, after int64) ([]objectapi.Event, int64, error) {
	if g.closed(ctx) {
		return nil, 0, objectapi.ErrUnavailable
	}
	if g.isStuck() {
		return g.hang(ctx, after)
	}
	events, revision, err := g.Store.Watch(ctx, prefix, after)
	if g.closed(ctx) {
		return nil, 0, objectapi.ErrUnavailable
	}
	if g.isStuck() {
		return g.hang(ctx, after)
	}
	return events, revision, err
}

// hang waits as a watch does whose connection was lost unseen.
func (g *gate) hang(ctx context.Context, after int64) ([]objectapi.Event, int64, error) {
	select {
	case <-ctx.Done():
		return nil, after, nil
	case <-time.After(objectapi.DefaultWatchTimeout):
		return nil, 0, objectapi.ErrUnavailable
	}
}

// daemon is one catalogue of a fleet.
type daemon struct {
	*catalogue.Catalogue
	name string
	node *peers.Node
	gate *gate
	loop *testbed.Loop
}

// fleet is a set of catalogues over one store and one network.
type fleet struct {
	t       require.TestingT
	store   *objects.Store
	network *peers.Network
	daemons []*daemon
	rng     *rand.Rand
	mu      sync.Mutex
}

// regions of a test fleet; each has one data centre.
var regions = []string{"nav-a", "gip-a", "rio-a"}

// oneWayLatency is the latency between regions.
const oneWayLatency = 8 * time.Millisecond

// newFleet returns a fleet of size daemons spread over the regions. It must be
// used inside a synctest bubble and stopped before its end.
func newFleet(t require.TestingT, size int, seed int64) *fleet {
	f := &fleet{t: t, store: objects.New(), rng: rand.New(rand.NewSource(seed))}
	f.network = peers.New(f.latency)
	for i := range size {
		f.daemons = append(f.daemons, f.newDaemon(i))
	}
	for _, d := range f.daemons {
		d.loop = testbed.Start(d.Run)
	}
	return f
}

// latency is up to twice the latency of the link.
func (f *fleet) latency(from, to structs.Instance) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if from.Region == to.Region {
		return time.Duration(f.rng.Int63n(int64(time.Millisecond)))
	}
	return oneWayLatency + time.Duration(f.rng.Int63n(int64(oneWayLatency)))
}

// newDaemon joins daemon i, which is not started yet.
func (f *fleet) newDaemon(i int) *daemon {
	name := fmt.Sprintf("d%d", i)
	region := regions[i%len(regions)]
	instance := structs.Instance{Name: name, Region: region, DataCentre: region + "-1", State: structs.StateLive}
	d := &daemon{name: name, node: f.network.Join(instance), gate: &gate{Store: f.store}}
	d.Catalogue = catalogue.New(catalogue.Config{}, d.gate, d.node, d.node, d.node, metrics.NewSet(), testbed.NoLog())
	return d
}

// restart replaces daemon i by a new process of the same name.
func (f *fleet) restart(i int) *daemon {
	cut := f.daemons[i].gate.isCut()
	f.halt(f.daemons[i])
	f.daemons[i] = f.newDaemon(i)
	f.daemons[i].gate.cut = cut
	f.daemons[i].loop = testbed.Start(f.daemons[i].Run)
	return f.daemons[i]
}

// halt stops a daemon.
func (f *fleet) halt(d *daemon) {
	d.node.SetDown(true)
	d.gate.resume()
	d.loop.Stop()
}

// stop stops the whole fleet.
func (f *fleet) stop() {
	for _, d := range f.daemons {
		f.halt(d)
	}
}

// isolate cuts daemon i from its peers and the platform, or heals it.
func (f *fleet) isolate(i int, on bool) {
	f.daemons[i].gate.set(func(g *gate) { g.cut = on })
	for j := range f.daemons {
		f.cutPair(i, j, on)
	}
}

// cutPair cuts or heals both directions between two daemons.
func (f *fleet) cutPair(i, j int, on bool) {
	f.network.Cut(f.daemons[i].name, f.daemons[j].name, on)
	f.network.Cut(f.daemons[j].name, f.daemons[i].name, on)
}

// entry returns a valid entry with a share.
func entry(name string, share float64) structs.Entry {
	return structs.Entry{Name: name, Owner: "weaver", Class: "orders", Share: share}
}

// put edits an entry as an operator does and returns the new version.
func (f *fleet) put(e structs.Entry) int64 {
	object, err := f.store.Get(context.Background(), catalogue.Key(e.Name))
	if err != nil {
		require.ErrorIs(f.t, err, objectapi.ErrNotFound)
	}
	value, err := catalogue.Encode(e)
	require.NoError(f.t, err)
	version, err := f.store.Put(context.Background(), catalogue.Key(e.Name), value, object.Version)
	require.NoError(f.t, err)
	return version
}

// remove deletes an entry and returns the revision of the API afterwards.
func (f *fleet) remove(name string) int64 {
	object, err := f.store.Get(context.Background(), catalogue.Key(name))
	require.NoError(f.t, err)
	require.NoError(f.t, f.store.Delete(context.Background(), catalogue.Key(name), object.Version))
	_, revision, err := f.store.List(context.Background(), "none/")
	require.NoError(f.t, err)
	return revision
}

// requireShare checks the share in force at a daemon; 0 means no entry.
func (f *fleet) requireShare(d *daemon, name string, share float64) {
	held, ok := d.Entry(name)
	require.Equal(f.t, share > 0, ok, "%s has entry %s", d.name, name)
	require.Equal(f.t, share, held.Share, "%s entry %s", d.name, name)
}

// inForceBound is the stated time for an edit to be in force at nine daemons.
const inForceBound = 3 * time.Second

// runFleet runs a test over a fleet in virtual time.
func runFleet(t *testing.T, size int, test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, size, 1)
		defer f.stop()
		time.Sleep(inForceBound)
		test(t, f)
	})
}
