package objectcache_test

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"ibisline/internal/fake/objects"
	"ibisline/internal/fake/peers"
	"ibisline/internal/fake/testbed"
	"ibisline/internal/objectapi"
	"ibisline/internal/objectcache"
	"ibisline/internal/structs"
)

const (
	prefix = "routes/"
	// convergenceLimit is the time within which a change must reach all daemons.
	convergenceLimit = 2500 * time.Millisecond
	// probeInterval is the interval of the probes between daemons, which carry the
	// versions of the newest changes.
	probeInterval = 250 * time.Millisecond
	daemonCount   = 13
	// regionLatency is the delay of a message between daemons.
	regionLatency = 8 * time.Millisecond
)

// probeOffsets are the ring distances of the daemons that each daemon probes.
var probeOffsets = []int{1, 2, 3, 5, 8}

// fleet is a set of daemons that copy the same objects.
type fleet struct {
	t       *testing.T
	store   *objects.Store
	network *peers.Network
	daemons []*daemon
	loops   []*testbed.Loop

	mu       sync.Mutex
	rejected map[string]bool
	// cancelWatches cancels the watch of a daemon by its name.
	cancelWatches map[string]context.CancelFunc
	cutLinks      map[[2]int]bool
	versions      map[string]int64
}

// daemon is a daemon of the fleet and its connection to the platform, which may
// reject its calls.
type daemon struct {
	*objects.Store
	fleet *fleet
	name  string
	rank  int
	cache *objectcache.Cache
	// seen holds the versions that earlier snapshots contained, by object name.
	seen map[string]int64
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{
		t: t, store: objects.New(), network: peers.New(nil), rejected: map[string]bool{}, cutLinks: map[[2]int]bool{},
		cancelWatches: map[string]context.CancelFunc{}, versions: map[string]int64{},
	}
	for i := range daemonCount {
		name := fmt.Sprintf("d%d", i)
		d := &daemon{Store: f.store, fleet: f, name: name, rank: i, seen: map[string]int64{}}
		node := f.network.Join(structs.Instance{Name: name})
		config := objectcache.Config{Rank: func(string) int { return d.rank }}
		d.cache = objectcache.New(config, prefix, d, node, node, metrics.NewSet(), testbed.NoLog())
		f.daemons = append(f.daemons, d)
		f.loops = append(f.loops, testbed.Start(d.cache.Run))
	}
	f.loops = append(f.loops, testbed.Start(f.probe))
	return f
}

func (f *fleet) stop() {
	for _, loop := range f.loops {
		loop.Stop()
	}
	// Pulls from peers end by their own timeout.
	time.Sleep(time.Second)
}

// probe exchanges the state of daemons along the ring, as heartbeats do, with a
// different phase for each daemon.
func (f *fleet) probe(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for i := range f.daemons {
		group.Go(func() error {
			time.Sleep(probeInterval * time.Duration(i) / daemonCount)
			ticker := time.NewTicker(probeInterval)
			defer ticker.Stop()
			for {
				for _, offset := range probeOffsets {
					f.exchange(ctx, i, (i+offset)%daemonCount)
				}
				select {
				case <-ctx.Done():
					return nil
				case <-ticker.C:
				}
			}
		})
	}
	return group.Wait()
}

// exchange sends one probe and its response.
func (f *fleet) exchange(ctx context.Context, i, j int) {
	if !f.isCut(i, j) {
		f.sendState(ctx, i, j)
		f.sendState(ctx, j, i)
	}
}

// sendState delivers the current state of one daemon to another after regionLatency.
func (f *fleet) sendState(ctx context.Context, from, to int) {
	source, target := f.daemons[from], f.daemons[to]
	version, listing := source.cache.NewestVersion(), source.cache.Listing()
	time.Sleep(regionLatency)
	target.cache.HandlePeerState(ctx, source.name, version, listing)
}

func (f *fleet) isCut(i, j int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cutLinks[[2]int{i, j}] || f.cutLinks[[2]int{j, i}]
}

// setCut cuts or restores the link between two daemons.
func (f *fleet) setCut(i, j int, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cutLinks[[2]int{i, j}] = on
	a, b := f.daemons[i].name, f.daemons[j].name
	f.network.Cut(a, b, on)
	f.network.Cut(b, a, on)
}

// setRejected makes the platform reject the calls of a daemon, including the pending
// watch, or serve them again.
func (f *fleet) setRejected(i int, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	name := f.daemons[i].name
	f.rejected[name] = on
	if cancel := f.cancelWatches[name]; on && cancel != nil {
		cancel()
	}
}

func (d *daemon) checkRejected() error {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	if d.fleet.rejected[d.name] {
		return objectapi.ErrUnavailable
	}
	return nil
}

func (d *daemon) List(ctx context.Context, prefix string) ([]objectapi.Object, int64, error) {
	if err := d.checkRejected(); err != nil {
		return nil, 0, err
	}
	return d.Store.List(ctx, prefix)
}

func (d *daemon) Watch(ctx context.Context, prefix string, after int64) ([]objectapi.Event, int64, error) {
	if err := d.checkRejected(); err != nil {
		return nil, 0, err
	}
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.fleet.mu.Lock()
	d.fleet.cancelWatches[d.name] = cancel
	d.fleet.mu.Unlock()
	events, revision, err := d.Store.Watch(watchCtx, prefix, after)
	if watchCtx.Err() != nil && ctx.Err() == nil {
		return nil, 0, objectapi.ErrUnknown
	}
	return events, revision, err
}

// edit changes or removes an object. The store must be available.
func (f *fleet) edit(name string, remove bool) {
	version := f.versions[name]
	if remove && version != 0 {
		require.NoError(f.t, f.store.Delete(context.Background(), prefix+name, version))
		f.versions[name] = 0
		return
	}
	next, err := f.store.Put(context.Background(), prefix+name, []byte(strconv.FormatInt(version, 10)), version)
	require.NoError(f.t, err)
	f.versions[name] = next
}

// outdatedDaemon describes a daemon that does not hold the current objects, "" if
// there is none.
func (f *fleet) outdatedDaemon() string {
	var wanted []string
	for name, version := range f.versions {
		if version != 0 {
			wanted = append(wanted, fmt.Sprint(name, version))
		}
	}
	slices.Sort(wanted)
	for _, d := range f.daemons {
		held, _ := d.cache.Snapshot()
		var shown []string
		for _, c := range held {
			shown = append(shown, fmt.Sprint(c.Name, c.Version))
		}
		slices.Sort(shown)
		if !slices.Equal(wanted, shown) {
			return fmt.Sprintf("%s holds %v instead of %v", d.name, shown, wanted)
		}
	}
	return ""
}

// regressedDaemon describes a daemon that holds an older version than before, "" if
// there is none.
func (f *fleet) regressedDaemon() string {
	for _, d := range f.daemons {
		held, _ := d.cache.Snapshot()
		for _, c := range held {
			if c.Version < d.seen[c.Name] {
				return fmt.Sprintf("%s holds version %d of %s after version %d",
					d.name, c.Version, c.Name, d.seen[c.Name])
			}
			d.seen[c.Name] = c.Version
		}
	}
	return ""
}

// runInFleet runs a test under virtual time, after the first listing.
func runInFleet(t *testing.T, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		time.Sleep(time.Second)
		test(t, f)
	})
}
