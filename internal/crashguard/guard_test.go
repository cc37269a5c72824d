package crashguard_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"ibisline/internal/crashguard"
	"ibisline/internal/fake/objects"
	"ibisline/internal/fake/peers"
	"ibisline/internal/fake/testbed"
	"ibisline/internal/objectcache"
	"ibisline/internal/structs"
)

// linkLatency is the delay of a message between two daemons.
const linkLatency = 8 * time.Millisecond

// fleet is a set of guards that exchange their marks once a second, as probes do.
type fleet struct {
	network *peers.Network
	nodes   map[string]*peers.Node
	// mu guards names and guards, which announcements read.
	mu      sync.Mutex
	names   []string
	guards  map[string]*crashguard.Guard
	caches  map[string]*objectcache.Cache
	loops   map[string]*testbed.Loop
	servers *servers
	store   *objects.Store
}

func newFleet(size int) *fleet {
	f := &fleet{
		network: peers.New(func(_, _ structs.Instance) time.Duration { return linkLatency }),
		nodes:   map[string]*peers.Node{},
		guards:  map[string]*crashguard.Guard{},
		caches:  map[string]*objectcache.Cache{},
		loops:   map[string]*testbed.Loop{},
		servers: newServers(),
		store:   objects.New(),
	}
	for i := range size {
		f.add(fmt.Sprintf("gateway-%d", i))
	}
	return f
}

// add adds a daemon to the fleet.
func (f *fleet) add(name string) {
	f.start(name)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.names = append(f.names, name)
}

// remove removes a daemon for good.
func (f *fleet) remove(name string) {
	f.loops[name].Stop()
	f.network.Remove(name)
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.guards, name)
	delete(f.loops, name)
	f.names = slices.DeleteFunc(f.names, func(other string) bool { return other == name })
}

// restartAll restarts all daemons at the same moment.
func (f *fleet) restartAll() {
	for _, loop := range f.loops {
		loop.Stop()
	}
	for _, name := range f.names {
		f.start(name)
	}
}

// silence cuts a daemon from all others, which still consider it live.
func (f *fleet) silence(name string) {
	for _, other := range f.names {
		f.network.Cut(name, other, true)
		f.network.Cut(other, name, true)
	}
}

// isolate cuts a daemon from all others, and makes it consider them dead.
func (f *fleet) isolate(name string) {
	f.silence(name)
	f.nodes[name].SetLive(name)
}

// start starts a daemon, or restarts it with empty state.
func (f *fleet) start(name string) {
	if old, ok := f.loops[name]; ok {
		old.Stop()
	}
	node := f.network.Join(structs.Instance{Name: name, Duty: structs.DutyGateway})
	f.nodes[name] = node
	rank := func(string) int {
		return slices.IndexFunc(node.Live(), func(i structs.Instance) bool { return i.Name == name })
	}
	cache := objectcache.New(objectcache.Config{Rank: rank, RelistAfter: crashguard.RelistAfter}, crashguard.Prefix,
		f.store, node, node, metrics.NewSet(), testbed.NoLog())
	guard := crashguard.New(crashguard.Deps{
		Dialer: node, Mux: node, Probe: f.servers.probe, Servers: f.servers, Metrics: metrics.NewSet(), Log: testbed.NoLog(),
		Announce: func() { go f.announce(name) },
		Store:    f.store, Cache: cache, Rank: func() int { return rank("") },
	})
	f.loops[name] = testbed.Start(func(ctx context.Context) error {
		group, ctx := errgroup.WithContext(ctx)
		group.Go(func() error { return cache.Run(ctx) })
		group.Go(func() error { return guard.Run(ctx) })
		return group.Wait()
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.guards[name] = guard
	f.caches[name] = cache
}

// announceTargets is the number of daemons that a daemon probes.
const announceTargets = 5

// announce delivers the mark of a daemon to those that it probes, as an immediate probe does.
func (f *fleet) announce(name string) {
	f.mu.Lock()
	names, guards := slices.Clone(f.names), maps.Clone(f.guards)
	f.mu.Unlock()
	time.Sleep(linkLatency)
	at := slices.Index(names, name)
	for step := 1; at >= 0 && step <= min(announceTargets, len(names)-1); step++ {
		to := names[(at+step)%len(names)]
		if !f.network.IsCut(name, to) {
			guards[to].Learn(name, guards[name].Mark())
		}
	}
}

func (f *fleet) stop() {
	for _, loop := range f.loops {
		loop.Stop()
	}
}

// exchangeMarks delivers the marks of every daemon to all others once a second, and the versions
// of their copies of the platform's objects to the next ones more often.
func (f *fleet) exchangeMarks(seconds int) {
	for range seconds {
		for _, from := range f.names {
			for _, to := range f.names {
				if from != to && !f.network.IsCut(from, to) {
					f.guards[to].Learn(from, f.guards[from].Mark())
				}
			}
			f.exchangeVersions()
			time.Sleep(time.Second / time.Duration(len(f.names)))
		}
	}
}

// exchangeVersions delivers the version of each daemon's copy of the platform's objects to the
// next daemons.
func (f *fleet) exchangeVersions() {
	for at, from := range f.names {
		for step := 1; step <= min(announceTargets, len(f.names)-1); step++ {
			to := f.names[(at+step)%len(f.names)]
			if !f.network.IsCut(from, to) {
				f.caches[to].HandlePeerState(context.Background(), from, f.caches[from].NewestVersion(),
					f.caches[from].Listing())
			}
		}
	}
}

// breakConnection reports to a daemon that a server broke the connection of a request.
func (f *fleet) breakConnection(daemon string, request crashguard.Fingerprint, server string, started int64) {
	f.guards[daemon].CheckCrash(request, structs.Server{Name: server, Addr: server + ":1", StartedMS: started})
	time.Sleep(100 * time.Millisecond)
}

// refusing returns the number of daemons that refuse a request.
func (f *fleet) refusing(request crashguard.Fingerprint) int {
	n := 0
	for _, guard := range f.guards {
		if _, refused := guard.Refuses(request); refused && !guard.Empty() {
			n++
		}
	}
	return n
}

func withFleet(t *testing.T, size int, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(size)
		defer f.stop()
		test(t, f)
	})
}

