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

// faultyStore is the platform client of one daemon, with injected faults.
type faultyStore struct {
	objectapi.Store
	mu         sync.Mutex
	cut        bool
	watchHangs bool
	// resumed is closed when the paused daemon is resumed; nil while it is running.
	resumed chan struct{}
}

// set changes the faults.
func (s *faultyStore) set(change func(s *faultyStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// pause blocks all responses until resume.
func (s *faultyStore) pause() { s.set(func(s *faultyStore) { s.resumed = make(chan struct{}) }) }

// resume delivers the responses that were blocked.
func (s *faultyStore) resume() {
	s.set(func(s *faultyStore) {
		if s.resumed != nil {
			close(s.resumed)
			s.resumed = nil
		}
	})
}

// unreachable blocks while the daemon is paused. It then reports whether the platform
// is cut off or ctx ended during the pause.
func (s *faultyStore) unreachable(ctx context.Context) bool {
	s.mu.Lock()
	resumed := s.resumed
	s.mu.Unlock()
	if resumed != nil {
		select {
		case <-resumed:
		case <-ctx.Done():
		}
	}
	return s.isCut() || resumed != nil && ctx.Err() != nil
}

func (s *faultyStore) isCut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut
}

func (s *faultyStore) isPaused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.resumed != nil
}

func (s *faultyStore) isWatchHanging() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watchHangs
}

func (s *faultyStore) Get(ctx context.Context, key string) (objectapi.Object, error) {
	if s.unreachable(ctx) {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	object, err := s.Store.Get(ctx, key)
	if s.unreachable(ctx) {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	return object, err
}

func (s *faultyStore) List(ctx context.Context, prefix string) ([]objectapi.Object, int64, error) {
	if s.unreachable(ctx) {
		return nil, 0, objectapi.ErrUnavailable
	}
	found, revision, err := s.Store.List(ctx, prefix)
	if s.unreachable(ctx) {
		return nil, 0, objectapi.ErrUnavailable
	}
	return found, revision, err
}

func (s *faultyStore) Watch(ctx context.Context, prefix string, after int64) ([]objectapi.Event, int64, error) {
	if s.unreachable(ctx) {
		return nil, 0, objectapi.ErrUnavailable
	}
	if s.isWatchHanging() {
		return s.hang(ctx, after)
	}
	events, revision, err := s.Store.Watch(ctx, prefix, after)
	if s.unreachable(ctx) {
		return nil, 0, objectapi.ErrUnavailable
	}
	if s.isWatchHanging() {
		return s.hang(ctx, after)
	}
	return events, revision, err
}

// hang blocks like a watch whose connection was lost without notice.
func (s *faultyStore) hang(ctx context.Context, after int64) ([]objectapi.Event, int64, error) {
	select {
	case <-ctx.Done():
		return nil, after, nil
	case <-time.After(objectapi.DefaultWatchTimeout):
		return nil, 0, objectapi.ErrUnavailable
	}
}

// daemon is one catalogue of the fleet.
type daemon struct {
	*catalogue.Catalogue
	name     string
	node     *peers.Node
	platform *faultyStore
	loop     *testbed.Loop
}

// fleet is a set of catalogues that share a store and a network.
type fleet struct {
	t       require.TestingT
	store   *objects.Store
	network *peers.Network
	daemons []*daemon
	rng     *rand.Rand
	mu      sync.Mutex
}

// regions are the regions of the fleet. Each has one data centre.
var regions = []string{"nav-a", "gip-a", "rio-a"}

// oneWayLatency is the minimum one-way latency between regions.
const oneWayLatency = 8 * time.Millisecond

// newFleet starts size daemons, distributed over the regions. It must be called in a
// synctest bubble and the fleet stopped before the bubble ends.
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

// latency returns a random latency: below 1 ms within a region, and one to two times
// oneWayLatency between regions.
func (f *fleet) latency(from, to structs.Instance) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if from.Region == to.Region {
		return time.Duration(f.rng.Int63n(int64(time.Millisecond)))
	}
	return oneWayLatency + time.Duration(f.rng.Int63n(int64(oneWayLatency)))
}

// newDaemon creates daemon i and joins it to the network without starting it.
func (f *fleet) newDaemon(i int) *daemon {
	name := fmt.Sprintf("d%d", i)
	region := regions[i%len(regions)]
	instance := structs.Instance{Name: name, Region: region, DataCentre: region + "-1", State: structs.StateLive}
	d := &daemon{name: name, node: f.network.Join(instance), platform: &faultyStore{Store: f.store}}
	d.Catalogue = catalogue.New(
		catalogue.Config{}, d.platform, d.node, d.node, d.node, metrics.NewSet(), testbed.NoLog(),
	)
	return d
}

// restart replaces daemon i by a new process with the same name.
func (f *fleet) restart(i int) *daemon {
	cut := f.daemons[i].platform.isCut()
	f.halt(f.daemons[i])
	f.daemons[i] = f.newDaemon(i)
	f.daemons[i].platform.cut = cut
	f.daemons[i].loop = testbed.Start(f.daemons[i].Run)
	return f.daemons[i]
}

// halt stops a daemon.
func (f *fleet) halt(d *daemon) {
	d.node.SetDown(true)
	d.platform.resume()
	d.loop.Stop()
}

// stop stops the whole fleet.
func (f *fleet) stop() {
	for _, d := range f.daemons {
		f.halt(d)
	}
}

// isolate cuts daemon i off from its peers and the platform, or reconnects it.
func (f *fleet) isolate(i int, on bool) {
	f.daemons[i].platform.set(func(s *faultyStore) { s.cut = on })
	for j := range f.daemons {
		f.cutPair(i, j, on)
	}
}

// cutPair cuts or restores both directions between two daemons.
func (f *fleet) cutPair(i, j int, on bool) {
	f.network.Cut(f.daemons[i].name, f.daemons[j].name, on)
	f.network.Cut(f.daemons[j].name, f.daemons[i].name, on)
}

// entry returns a valid entry with the given share.
func entry(name string, share float64) structs.Entry {
	return structs.Entry{Name: name, Owner: "weaver", Class: "orders", Share: share}
}

// put writes an entry as an operator does and returns its new version.
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

// remove deletes an entry and returns the platform revision after the deletion.
func (f *fleet) remove(name string) int64 {
	object, err := f.store.Get(context.Background(), catalogue.Key(name))
	require.NoError(f.t, err)
	require.NoError(f.t, f.store.Delete(context.Background(), catalogue.Key(name), object.Version))
	_, revision, err := f.store.List(context.Background(), "none/")
	require.NoError(f.t, err)
	return revision
}

// requireShare checks the share of an entry at a daemon. 0 means no entry.
func (f *fleet) requireShare(d *daemon, name string, share float64) {
	held, ok := d.Entry(name)
	require.Equal(f.t, share > 0, ok, "%s has entry %s", d.name, name)
	require.Equal(f.t, share, held.Share, "%s entry %s", d.name, name)
}

// convergenceBound is the time within which an edit must be applied at nine daemons.
const convergenceBound = 3 * time.Second

// runFleet runs test with a fleet of size daemons in virtual time.
func runFleet(t *testing.T, size int, test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, size, 1)
		defer f.stop()
		time.Sleep(convergenceBound)
		test(t, f)
	})
}
