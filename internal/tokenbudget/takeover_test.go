package tokenbudget_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"ibisline/internal/fake/objects"
	"ibisline/internal/fake/peers"
	"ibisline/internal/tokenbudget"
	"ibisline/internal/tokenbudget/journal"
	"ibisline/internal/tokenbudget/ledger"
	"ibisline/internal/verdict"
)

// inFleet runs a test on a fleet of three gateways and three keepers under virtual time.
func inFleet(t *testing.T, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 3)
		defer f.close()
		test(t, f)
	})
}

// runUntilSpent runs turns of a program with the maximum number of tokens, through all
// gateways, until one is refused because the budget is spent.
func runUntilSpent(t *testing.T, f *fleet, program string) {
	for i := range 20 {
		g := f.gateways[i%len(f.gateways)]
		if !g.up {
			continue
		}
		err := f.turn(g.daemon, program, maxTurnTokens, time.Millisecond)
		for started := time.Now(); verdict.HasReason(err, verdict.BudgetInDoubt); {
			require.Less(t, time.Since(started), 2*tokenbudget.DefaultReleaseWait)
			time.Sleep(verdict.From(err).RetryAfter)
			err = f.turn(g.daemon, program, maxTurnTokens, time.Millisecond)
		}
		if err != nil {
			require.True(t, spent(err), "%v", err)
			return
		}
	}
	require.Fail(t, "twenty turns fit into the budget")
}

func TestBudgetIsSpentOverAllGateways(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		runUntilSpent(t, f, "p")
		require.Equal(t, 3*maxTurnTokens, f.granted["p"], "three turns fit into the budget")
	})
}

func TestUnusedReservedTokensAreReturned(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		for i := range 30 {
			require.NoError(t, f.turn(f.gateways[i%3].daemon, "p", 35, time.Millisecond))
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// The number of checkpoint writes must depend on the interval, not on the number of turns,
// and hardly any turn may wait for one.
func TestTurnsShareCheckpointWrites(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		require.NoError(t, f.turn(f.gateways[0].daemon, "first", maxTurnTokens, time.Millisecond))
		const programs, turns = 60, 5
		started, before := time.Now(), f.store.Counts()
		var waited atomic.Int64
		var group sync.WaitGroup
		for i := range programs {
			group.Go(func() {
				time.Sleep(time.Duration(i) * 7 * time.Millisecond)
				for range turns {
					askedAt := time.Now()
					require.NoError(t, f.turn(f.gateways[i%3].daemon, fmt.Sprint("p", i), maxTurnTokens/2, 400*time.Millisecond))
					waited.Add(int64(time.Since(askedAt) - 400*time.Millisecond))
					time.Sleep(200 * time.Millisecond)
				}
			})
		}
		group.Wait()
		intervals := int(time.Since(started)/tokenbudget.DefaultCheckpointInterval) + 1
		require.LessOrEqual(t, f.store.Counts().Puts-before.Puts, 2*homeConfig.Shards*intervals)
		require.Less(t, time.Duration(waited.Load())/(programs*turns), 40*time.Millisecond)
	})
}

// The replica must be complete before it is needed: home and platform fail at the same time,
// and another gateway has to take over from the journals.
func TestTakeoverFromJournalsDuringPlatformOutage(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		require.NoError(t, f.turn(f.gateways[0].daemon, "p", maxTurnTokens/2, time.Millisecond))
		time.Sleep(time.Second)
		home := f.homeOf("p")
		f.store.SetFaults(objects.Faults{Outage: true})
		f.gateways[home].crash()
		f.publishLive()
		other := f.gateways[(home+1)%3]
		for _, program := range []string{"p", "new", "p", "new"} {
			started := time.Now()
			require.NoError(t, f.turn(other.daemon, program, maxTurnTokens/4, 0))
			require.Less(t, time.Since(started), 700*time.Millisecond)
		}
		f.store.SetFaults(objects.Faults{})
		time.Sleep(2 * time.Second)
		runUntilSpent(t, f, "p")
		require.Empty(t, f.overrun())
	})
}

