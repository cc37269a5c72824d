package member_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"ibisline/internal/fake/objects"
	"ibisline/internal/fake/testbed"
	"ibisline/internal/member"
	"ibisline/internal/objectapi"
	"ibisline/internal/structs"
)

// deathDetectionLimit is the stated target for the time until all daemons have
// declared a failed daemon dead.
const deathDetectionLimit = 1600 * time.Millisecond

// fleet is a set of daemons with a common network and platform.
type fleet struct {
	t     *testing.T
	net   *network
	store *objects.Store
	nodes map[string]*node
	// config is the configuration of every daemon.
	config member.Config
}

// node is one daemon.
type node struct {
	*member.Members
	loop *testbed.Loop
}

// inFleet runs test in virtual time with size daemons whose views agree.
func inFleet(t *testing.T, size int, test func(*fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, net: newNetwork(1), store: objects.New(), nodes: map[string]*node{}}
		for i := range size {
			f.start(fmt.Sprintf("d%02d", i))
		}
		defer f.stopAll()
		f.await(30*time.Second, func() bool { return f.agreed(f.names()...) })
		test(f)
	})
}

func (f *fleet) start(name string) {
	host := f.net.host(name)
	self := structs.Instance{Name: name, Region: "r", DataCentre: "r-a", PeerAddr: name, HTTPAddr: name}
	m := member.New(f.config, self, f.store, host, host, metrics.NewSet(), testbed.NoLog())
	f.nodes[name] = &node{Members: m, loop: testbed.Start(m.Run)}
}

// kill ends a daemon abruptly, like SIGKILL.
func (f *fleet) kill(name string) {
	f.net.kill(name)
	f.nodes[name].loop.Stop()
	delete(f.nodes, name)
}

func (f *fleet) stopAll() {
	for name := range f.nodes {
		f.net.kill(name)
	}
	for _, n := range f.nodes {
		n.loop.Stop()
	}
	synctest.Wait()
}

func (f *fleet) names() []string {
	var names []string
	for name := range f.nodes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// liveAt returns the daemons in the list of live daemons of a node.
func (f *fleet) liveAt(name string) []string {
	var live []string
	for _, instance := range f.nodes[name].Live() {
		live = append(live, instance.Name)
	}
	return live
}

// agreed returns true when all running nodes list exactly these daemons as live.
func (f *fleet) agreed(live ...string) bool {
	for name := range f.nodes {
		if !slices.Equal(f.liveAt(name), live) {
			return false
		}
	}
	return true
}

// await advances the virtual time until the condition holds and returns the elapsed
// time. The test fails after limit.
func (f *fleet) await(limit time.Duration, condition func() bool) time.Duration {
	f.t.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > limit {
			views := map[string][]string{}
			for _, name := range f.names() {
				view := fmt.Sprint(f.liveAt(name))
				views[view] = append(views[view], name)
			}
			for view, holders := range views {
				f.t.Logf("%v see %s", holders, view)
			}
			f.t.Fatalf("condition does not hold after %v", limit)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(start)
}

// never checks that the condition does not hold at any time in the given duration.
func (f *fleet) never(during time.Duration, condition func() bool, message string) {
	f.t.Helper()
	for start := time.Now(); time.Since(start) < during; time.Sleep(20 * time.Millisecond) {
		require.False(f.t, condition(), message)
	}
}

func excluding(names []string, gone ...string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return slices.Contains(gone, name) })
}

func TestKilledDaemonIsDeclaredDead(t *testing.T) {
	for _, size := range []int{2, 9, 50} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			inFleet(t, size, func(f *fleet) {
				all := f.names()
				f.kill("d01")
				took := f.await(deathDetectionLimit, func() bool { return f.agreed(excluding(all, "d01")...) })
				t.Logf("%d daemons: dead everywhere after %v", size, took)
				f.start("d01")
				took = f.await(deathDetectionLimit, func() bool { return f.agreed(all...) })
				t.Logf("%d daemons: back everywhere after %v", size, took)
			})
		})
	}
}

func TestPausedDaemonIsDeclaredDeadAndRejoins(t *testing.T) {
	for _, size := range []int{3, 50} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			inFleet(t, size, func(f *fleet) {
				all := f.names()
				others := excluding(all, "d01")
				dead := func() bool {
					return !slices.ContainsFunc(others, func(n string) bool {
						return slices.Contains(f.liveAt(n), "d01")
					})
				}
				f.net.pause("d01")
				took := f.await(deathDetectionLimit, dead)
				t.Logf("%d daemons: dead everywhere after %v", size, took)
				time.Sleep(12 * time.Second)
				require.True(t, dead(), "a paused daemon became live again")
				f.net.resume("d01")
				took = f.await(5*time.Second, func() bool { return f.agreed(all...) })
				t.Logf("%d daemons: back everywhere after %v", size, took)
			})
		})
	}
}

