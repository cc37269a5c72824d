package poison_test

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"ibisline/internal/fake/peers"
	"ibisline/internal/fake/testbed"
	"ibisline/internal/poison"
	"ibisline/internal/structs"
)

// fleet is a number of guards that exchange their marks once a second, as probes do.
type fleet struct {
	network *peers.Network
	names   []string
	guards  map[string]*poison.Guard
	loops   map[string]*testbed.Loop
	// listening makes servers accept connections.
	listening bool
}

func newFleet(size int) *fleet {
	f := &fleet{
		network: peers.New(func(_, _ structs.Instance) time.Duration { return 8 * time.Millisecond }),
		guards:  map[string]*poison.Guard{},
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

// start starts a daemon, or starts it again without its memory.
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
	f.guards[name] = poison.New(node, node, node, probe, metrics.NewSet(), testbed.NoLog())
	f.loops[name] = testbed.Start(f.guards[name].Run)
}

func (f *fleet) stop() {
	for _, loop := range f.loops {
		loop.Stop()
	}
}

// tell lets every daemon hear the marks of all others for some seconds.
func (f *fleet) tell(seconds int) {
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

// broken lets a server break off a request at a daemon.
func (f *fleet) broken(daemon string, request poison.Fingerprint, server string, started int64) {
	f.guards[daemon].Broken(request, structs.Server{Name: server, Started: started})
	time.Sleep(100 * time.Millisecond)
}

// refusing counts the daemons that refuse a request.
func (f *fleet) refusing(request poison.Fingerprint) int {
	n := 0
	for _, guard := range f.guards {
		if !guard.Empty() && guard.Refuses(request) {
			n++
		}
	}
	return n
}

func inFleet(t *testing.T, size int, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(size)
		defer f.stop()
		test(t, f)
	})
}

const request = poison.Fingerprint(77)

// TestCrashesAtDifferentDaemonsAddUp: each attempt comes to another daemon.
func TestCrashesAtDifferentDaemonsAddUp(t *testing.T) {
	inFleet(t, 9, func(t *testing.T, f *fleet) {
		f.broken("gateway-1", request, "engine-1", 1)
		f.broken("gateway-3", request, "engine-2", 1)
		f.tell(3)
		require.Zero(t, f.refusing(request))
		f.broken("gateway-5", request, "engine-3", 1)
		f.tell(3)
		require.Equal(t, 9, f.refusing(request))
		require.Zero(t, f.refusing(request+1))
	})
}

// TestOneCrashCountsOnce, at however many daemons and attempts it is noticed. A later
// run of the same server is another one.
func TestOneCrashCountsOnce(t *testing.T) {
	inFleet(t, 3, func(t *testing.T, f *fleet) {
		for _, daemon := range f.names {
			f.broken(daemon, request, "engine-1", 1)
			f.broken(daemon, request, "engine-1", 1)
		}
		f.tell(3)
		require.Zero(t, f.refusing(request))
		f.broken("gateway-0", request, "engine-1", 2)
		f.broken("gateway-0", request, "engine-1", 3)
		f.tell(3)
		require.Equal(t, 3, f.refusing(request))
	})
}

// TestServerThatListensHasNotCrashed, whatever it did to a request.
func TestServerThatListensHasNotCrashed(t *testing.T) {
	inFleet(t, 2, func(t *testing.T, f *fleet) {
		f.listening = true
		for i := range 10 {
			f.broken("gateway-0", request, fmt.Sprintf("engine-%d", i), 1)
		}
		f.tell(3)
		require.Zero(t, f.refusing(request))
	})
}

// TestRestartedDaemonLearnsWhatIsRefused from the others, before it finds out itself.
func TestRestartedDaemonLearnsWhatIsRefused(t *testing.T) {
	inFleet(t, 5, func(t *testing.T, f *fleet) {
		for i := range 3 {
			f.broken("gateway-0", request, fmt.Sprintf("engine-%d", i), 1)
		}
		f.tell(2)
		for _, name := range f.names {
			f.start(name)
			f.tell(2)
		}
		require.Equal(t, 5, f.refusing(request))
	})
}

// TestLossOfOneCounterLosesNoCrash.
func TestLossOfOneCounterLosesNoCrash(t *testing.T) {
	inFleet(t, 6, func(t *testing.T, f *fleet) {
		f.broken("gateway-0", request, "engine-1", 1)
		f.broken("gateway-1", request, "engine-2", 1)
		f.start("gateway-2")
		f.start("gateway-0")
		f.broken("gateway-3", request, "engine-3", 1)
		f.tell(3)
		require.Equal(t, 6, f.refusing(request))
	})
}

// TestRefusalsEnd, so that a false one does not hurt for ever.
func TestRefusalsEnd(t *testing.T) {
	inFleet(t, 3, func(t *testing.T, f *fleet) {
		for i := range 3 {
			f.broken("gateway-0", request, fmt.Sprintf("engine-%d", i), 1)
		}
		f.tell(3)
		require.Equal(t, 3, f.refusing(request))
		f.tell(11 * 60)
		require.Zero(t, f.refusing(request))
		require.Zero(t, f.guards["gateway-1"].Mark())
	})
}

// TestFingerprintsTellPartsApart.
func TestFingerprintsTellPartsApart(t *testing.T) {
	require.Equal(t, poison.FingerprintOf([]byte("a"), []byte("b")), poison.FingerprintOf([]byte("a"), []byte("b")))
	require.NotEqual(t, poison.FingerprintOf([]byte("ab"), nil), poison.FingerprintOf([]byte("a"), []byte("b")))
}