// A home that reaches the platform but no journal must hand its shard over to a gateway that
// reaches both.
func TestHomeWithoutJournalQuorumHandsShardOver(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		require.NoError(t, f.turn(f.gateways[0].daemon, "p", maxTurnTokens/2, time.Millisecond))
		home := f.gateways[f.homeOf("p")]
		for _, k := range f.keepers {
			f.network.Cut(home.Self().Name, k.name, true)
			f.network.Cut(k.name, home.Self().Name, true)
		}
		started := time.Now()
		for time.Since(started) < 3*time.Second {
			if err := f.turn(home.daemon, "p", 0, 10*time.Millisecond); err != nil {
				require.Less(t, time.Since(started), 2500*time.Millisecond, "%v", err)
			}
		}
		require.False(t, home.home.Holds("p"))
	})
}

func TestIdleHomesWriteNothing(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		require.NoError(t, f.turn(f.gateways[0].daemon, "p", maxTurnTokens, time.Millisecond))
		time.Sleep(15 * time.Second)
		before := f.store.Counts()
		time.Sleep(20 * time.Second)
		require.Equal(t, before, f.store.Counts())
	})
}

func TestSpentBudgetSurvivesFullRestart(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		runUntilSpent(t, f, "p")
		sc := &scenario{fleet: f}
		sc.killAll()
		err := f.turn(f.gateways[0].daemon, "p", maxTurnTokens, 0)
		require.True(t, verdict.HasReason(err, verdict.BudgetInDoubt) || spent(err), "%v", err)
		runUntilSpent(t, f, "p")
		require.Empty(t, f.overrun())
	})
}

func TestProgramContinuesAfterHomeCrash(t *testing.T) {
	for _, outage := range []bool{false, true} {
		inFleet(t, func(t *testing.T, f *fleet) {
			require.NoError(t, f.turn(f.gateways[0].daemon, "p", 35, time.Millisecond))
			time.Sleep(time.Second)
			f.store.SetFaults(objects.Faults{Outage: outage})
			// During an outage the second turn is granted only with the replica in the
			// journals.
			for range 2 {
				require.NoError(t, f.turn(f.gateways[0].daemon, "p", 200, time.Millisecond))
			}
			home := f.homeOf("p")
			f.gateways[home].crash()
			f.publishLive()
			started := time.Now()
			require.NoError(t, f.turn(f.gateways[(home+1)%3].daemon, "p", 35, 0))
			require.Less(t, time.Since(started), time.Second)
		})
	}
}

// Guards against a takeover timing out on slow links: fenced journals answer with all their
// totals, which takes longer than other messages.
func TestTakeoverOfManyProgramsOverSlowLinks(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		const programs = 200
		for i := range programs {
			require.NoError(t, f.turn(f.gateways[i%3].daemon, fmt.Sprint("p", i), maxTurnTokens/2, 0))
		}
		home := f.homeOf("p0")
		// At this bandwidth the totals of all programs take about a third of a second.
		f.network.SetBandwidth(15_000)
		f.gateways[home].crash()
		f.publishLive()
		started := time.Now()
		require.NoError(t, f.turn(f.gateways[(home+1)%3].daemon, "p0", 35, 0))
		require.Less(t, time.Since(started), time.Second)
	})
}

func TestProgramContinuesAfterDiskLoss(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		require.NoError(t, f.turn(f.gateways[0].daemon, "p", 35, time.Millisecond))
		k := f.keepers[0]
		k.crash()
		k.disk.Wipe()
		f.publishLive()
		time.Sleep(3 * time.Second)
		k.start()
		f.publishLive()
		time.Sleep(3 * time.Second)
		require.NoError(t, f.turn(f.gateways[1].daemon, "p", 35, time.Millisecond))
		runUntilSpent(t, f, "q")
		require.Empty(t, f.overrun())
	})
}

func TestPlannedStopHandsBudgetsOver(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		for round := range 9 {
			require.NoError(t, f.turn(f.gateways[round%3].daemon, "p", 35, time.Millisecond))
			time.Sleep(50 * time.Millisecond)
			g := f.gateways[(round+1)%3]
			g.leave()
			g.start((round + 1) % 3)
			f.publishLive()
		}
		for range 20 {
			require.NoError(t, f.turn(f.gateways[0].daemon, "p", 35, time.Millisecond))
			time.Sleep(20 * time.Millisecond)
		}
	})
}

