package objectcache_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ibisline/internal/fake/objects"
	"ibisline/internal/fake/testbed"
	"ibisline/internal/objectcache"
)

func TestMain(m *testing.M) { testbed.Main(m, testbed.DefaultSchedules) }

// requireConverged requires that all daemons hold the current objects within
// convergenceLimit.
func requireConverged(t *testing.T, f *fleet) {
	time.Sleep(convergenceLimit)
	require.Empty(t, f.outdatedDaemon())
}

func TestChangeReachesAllDaemons(t *testing.T) {
	runInFleet(t, func(t *testing.T, f *fleet) {
		for _, remove := range []bool{false, false, true} {
			f.edit("a", remove)
			requireConverged(t, f)
		}
	})
}

func TestListingFindsChangeMissedByWatches(t *testing.T) {
	runInFleet(t, func(t *testing.T, f *fleet) {
		f.edit("a", false)
		time.Sleep(time.Second)
		f.store.SetFaults(objects.Faults{StuckWatches: true})
		f.edit("a", false)
		requireConverged(t, f)
	})
}

// TestChangeIsFoundWhilePlatformRejectsAllWatchers starts the rejection at different
// offsets within the listing interval.
func TestChangeIsFoundWhilePlatformRejectsAllWatchers(t *testing.T) {
	for offset := range 12 {
		runInFleet(t, func(t *testing.T, f *fleet) {
			f.edit("a", false)
			time.Sleep(10*time.Second + time.Duration(offset)*100*time.Millisecond)
			for i := range objectcache.DefaultWatchers + 1 {
				f.setRejected(i, true)
			}
			f.edit("a", false)
			requireConverged(t, f)
		})
	}
}

// TestListingAgeIsPreservedAcrossPeers guards against a listing that appears newer than
// it is because daemons report it to each other in a cycle.
func TestListingAgeIsPreservedAcrossPeers(t *testing.T) {
	runInFleet(t, func(t *testing.T, f *fleet) {
		f.edit("a", false)
		time.Sleep(5 * time.Second)
		f.store.SetFaults(objects.Faults{Outage: true})
		time.Sleep(4 * time.Second)
		for _, d := range f.daemons {
			require.Greater(t, d.cache.Listing().Age, 3900*time.Millisecond)
		}
	})
}

// TestFirstObjectIsFoundAfterEmptyListing requires that an empty listing counts as a
// listing.
func TestFirstObjectIsFoundAfterEmptyListing(t *testing.T) {
	runInFleet(t, func(t *testing.T, f *fleet) {
		f.store.SetFaults(objects.Faults{StuckWatches: true})
		f.edit("a", false)
		requireConverged(t, f)
	})
}

func TestChangeReachesDaemonsRejectedByPlatform(t *testing.T) {
	runInFleet(t, func(t *testing.T, f *fleet) {
		f.edit("a", false)
		time.Sleep(time.Second)
		for i := range daemonCount - 1 {
			f.setRejected(i, true)
		}
		time.Sleep(2 * time.Second)
		f.edit("a", false)
		requireConverged(t, f)
		f.edit("a", true)
		requireConverged(t, f)
	})
}

func TestChangeReachesAllDaemonsAfterCompaction(t *testing.T) {
	runInFleet(t, func(t *testing.T, f *fleet) {
		f.edit("a", false)
		f.edit("b", false)
		time.Sleep(time.Second)
		f.store.SetFaults(objects.Faults{StuckWatches: true})
		f.edit("b", true)
		f.edit("a", false)
		f.store.Compact()
		f.store.SetFaults(objects.Faults{})
		requireConverged(t, f)
	})
}

func TestIdleFleetMakesFewCalls(t *testing.T) {
	runInFleet(t, func(t *testing.T, f *fleet) {
		f.edit("a", false)
		time.Sleep(5 * time.Second)
		before := f.store.Counts()
		time.Sleep(time.Minute)
		after := f.store.Counts()
		require.LessOrEqual(t, after.Lists-before.Lists, 60, "one listing a second for the whole fleet")
		require.LessOrEqual(t, after.Watches-before.Watches, 12, "three watches of 20 seconds")
	})
}

