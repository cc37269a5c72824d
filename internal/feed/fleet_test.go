package feed_test

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
	"ibisline/internal/feed"
	"ibisline/internal/objectapi"
	"ibisline/internal/structs"
)

const (
	prefix = "routes/"
	// applyLimit is the time within which a change is to be known everywhere.
	applyLimit = 2500 * time.Millisecond
	// probeInterval is the time between two probes of daemons, which carry marks.
	probeInterval = 250 * time.Millisecond
	daemons       = 13
	// regionLatency is that of a message between daemons.
	regionLatency = 8 * time.Millisecond
)

// probeSteps are the places along the ring of the daemons that each one probes.
var probeSteps = []int{1, 2, 3, 5, 8}

// fleet is a fleet of daemons that follow the same objects.
type fleet struct {
	t       *testing.T
	store   *objects.Store
	network *peers.Network
	daemons []*daemon
	loops   []*testbed.Loop

	mu         sync.Mutex
	turnedAway map[string]bool
	// watching ends the watches of the daemons that are turned away.
	watching map[string]context.CancelFunc
	cut      map[[2]int]bool
	versions map[string]int64
}

// daemon is one of them. It reaches the platform unless it is turned away.
type daemon struct {
	*objects.Store
	fleet *fleet
	name  string
	rank  int
	feed  *feed.Feed
	// seen are the versions that it has shown before.
	seen map[string]int64
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{
		t: t, store: objects.New(), network: peers.New(nil), turnedAway: map[string]bool{}, cut: map[[2]int]bool{},
		watching: map[string]context.CancelFunc{}, versions: map[string]int64{},
	}
	for i := range daemons {
		name := fmt.Sprintf("d%d", i)
		d := &daemon{Store: f.store, fleet: f, name: name, rank: i, seen: map[string]int64{}}
		node := f.network.Join(structs.Instance{Name: name})
		config := feed.Config{Rank: func(string) int { return d.rank }}
		d.feed = feed.New(config, prefix, d, node, node, metrics.NewSet(), testbed.NoLog())
		f.daemons = append(f.daemons, d)
		f.loops = append(f.loops, testbed.Start(d.feed.Run))
	}
	f.loops = append(f.loops, testbed.Start(f.probe))
	return f
}

func (f *fleet) stop() {
	for _, loop := range f.loops {
		loop.Stop()
	}
	// Questions to peers end by their own time limit.
	time.Sleep(time.Second)
}

// probe exchanges marks along the ring, as heartbeats do, each daemon at its own time.
func (f *fleet) probe(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for i := range f.daemons {
		group.Go(func() error {
			time.Sleep(probeInterval * time.Duration(i) / daemons)
			ticker := time.NewTicker(probeInterval)
			defer ticker.Stop()
			for {
				for _, step := range probeSteps {
					f.exchange(ctx, i, (i+step)%daemons)
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

// exchange is one probe with its answer.
func (f *fleet) exchange(ctx context.Context, i, j int) {
	if !f.isCut(i, j) {
		f.tell(ctx, i, j)
		f.tell(ctx, j, i)
	}
}

// tell lets one daemon hear, a little later, what another one knows now.
func (f *fleet) tell(ctx context.Context, from, to int) {
	source, target := f.daemons[from], f.daemons[to]
	mark, listing := source.feed.Mark(), source.feed.Listing()
	time.Sleep(regionLatency)
	target.feed.Learn(ctx, source.name, mark, listing)
}

func (f *fleet) isCut(i, j int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[[2]int{i, j}] || f.cut[[2]int{j, i}]
}

// setCut cuts or heals the way between two daemons.
func (f *fleet) setCut(i, j int, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[[2]int{i, j}] = on
	a, b := f.daemons[i].name, f.daemons[j].name
	f.network.Cut(a, b, on)
	f.network.Cut(b, a, on)
}

// turnAway makes the platform reject a daemon, watches under way included, or serve it
// again.
func (f *fleet) turnAway(i int, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	name := f.daemons[i].name
	f.turnedAway[name] = on
	if end := f.watching[name]; on && end != nil {
		end()
	}
}

func (d *daemon) rejected() error {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	if d.fleet.turnedAway[d.name] {
		return objectapi.ErrUnavailable
	}
	return nil
}

// List implements objectapi.Store.
func (d *daemon) List(ctx context.Context, prefix string) ([]objectapi.Object, int64, error) {
	if err := d.rejected(); err != nil {
		return nil, 0, err
	}
	return d.Store.List(ctx, prefix)
}

// Watch implements objectapi.Store.
func (d *daemon) Watch(ctx context.Context, prefix string, after int64) ([]objectapi.Event, int64, error) {
	if err := d.rejected(); err != nil {
		return nil, 0, err
	}
	served, end := context.WithCancel(ctx)
	defer end()
	d.fleet.mu.Lock()
	d.fleet.watching[d.name] = end
	d.fleet.mu.Unlock()
	events, revision, err := d.Store.Watch(served, prefix, after)
	if served.Err() != nil && ctx.Err() == nil {
		return nil, 0, objectapi.ErrUnknown
	}
	return events, revision, err
}

// edit changes an object, or removes it, as an operator does: the store answers.
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

// behind returns a daemon that does not hold the present objects, "" if all do.
func (f *fleet) behind() string {
	var wanted []string
	for name, version := range f.versions {
		if version != 0 {
			wanted = append(wanted, fmt.Sprint(name, version))
		}
	}
	slices.Sort(wanted)
	for _, d := range f.daemons {
		held, _ := d.feed.Snapshot()
		var shown []string
		for _, c := range held {
			shown = append(shown, fmt.Sprint(c.Name, c.Version))
		}
		slices.Sort(shown)
		if !slices.Equal(wanted, shown) {
			return fmt.Sprintf("%s shows %v instead of %v", d.name, shown, wanted)
		}
	}
	return ""
}

// regressed returns a daemon that shows an older version than before, "" if none does.
func (f *fleet) regressed() string {
	for _, d := range f.daemons {
		held, _ := d.feed.Snapshot()
		for _, c := range held {
			if c.Version < d.seen[c.Name] {
				return fmt.Sprintf("%s shows version %d of %s after %d", d.name, c.Version, c.Name, d.seen[c.Name])
			}
			d.seen[c.Name] = c.Version
		}
	}
	return ""
}

// inFleet runs a test under virtual time, after the first listing.
func inFleet(t *testing.T, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		time.Sleep(time.Second)
		test(t, f)
	})
}