// A keeper may be removed once no checkpoint lists its journal, so a leaving keeper must be
// dropped from the checkpoints.
func TestLeavingKeeperIsRemovedFromCheckpoint(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		require.NoError(t, f.turn(f.gateways[0].daemon, "p", 35, time.Millisecond))
		time.Sleep(time.Second)
		leaving := f.keepers[1]
		listed := func() bool {
			checkpoints, _, err := f.store.List(t.Context(), tokenbudget.CheckpointPrefix)
			require.NoError(t, err)
			found, err := tokenbudget.ListsJournal(checkpoints, leaving.name, leaving.id)
			require.NoError(t, err)
			return found
		}
		require.True(t, listed())
		f.setLeaving(leaving.name)
		time.Sleep(2 * time.Second)
		require.False(t, listed())
	})
}

// Guards against a takeover that reads the totals of all programs from every journal, which
// keeps the new home busy while callers wait for it.
func TestTakeoverReadsOnlyTotalsNewerThanCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetOf(t, 1, 3, 8)
		defer f.close()
		const programs = 300
		for i := range programs {
			require.NoError(t, f.turn(f.gateways[i%3].daemon, fmt.Sprint("p", i), maxTurnTokens/2, 0))
		}
		time.Sleep(2 * time.Second)
		home := f.homeOf("p0")
		f.gateways[home].crash()
		f.publishLive()
		_, before := f.network.Traffic()
		takeover := time.Now()
		require.NoError(t, f.turn(f.gateways[(home+1)%3].daemon, "p0", 35, 0))
		require.Less(t, time.Since(takeover), time.Second)
		_, after := f.network.Traffic()
		// The new home writes one replica to each of the eight journals. Reading one from each
		// would double that.
		require.Less(t, after-before, f.replicaBytes(t, f.homeOf("p0"))*12)
	})
}

// replicaBytes returns the size of a complete replica of a home.
func (f *fleet) replicaBytes(t *testing.T, home int) int {
	var totals []ledger.ProgramTotal
	for _, shard := range f.gateways[home].home.Dump().([]tokenbudget.ShardState) {
		for _, usage := range shard.Usages {
			totals = append(totals, ledger.ProgramTotal{
				Program: usage.Program, Total: usage.Total, Expires: time.Now().UnixMilli(), Sequence: 1,
			})
		}
	}
	encoded, err := msgpack.Marshal(journal.Replica{Totals: totals})
	require.NoError(t, err)
	return len(encoded)
}

// Guards against a new home handing the shard over because its complete replica takes longer
// than a small write to a journal: the next home is as slow, so that the shard moves on and on.
func TestSlowCompleteReplicaDoesNotMoveShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetOf(t, 1, 3, 8)
		defer f.close()
		const programs = 300
		var turns sync.WaitGroup
		for i := range programs {
			turns.Go(func() { require.NoError(t, f.turn(f.gateways[i%3].daemon, fmt.Sprint("p", i), maxTurnTokens/2, 0)) })
			time.Sleep(10 * time.Millisecond)
		}
		turns.Wait()
		time.Sleep(2 * time.Second)
		home := f.homeOf("p0")
		// At this rate the frames of a complete replica keep its receiver busy for more than half a second.
		f.network.SetLoad(peers.Load{PerKB: 60 * time.Millisecond})
		f.gateways[home].crash()
		f.publishLive()
		before := f.takeovers()
		for i := range 20 {
			if err := f.turn(f.gateways[(home+1+i%2)%3].daemon, fmt.Sprint("p", i), 35, 0); err != nil {
				require.Less(t, i, 2, "%v", err)
			}
			time.Sleep(200 * time.Millisecond)
		}
		require.Equal(t, 1, f.takeovers()-before)
		f.network.SetLoad(peers.Load{})
		time.Sleep(2 * time.Second)
	})
}