// TestStartOfFleetMakesFewCalls guards against listings that grow with the fleet when all daemons start at
// once, as after a loss of power. Without an object, too, daemons take the listing of a peer.
func TestStartOfFleetMakesFewCalls(t *testing.T) {
	for _, objectsBefore := range []int{0, 3} {
		runInFleet(t, func(t *testing.T, f *fleet) {
			for i := range objectsBefore {
				f.edit(fmt.Sprint(i), false)
			}
			const started = 2 * time.Second
			time.Sleep(started)
			counts := f.store.Counts()
			relists := int(started / objectcache.DefaultRelistAfter)
			require.LessOrEqual(t, counts.Lists, objectcache.DefaultWatchers*(1+relists), "only daemons with a watch list")
			for _, d := range f.daemons {
				_, loaded := d.cache.Snapshot()
				require.True(t, loaded, d.name)
			}
		})
	}
}

// stepKind is the action of a step of a schedule.
type stepKind string

const (
	editObject     stepKind = "edit"
	removeObject   stepKind = "removal"
	rejectDaemon   stepKind = "platform rejects a daemon"
	cutLink        stepKind = "cut"
	outage         stepKind = "outage"
	stuckWatches   stepKind = "stuck watches"
	compactHistory stepKind = "history compacted"
	slowPlatform   stepKind = "slow platform"
)

// step is one action, followed by a wait.
type step struct {
	Kind   stepKind
	Daemon int
	Other  int
	Object string
	WaitMS int
}

var stepGen = rapid.Custom(func(t *rapid.T) step {
	return step{
		Kind: rapid.SampledFrom([]stepKind{
			editObject, editObject, editObject, removeObject, rejectDaemon, rejectDaemon, cutLink, cutLink,
			outage, stuckWatches, compactHistory, slowPlatform,
		}).Draw(t, "kind"),
		Daemon: rapid.IntRange(0, daemonCount-1).Draw(t, "daemon"),
		Other:  rapid.IntRange(0, daemonCount-1).Draw(t, "other"),
		Object: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "object"),
		WaitMS: rapid.SampledFrom([]int{0, 10, 300, 1500, 4000}).Draw(t, "wait"),
	}
})

// runStep executes one step. Objects are edited only while the store is available.
func (f *fleet) runStep(s step) {
	faults := f.store.Faults()
	switch s.Kind {
	case editObject, removeObject:
		if !faults.Outage {
			f.edit(s.Object, s.Kind == removeObject)
		}
	case rejectDaemon:
		f.mu.Lock()
		on := !f.rejected[f.daemons[s.Daemon].name]
		f.mu.Unlock()
		f.setRejected(s.Daemon, on)
	case cutLink:
		f.setCut(s.Daemon, s.Other, !f.isCut(s.Daemon, s.Other))
	case outage:
		faults.Outage = !faults.Outage
	case stuckWatches:
		faults.StuckWatches = !faults.StuckWatches
	case slowPlatform:
		faults.Slow = 400*time.Millisecond - faults.Slow
	case compactHistory:
		f.store.Compact()
	}
	f.store.SetFaults(faults)
	time.Sleep(time.Duration(s.WaitMS) * time.Millisecond)
}

// convergenceTime is the time after the last fault within which all daemons must agree.
const convergenceTime = 4 * time.Second

// runSchedule runs the steps and returns the first violation, "" if there is none.
func runSchedule(t *testing.T, steps []step, _ int64) string {
	f := newFleet(t)
	defer f.stop()
	for _, s := range steps {
		f.runStep(s)
		if violation := f.regressedDaemon(); violation != "" {
			return violation
		}
	}
	f.store.SetFaults(objects.Faults{})
	for i := range daemonCount {
		f.setRejected(i, false)
		for j := range daemonCount {
			f.setCut(i, j, false)
		}
	}
	time.Sleep(convergenceTime)
	if violation := f.regressedDaemon(); violation != "" {
		return violation
	}
	return f.outdatedDaemon()
}

func TestCachesConvergeAfterFaults(t *testing.T) {
	testbed.Schedules[step]{Shards: 3, Steps: stepGen, MaxSteps: 25, Run: runSchedule}.Check(t)
}
