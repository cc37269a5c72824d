package limits_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"ibisline/internal/fake/peers"
	"ibisline/internal/fake/testbed"
	"ibisline/internal/limits"
	"ibisline/internal/structs"
)

// reader is the catalogue of one daemon, with a single entry.
type reader struct {
	mu    sync.Mutex
	entry structs.Entry
	stale bool
}

// set replaces the entry by a newer version and ignores older ones.
func (r *reader) set(entry structs.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if entry.Version > r.entry.Version {
		r.entry = entry
	}
}

func (r *reader) Entry(name string) (structs.Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entry, r.entry.Name == name
}

func (r *reader) Entries() []structs.Entry { return nil }
func (r *reader) Revision() int64          { return 0 }

func (r *reader) Admit() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stale {
		return errors.New("stale")
	}
	return nil
}

// daemon is one daemon of the fleet.
type daemon struct {
	*limits.Limits
	name    string
	node    *peers.Node
	entries *reader
	loop    *testbed.Loop
	// running holds the requests in flight at this daemon.
	running map[*request]bool
}

// request is one request in flight.
type request struct{ release func() }

// maxEditDelay is the maximum time until an edit is in force at a daemon, and
// oldLimitPeriod the time for which a replaced limit may still be applied.
const (
	maxEditDelay   = time.Second
	oldLimitPeriod = maxEditDelay + time.Millisecond
)

// fleet is a set of daemons that share one limited entry. It records the first
// request that starts beyond the limit.
type fleet struct {
	t       require.TestingT
	network *peers.Network
	daemons []*daemon
	next    int // number of the next daemon that joins

	mu      sync.Mutex
	rng     *rand.Rand
	entry   structs.Entry
	edits   []edit
	running int
	started []time.Time
	refused []error
	// failure describes the first request that started beyond the limit.
	failure string
}

// violation describes the first request that started beyond the limit, or returns an
// empty string.
func (f *fleet) violation() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failure
}

// edit is a limit together with the time until which it was the newest one.
type edit struct {
	limit int
	until time.Time
}

func newFleet(t require.TestingT, size int, seed int64, entry structs.Entry) *fleet {
	f := &fleet{t: t, rng: rand.New(rand.NewSource(seed)), entry: entry, next: size}
	f.network = peers.New(func(structs.Instance, structs.Instance) time.Duration {
		return time.Duration(f.random(int64(20 * time.Millisecond)))
	})
	for i := range size {
		f.daemons = append(f.daemons, f.join(i))
	}
	for _, d := range f.daemons {
		d.loop = testbed.Start(d.Run)
	}
	return f
}

// random returns a random number in [0, n).
func (f *fleet) random(n int64) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Int63n(n)
}

// join adds daemon i without starting it.
func (f *fleet) join(i int) *daemon {
	name := fmt.Sprintf("d%d", i)
	d := &daemon{name: name, entries: &reader{entry: f.entry}, running: map[*request]bool{}}
	d.node = f.network.Join(structs.Instance{Name: name, Region: "nav-a", DataCentre: "1", State: structs.StateLive})
	d.Limits = limits.New(limits.Config{}, d.entries, d.node, d.node, d.node, metrics.NewSet(), testbed.NoLog())
	return d
}

// kill ends a daemon and its requests in flight.
func (f *fleet) kill(d *daemon) {
	d.node.SetDown(true)
	d.loop.Stop()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running -= len(d.running)
	d.running = nil
}

// restart replaces daemon i by a new process.
func (f *fleet) restart(i int) {
	f.kill(f.daemons[i])
	d := f.join(i)
	d.loop = testbed.Start(d.Run)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.daemons[i] = d
}

// daemon returns the current process of daemon i.
func (f *fleet) daemon(i int) *daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.daemons[i]
}

// setLive makes all daemons see the given ones as live.
func (f *fleet) setLive(names ...string) {
	for _, d := range f.daemons {
		d.node.SetLive(names...)
	}
}

// stopAll ends all daemons.
func (f *fleet) stopAll() {
	for _, d := range f.daemons {
		f.kill(d)
	}
	time.Sleep(time.Second)
}

// edit changes the entry. Each daemon applies the change within maxEditDelay.
func (f *fleet) edit(change func(e *structs.Entry)) {
	f.mu.Lock()
	f.edits = append(f.edits, edit{limit: f.entry.MaxConcurrent, until: time.Now()})
	change(&f.entry)
	f.entry.Version++
	entry := f.entry
	f.mu.Unlock()
	for _, d := range f.daemons {
		time.AfterFunc(time.Duration(f.random(int64(maxEditDelay))), func() { d.entries.set(entry) })
	}
}

// limit returns the highest limit that may be in force now. The caller holds mu.
func (f *fleet) limit() int {
	largest := f.entry.MaxConcurrent
	for _, e := range f.edits {
		if time.Since(e.until) <= oldLimitPeriod {
			largest = max(largest, e.limit)
		}
	}
	return largest
}

// request runs one request at a daemon: it waits for the start for at most wait,
// checks the limit and ends after hold.
func (f *fleet) request(d *daemon, wait, hold time.Duration) error {
	entry, _ := d.entries.Entry("a")
	release, err := d.Acquire(context.Background(), entry, time.Now().Add(wait))
	if err != nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.refused = append(f.refused, err)
		return err
	}
	r := &request{release: release}
	f.recordStart(d, r)
	select {
	case <-time.After(hold):
	case <-d.loop.Done():
	}
	f.recordEnd(d, r)
	return nil
}

// recordStart counts a request that started and checks the limit.
func (f *fleet) recordStart(d *daemon, r *request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if d.running == nil {
		return
	}
	d.running[r] = true
	f.running++
	f.started = append(f.started, time.Now())
	if limit := f.limit(); limit > 0 && f.running > limit && f.failure == "" {
		f.failure = fmt.Sprintf("%d requests in flight with a limit of %d at %s", f.running, limit, d.name)
	}
}

// recordEnd counts a request that ended, unless its daemon was killed before.
func (f *fleet) recordEnd(d *daemon, r *request) {
	f.mu.Lock()
	known := d.running[r]
	if known {
		delete(d.running, r)
		f.running--
	}
	f.mu.Unlock()
	r.release()
}

// outcome returns the number of started requests and the errors of the refused ones.
func (f *fleet) outcome() (started int, refused []error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.started), f.refused
}

// limited returns an entry with the given limit of concurrent requests.
func limited(n int) structs.Entry {
	return structs.Entry{Name: "a", Owner: "weaver", Class: "orders", Share: 1, MaxConcurrent: n, Version: 1}
}

// settleTime is the time after which a started fleet grants permits.
const settleTime = limits.DefaultLeaseTTL + limits.DefaultPeerTimeout + time.Second

// run runs a test on a fleet in virtual time.
func run(t *testing.T, size int, entry structs.Entry, test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, size, 1, entry)
		defer f.stopAll()
		time.Sleep(settleTime)
		test(t, f)
		require.Empty(t, f.violation())
	})
}