// TestOneWayCutBetweenTwoDaemons cuts one direction between two daemons that all
// others still reach. No daemon may be declared dead.
func TestOneWayCutBetweenTwoDaemons(t *testing.T) {
	for _, size := range []int{3, 9} {
		inFleet(t, size, func(f *fleet) {
			all := f.names()
			f.net.cut("d00", "d01")
			f.never(20*time.Second, func() bool { return !f.agreed(all...) }, "a cut of one link changed the view")
		})
	}
}

// TestUnreachableDaemonStaysDead cuts all links to a daemon that can itself still
// reach all others. All daemons, itself included, must declare it dead once and keep
// it so, without flapping, until the links are restored.
func TestUnreachableDaemonStaysDead(t *testing.T) {
	inFleet(t, 9, func(f *fleet) {
		all := f.names()
		for _, name := range excluding(all, "d01") {
			f.net.cut(name, "d01")
		}
		f.await(2*deathDetectionLimit, func() bool { return f.agreed(excluding(all, "d01")...) })
		f.never(20*time.Second, func() bool { return !f.agreed(excluding(all, "d01")...) }, "the view flaps")
		for _, name := range all {
			f.net.heal(name, "d01")
		}
		f.await(10*time.Second, func() bool { return f.agreed(all...) })
	})
}

// TestIsolatedDaemonKeepsItsView cuts one daemon off from all others. It must not
// declare the others dead at once.
func TestIsolatedDaemonKeepsItsView(t *testing.T) {
	inFleet(t, 9, func(f *fleet) {
		all := f.names()
		for _, name := range excluding(all, "d01") {
			f.net.cut(name, "d01")
			f.net.cut("d01", name)
		}
		f.never(5*time.Second, func() bool { return len(f.liveAt("d01")) != len(all) },
			"the isolated daemon declared others dead")
		require.Len(t, f.liveAt("d00"), len(all)-1)
		for _, name := range all {
			f.net.heal(name, "d01")
			f.net.heal("d01", name)
		}
		f.await(10*time.Second, func() bool { return f.agreed(all...) })
	})
}

// TestPartitionedFleetMerges partitions the fleet until each half has declared the
// other dead. After the partition the halves must merge without a restart.
func TestPartitionedFleetMerges(t *testing.T) {
	inFleet(t, 9, func(f *fleet) {
		all := f.names()
		left, right := all[:4], all[4:]
		set := func(cut bool) {
			for _, a := range left {
				for _, b := range right {
					f.net.setCut(a, b, cut)
					f.net.setCut(b, a, cut)
				}
			}
		}
		set(true)
		f.await(15*time.Second, func() bool {
			return slices.Equal(f.liveAt(left[0]), left) && slices.Equal(f.liveAt(right[0]), right)
		})
		time.Sleep(30 * time.Second)
		set(false)
		f.await(15*time.Second, func() bool { return f.agreed(all...) })
	})
}

// TestDelayedMessagesDoNotCauseDeath delays one message in twenty by a TCP
// retransmission.
func TestDelayedMessagesDoNotCauseDeath(t *testing.T) {
	inFleet(t, 9, func(f *fleet) {
		all := f.names()
		f.net.mu.Lock()
		f.net.delayedShare = 0.05
		f.net.mu.Unlock()
		f.never(time.Minute, func() bool { return !f.agreed(all...) }, "delayed messages changed the view")
	})
}

func TestLeaveSpreadsAtOnce(t *testing.T) {
	inFleet(t, 50, func(f *fleet) {
		all := f.names()
		f.nodes["d01"].Leave()
		took := f.await(500*time.Millisecond, func() bool { return f.agreed(excluding(all, "d01")...) })
		t.Logf("50 daemons: known everywhere after %v", took)
		instance, ok := f.nodes["d02"].Lookup("d01")
		require.True(t, ok, "a leaving daemon must still be found")
		require.Equal(t, structs.StateLeaving, instance.State)
		f.kill("d01")
		_, err := f.store.Get(context.Background(), structs.InstancePrefix+"d01")
		require.ErrorIs(t, err, objectapi.ErrNotFound)
		f.start("d01")
		f.await(deathDetectionLimit, func() bool { return f.agreed(all...) })
	})
}

