package crashguard_test

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"ibisline/internal/crashguard"
	"ibisline/internal/fake/peers"
	"ibisline/internal/fake/testbed"
	"ibisline/internal/structs"
)

// fleet is a set of guards that exchange their marks once a second, as probes do.
type fleet struct {
	network *peers.Network
	names   []string
	guards  map[string]*crashguard.Guard
	loops   map[string]*testbed.Loop
	// listening makes all servers accept connections.
	listening bool
}

func newFleet(size int) *fleet {
	f := &fleet{
		network: peers.New(func(_, _ structs.Instance) time.Duration { return 8 * time.Millisecond }),
		guards:  map[string]*crashguard.Guard{},
		loops:   map[string]*testbed.Loop{},
	}
	for i := range size {
		f.names = append(f.names, fmt.Sprintf("gateway-%d", i))
	}
	for _, name := range f.names {
		f.start(name)
	}
	return f
}

// start starts a daemon, or restarts it with empty state.
func (f *fleet) start(name string) {
	if old, ok := f.loops[name]; ok {
		old.Stop()
	}
	node := f.network.Join(structs.Instance{Name: name, Duty: structs.DutyGateway})
	probe := func(context.Context, structs.Server) error {
		if f.listening {
			return nil
		}
		return fmt.Errorf("dial: %w", syscall.ECONNREFUSED)
	}
	f.guards[name] = crashguard.New(node, node, node, probe, metrics.NewSet(), testbed.NoLog())
	f.loops[name] = testbed.Start(f.guards[name].Run)
}

func (f *fleet) stop() {
	for _, loop := range f.loops {
		loop.Stop()
	}
}

// exchangeMarks delivers the marks of every daemon to all others once a second.
func (f *fleet) exchangeMarks(seconds int) {
	for range seconds {
		for _, from := range f.names {
			for _, to := range f.names {
				if from != to {
					f.guards[to].Learn(from, f.guards[from].Mark())
				}
			}
			time.Sleep(time.Second / time.Duration(len(f.names)))
		}
	}
}

// breakConnection reports to a daemon that a server broke the connection of a request.
func (f *fleet) breakConnection(daemon string, request crashguard.Fingerprint, server string, started int64) {
	f.guards[daemon].CheckCrash(request, structs.Server{Name: server, StartedMS: started})
	time.Sleep(100 * time.Millisecond)
}

// refusing returns the number of daemons that refuse a request.
func (f *fleet) refusing(request crashguard.Fingerprint) int {
	n := 0
	for _, guard := range f.guards {
		if !guard.Empty() && guard.Refuses(request) {
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
		f.listening = true
		for i := range 10 {
			f.breakConnection("gateway-0", request, fmt.Sprintf("engine-%d", i), 1)
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

// Parts with the same concatenation must not have the same fingerprint.
func TestFingerprintSeparatesParts(t *testing.T) {
	require.Equal(t, crashguard.FingerprintOf([]byte("a"), []byte("b")), crashguard.FingerprintOf([]byte("a"), []byte("b")))
	require.NotEqual(t, crashguard.FingerprintOf([]byte("ab"), nil), crashguard.FingerprintOf([]byte("a"), []byte("b")))
}
