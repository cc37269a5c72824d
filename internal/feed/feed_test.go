package feed_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ibisline/internal/fake/objects"
	"ibisline/internal/fake/testbed"
	"ibisline/internal/feed"
)

func TestMain(m *testing.M) { testbed.Main(m, testbed.DefaultSchedules) }

// requireKnown requires that a change is known everywhere in time.
func requireKnown(t *testing.T, f *fleet) {
	time.Sleep(applyLimit)
	require.Empty(t, f.behind())
}

func TestChangeIsKnownEverywhere(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		for _, remove := range []bool{false, false, true} {
			f.edit("a", remove)
			requireKnown(t, f)
		}
	})
}

func TestChangeThatTheWatchesMissIsFoundByAListing(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		f.edit("a", false)
		time.Sleep(time.Second)
		f.store.SetFaults(objects.Faults{StuckWatches: true})
		f.edit("a", false)
		requireKnown(t, f)
	})
}

// TestChangeIsFoundWhileAllWatchersAreTurnedAway: at any time of the rhythm of listings.
func TestChangeIsFoundWhileAllWatchersAreTurnedAway(t *testing.T) {
	for moment := range 12 {
		inFleet(t, func(t *testing.T, f *fleet) {
			f.edit("a", false)
			time.Sleep(10*time.Second + time.Duration(moment)*100*time.Millisecond)
			for i := range feed.DefaultWatchers + 1 {
				f.turnAway(i, true)
			}
			f.edit("a", false)
			requireKnown(t, f)
		})
	}
}

// TestListingsGrowOldAsTheyArePassedOn: a listing that daemons tell each other in a
// circle must not seem newer than it is.
func TestListingsGrowOldAsTheyArePassedOn(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		f.edit("a", false)
		time.Sleep(5 * time.Second)
		f.store.SetFaults(objects.Faults{Outage: true})
		time.Sleep(4 * time.Second)
		for _, d := range f.daemons {
			require.Greater(t, d.feed.Listing().Age, 3900*time.Millisecond)
		}
	})
}

// TestFirstObjectOfAKindIsFound: a listing of a kind without objects is one, too.
func TestFirstObjectOfAKindIsFound(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		f.store.SetFaults(objects.Faults{StuckWatches: true})
		f.edit("a", false)
		requireKnown(t, f)
	})
}

func TestChangeReachesDaemonsThatThePlatformTurnsAway(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		f.edit("a", false)
		time.Sleep(time.Second)
		for i := range daemons - 1 {
			f.turnAway(i, true)
		}
		time.Sleep(2 * time.Second)
		f.edit("a", false)
		requireKnown(t, f)
		f.edit("a", true)
		requireKnown(t, f)
	})
}

func TestChangeIsKnownAfterTheHistoryWasDropped(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		f.edit("a", false)
		f.edit("b", false)
		time.Sleep(time.Second)
		f.store.SetFaults(objects.Faults{StuckWatches: true})
		f.edit("b", true)
		f.edit("a", false)
		f.store.Compact()
		f.store.SetFaults(objects.Faults{})
		requireKnown(t, f)
	})
}

func TestQuietFleetMakesFewCalls(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		f.edit("a", false)
		time.Sleep(5 * time.Second)
		before := f.store.Counts()
		time.Sleep(time.Minute)
		after := f.store.Counts()
		require.LessOrEqual(t, after.Lists-before.Lists, 60, "one listing a second for the whole fleet")
		require.LessOrEqual(t, after.Watches-before.Watches, 12, "three watches of 20 seconds")
	})
}

// kind is what a step of a schedule does.
type kind string

const (
	editObject   kind = "edit"
	removeObject kind = "removal"
	turnAway     kind = "platform turns a daemon away"
	cutLink      kind = "cut"
	outage       kind = "outage"
	stuckWatches kind = "stuck watches"
	compact      kind = "history dropped"
	slow         kind = "slow platform"
)

// step is one action, followed by a wait.
type step struct {
	Kind   kind
	Daemon int
	Other  int
	Object string
	WaitMS int
}

var stepGen = rapid.Custom(func(t *rapid.T) step {
	return step{
		Kind: rapid.SampledFrom([]kind{
			editObject, editObject, editObject, removeObject, turnAway, turnAway, cutLink, cutLink, outage, stuckWatches, compact, slow,
		}).Draw(t, "kind"),
		Daemon: rapid.IntRange(0, daemons-1).Draw(t, "daemon"),
		Other:  rapid.IntRange(0, daemons-1).Draw(t, "other"),
		Object: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "object"),
		WaitMS: rapid.SampledFrom([]int{0, 10, 300, 1500, 4000}).Draw(t, "wait"),
	}
})

// do executes one step. Operators edit only while the store answers.
func (f *fleet) do(s step) {
	faults := f.store.Faults()
	switch s.Kind {
	case editObject, removeObject:
		if !faults.Outage {
			f.edit(s.Object, s.Kind == removeObject)
		}
	case turnAway:
		f.mu.Lock()
		on := !f.turnedAway[f.daemons[s.Daemon].name]
		f.mu.Unlock()
		f.turnAway(s.Daemon, on)
	case cutLink:
		f.setCut(s.Daemon, s.Other, !f.isCut(s.Daemon, s.Other))
	case outage:
		faults.Outage = !faults.Outage
	case stuckWatches:
		faults.StuckWatches = !faults.StuckWatches
	case slow:
		faults.Slow = 400*time.Millisecond - faults.Slow
	case compact:
		f.store.Compact()
	}
	f.store.SetFaults(faults)
	time.Sleep(time.Duration(s.WaitMS) * time.Millisecond)
}

// healTime is the time after the last fault within which all daemons agree.
const healTime = 4 * time.Second

// runSchedule runs the steps and returns the first broken promise.
func runSchedule(t *testing.T, steps []step, _ int64) string {
	f := newFleet(t)
	defer f.stop()
	for _, s := range steps {
		f.do(s)
		if broken := f.regressed(); broken != "" {
			return broken
		}
	}
	f.store.SetFaults(objects.Faults{})
	for i := range daemons {
		f.turnAway(i, false)
		for j := range daemons {
			f.setCut(i, j, false)
		}
	}
	time.Sleep(healTime)
	if broken := f.regressed(); broken != "" {
		return broken
	}
	return f.behind()
}

func TestFeedsAgreeAfterFaults(t *testing.T) {
	testbed.Schedules[step]{Shards: 3, Steps: stepGen, MaxSteps: 25, Run: runSchedule}.Check(t)
}