// Guards against a home that reaches no journals and the platform only now and then: it went on
// answering that it decides, though nothing that it granted became durable.
func TestHomeWithoutJournalsAndWithFlakyPlatformIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetOf(t, 1, 3, 3)
		defer f.close()
		require.NoError(t, f.turn(f.gateways[0].daemon, "p", 35, time.Millisecond))
		time.Sleep(time.Second)
		home, caller := f.gateways[f.homeOf("p")], f.gateways[(f.homeOf("p")+1)%3]
		for _, k := range f.keepers {
			f.network.Cut(home.Self().Name, k.name, true)
			f.network.Cut(k.name, home.Self().Name, true)
		}
		stop := make(chan struct{})
		var flapping sync.WaitGroup
		flapping.Go(func() { f.flapPlatform(home.Self().Name, stop) })
		// A leaving keeper changes the set of journals, which requires a complete replica.
		f.setLeaving(f.keepers[0].name)
		cutAt := time.Now()
		var first sync.WaitGroup
		first.Go(func() { _ = f.turn(caller.daemon, "p", maxTurnTokens, 5*time.Second) })
		time.Sleep(time.Millisecond)
		// This turn needs a total that the home cannot store.
		for f.turn(caller.daemon, "p", 35, time.Millisecond) != nil {
			require.Less(t, time.Since(cutAt), 3*time.Second)
		}
		first.Wait()
		close(stop)
		flapping.Wait()
	})
}

// flapPlatform makes the platform serve a gateway only now and then.
func (f *fleet) flapPlatform(name string, stop <-chan struct{}) {
	for on := true; ; on = !on {
		f.setRejected(name, on)
		pause := 70 * time.Millisecond
		if on {
			pause = 350 * time.Millisecond
		}
		select {
		case <-stop:
			f.clearRejected()
			return
		case <-time.After(pause):
		}
	}
}

// replacementLimit is the longest time from when a home can store nothing until another one
// decides: callers wait for a decision as long before they are refused.
const replacementLimit = tokenbudget.DefaultReserveLimit

// Guards against a home that reaches neither the journals nor the platform, but its callers, and
// goes on for seconds without being able to grant anything.
func TestHomeCutOffFromJournalsAndPlatformIsReplacedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetOf(t, 1, 4, 5)
		defer f.close()
		require.NoError(t, f.turn(f.gateways[0].daemon, "p", 35, time.Millisecond))
		time.Sleep(time.Second)
		home := f.homeOf("p")
		for _, k := range f.keepers {
			f.network.Cut(f.gateways[home].Self().Name, k.name, true)
			f.network.Cut(k.name, f.gateways[home].Self().Name, true)
		}
		f.setRejected(f.gateways[home].Self().Name, true)
		cutAt := time.Now()
		var callers sync.WaitGroup
		for i := range 30 {
			callers.Go(func() {
				time.Sleep(time.Duration(i) * 10 * time.Millisecond)
				// The second turn exceeds what may be granted ahead of the journals.
				for turns := 0; turns < 2; {
					if f.turn(f.gateways[(home+1+i%3)%4].daemon, fmt.Sprint("q", i), maxTurnTokens, 0) == nil {
						turns++
					}
					require.Less(t, time.Since(cutAt), replacementLimit)
				}
			})
		}
		callers.Wait()
		require.False(t, f.gateways[home].home.Holds("p"))
	})
}

// Guards against turns that wait for a slow platform although their totals are in the journals.
func TestSlowPlatformDoesNotDelayTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetOf(t, 1, 3, 3)
		defer f.close()
		require.NoError(t, f.turn(f.gateways[0].daemon, "p", 35, time.Millisecond))
		time.Sleep(time.Second)
		f.store.SetFaults(objects.Faults{Slow: 900 * time.Millisecond})
		var programs sync.WaitGroup
		for i := range 12 {
			programs.Go(func() {
				for n := range 3 {
					time.Sleep(time.Duration(i*37) * time.Millisecond)
					started := time.Now()
					require.NoError(t, f.turn(f.gateways[n].daemon, fmt.Sprint("q", i), maxTurnTokens, 0))
					require.Less(t, time.Since(started), decisionLimit/2)
				}
			})
		}
		programs.Wait()
	})
}