const request = crashguard.Fingerprint(77)

// Each attempt of a caller may arrive at another daemon, so the crashes must add up.
func TestCrashesSeenByDifferentDaemonsAddUp(t *testing.T) {
	withFleet(t, 9, func(t *testing.T, f *fleet) {
		f.breakConnection("gateway-1", request, "engine-1", 1)
		f.breakConnection("gateway-3", request, "engine-2", 1)
		f.exchangeMarks(3)
		require.Zero(t, f.refusing(request))
		f.breakConnection("gateway-5", request, "engine-3", 1)
		f.exchangeMarks(3)
		require.Equal(t, 9, f.refusing(request))
		require.Zero(t, f.refusing(request+1))
	})
}

// A crash counts once, no matter how many daemons and attempts observe it. A crash of a
// later run of the same server is a different crash.
func TestOneCrashCountsOnce(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, f *fleet) {
		for _, daemon := range f.names {
			f.breakConnection(daemon, request, "engine-1", 1)
			f.breakConnection(daemon, request, "engine-1", 1)
		}
		f.exchangeMarks(3)
		require.Zero(t, f.refusing(request))
		f.breakConnection("gateway-0", request, "engine-1", 2)
		f.breakConnection("gateway-0", request, "engine-1", 3)
		f.exchangeMarks(3)
		require.Equal(t, 3, f.refusing(request))
	})
}

// A broken connection to a server that still listens is not a crash.
func TestListeningServerIsNotCountedAsCrashed(t *testing.T) {
	withFleet(t, 2, func(t *testing.T, f *fleet) {
		for i := range 10 {
			f.servers.listen(engine(i).Name)
			f.breakConnection("gateway-0", request, engine(i).Name, 1)
		}
		f.exchangeMarks(3)
		require.Zero(t, f.refusing(request))
	})
}

// A restarted daemon fetches the refusals from the others before it observes a crash itself.
func TestRestartedDaemonFetchesRefusals(t *testing.T) {
	withFleet(t, 5, func(t *testing.T, f *fleet) {
		for i := range 3 {
			f.breakConnection("gateway-0", request, fmt.Sprintf("engine-%d", i), 1)
		}
		f.exchangeMarks(2)
		for _, name := range f.names {
			f.start(name)
			f.exchangeMarks(2)
		}
		require.Equal(t, 5, f.refusing(request))
	})
}

// Crashes are counted by two daemons; the restart of one must not lose the count.
func TestLossOfOneCountingDaemonLosesNoCrash(t *testing.T) {
	withFleet(t, 6, func(t *testing.T, f *fleet) {
		f.breakConnection("gateway-0", request, "engine-1", 1)
		f.breakConnection("gateway-1", request, "engine-2", 1)
		f.start("gateway-2")
		f.start("gateway-0")
		f.breakConnection("gateway-3", request, "engine-3", 1)
		f.exchangeMarks(3)
		require.Equal(t, 6, f.refusing(request))
	})
}

// Refusals expire, so that a false refusal does not last forever.
func TestRefusalsExpire(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, f *fleet) {
		for i := range 3 {
			f.breakConnection("gateway-0", request, fmt.Sprintf("engine-%d", i), 1)
		}
		f.exchangeMarks(3)
		require.Equal(t, 3, f.refusing(request))
		f.exchangeMarks(11 * 60)
		require.Zero(t, f.refusing(request))
		require.Zero(t, f.guards["gateway-1"].Mark())
	})
}

// Daemons that are gone must not be held for as long as the process runs.
func TestFetchesOfCrashesAreForgotten(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, f *fleet) {
		f.breakConnection("gateway-0", request, "engine-0", 1)
		f.exchangeMarks(3)
		require.NotZero(t, f.guards["gateway-1"].Dump().(crashguard.Status).Fetched)
		f.exchangeMarks(11 * 60)
		require.Zero(t, f.guards["gateway-1"].Dump().(crashguard.Status).Fetched)
	})
}

// Parts with the same concatenation must not have the same fingerprint.
func TestFingerprintSeparatesParts(t *testing.T) {
	require.Equal(t, crashguard.FingerprintOf([]byte("a"), []byte("b")), crashguard.FingerprintOf([]byte("a"), []byte("b")))
	require.NotEqual(t, crashguard.FingerprintOf([]byte("ab"), nil), crashguard.FingerprintOf([]byte("a"), []byte("b")))
}