// TestMembershipDuringPlatformOutage checks that failure detection goes on by
// heartbeats, and that the last list of servers stays in use.
func TestMembershipDuringPlatformOutage(t *testing.T) {
	inFleet(t, 9, func(f *fleet) {
		all := f.names()
		put(t, f.store, "servers/e1", structs.Server{Name: "e1", Kind: structs.KindEngine})
		f.await(time.Second, func() bool { return len(f.nodes["d00"].Servers()) == 1 })
		f.store.SetFaults(objects.Faults{Outage: true})
		time.Sleep(30 * time.Second)
		require.True(t, f.agreed(all...))
		f.kill("d01")
		f.await(deathDetectionLimit, func() bool { return f.agreed(excluding(all, "d01")...) })
		require.Len(t, f.nodes["d00"].Servers(), 1)
		// A daemon restarted now knows no peers, but the others reconnect to it.
		f.start("d01")
		f.await(10*time.Second, func() bool { return f.agreed(all...) })
	})
}

// TestConcurrentStartsDiscoverEachOther starts daemons at about the same time, just
// before a platform outage. They must discover each other by their first read of the
// platform's list, although each adds itself only then.
func TestConcurrentStartsDiscoverEachOther(t *testing.T) {
	for _, apart := range []time.Duration{0, 3 * time.Millisecond, 6 * time.Millisecond, 9 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			f := &fleet{
				t: t, net: newNetwork(1), store: objects.New(), nodes: map[string]*node{},
				config: member.Config{LimitPlatformCalls: true},
			}
			f.store.SetFaults(objects.Faults{Slow: 4 * time.Millisecond})
			defer f.stopAll()
			for _, name := range []string{"d00", "d01", "d02"} {
				f.start(name)
				time.Sleep(apart)
			}
			time.Sleep(50 * time.Millisecond)
			f.store.SetFaults(objects.Faults{Outage: true})
			f.await(5*time.Second, func() bool { return f.agreed(f.names()...) })
		})
	}
}

// put writes an object unconditionally.
func put(t *testing.T, store *objects.Store, key string, value any) {
	t.Helper()
	encoded, err := json.Marshal(value)
	require.NoError(t, err)
	current, _ := store.Get(context.Background(), key)
	_, err = store.Put(context.Background(), key, encoded, current.Version)
	require.NoError(t, err)
}

func TestServersFollowThePlatform(t *testing.T) {
	inFleet(t, 2, func(f *fleet) {
		names := func() string {
			var list string
			for _, s := range f.nodes["d00"].Servers() {
				list += s.Name + ":" + s.State + " "
			}
			return list
		}
		put(t, f.store, "servers/b", structs.Server{Name: "b", State: structs.StateLive})
		put(t, f.store, "servers/a", structs.Server{Name: "a", State: structs.StateLive})
		put(t, f.store, "servers/x", "not a server")
		f.await(time.Second, func() bool { return names() == "a:live b:live " })

		put(t, f.store, "servers/a", structs.Server{Name: "a", State: structs.StateLeaving})
		f.await(time.Second, func() bool { return names() == "a:leaving b:live " })

		// Delete a server and compact, so that no watch can return the deletion.
		f.store.SetFaults(objects.Faults{Outage: true})
		time.Sleep(time.Minute)
		f.store.SetFaults(objects.Faults{})
		object, err := f.store.Get(context.Background(), "servers/b")
		require.NoError(t, err)
		require.NoError(t, f.store.Delete(context.Background(), "servers/b", object.Version))
		f.store.Compact()
		f.await(30*time.Second, func() bool { return names() == "a:leaving " })
	})
}

// TestSteadyStateWritesNothing checks that heartbeats cause no writes to the
// platform.
func TestSteadyStateWritesNothing(t *testing.T) {
	inFleet(t, 9, func(f *fleet) {
		before := f.store.Counts()
		time.Sleep(30 * time.Second)
		after := f.store.Counts()
		require.Equal(t, before.Puts, after.Puts)
		require.Equal(t, before.Gets, after.Gets)
		t.Logf("reads in half a minute of 9 daemons: %d watches, %d lists",
			after.Watches-before.Watches, after.Lists-before.Lists)
	})
}

// TestProbeTrafficIsIndependentOfFleetSize checks that the messages sent per daemon
// stay bounded once each daemon has its full number of targets.
func TestProbeTrafficIsIndependentOfFleetSize(t *testing.T) {
	const windowSeconds = 10
	for _, size := range []int{9, 50} {
		inFleet(t, size, func(f *fleet) {
			time.Sleep(windowSeconds * time.Second)
			m0, b0 := f.net.traffic()
			time.Sleep(windowSeconds * time.Second)
			m1, b1 := f.net.traffic()
			perDaemon := float64(m1-m0) / float64(size) / windowSeconds
			t.Logf("%d daemons: %.1f messages/s and %.0f payload bytes/s sent by each",
				size, perDaemon, float64(b1-b0)/float64(size)/windowSeconds)
			require.Less(t, perDaemon, 75.0)
		})
	}
}
