package home

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/fake/objects"
	"ibisline/internal/member"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// hangAfter is the virtual time after which a test counts as hanging.
const hangAfter = time.Hour

// inWorld runs a test under virtual time.
func inWorld(t *testing.T, test func(t *testing.T, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		defer w.stopAll()
		watchdog := time.AfterFunc(hangAfter, func() { panic("test hangs") })
		defer watchdog.Stop()
		test(t, w)
	})
}

func TestTurnsReachTheEngineWithTheWholeHistory(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		d := w.start("a")
		id := w.open(t, d, "p")
		first := runTurn(t, d, turnRequest(id, 1))
		runTurn(t, d, turnRequest(id, 2))
		require.Equal(t, []string{
			"user:question 1 of " + id + "|assistant:" + first.text() + "|user:question 2 of " + id + "|",
		}, w.backends.promptsOf(id, 2))
	})
}

func TestRepeatedTurnReplaysTheStoredAnswer(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		d := w.start("a")
		id := w.open(t, d, "p")
		first := runTurn(t, d, turnRequest(id, 1))
		require.Equal(t, first.events, runTurn(t, d, turnRequest(id, 1)).events)
		w.crash("a")
		again := runTurn(t, w.start("b"), turnRequest(id, 1))
		require.Equal(t, first.text(), again.text())
		require.Len(t, again.events, len(first.events))
		require.Equal(t, first.events[0].Run, again.events[0].Run)
		require.Len(t, w.backends.promptsOf(id, 1), 1)
	})
}

// TestResumeOfAnotherRunStartsOver: positions of one run mean nothing in another.
func TestResumeOfAnotherRunStartsOver(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		d := w.start("a")
		id := w.open(t, d, "p")
		whole := runTurn(t, d, turnRequest(id, 1))
		for run, missing := range map[string][]structs.Event{whole.events[0].Run: whole.events[2:], "another": whole.events} {
			var rest collect
			request := structs.ResumeRequest{Program: id, Turn: 1, After: 2, Run: run}
			require.NoError(t, d.Resume(context.Background(), request, rest.sink))
			require.Equal(t, missing, rest.events)
		}
	})
}

func TestOtherContentUnderTheSameTurnIsAConflict(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		d := w.start("a")
		id := w.open(t, d, "p")
		runTurn(t, d, turnRequest(id, 1))
		other := turnRequest(id, 1)
		other.Messages[0].Content = "another question"
		err := d.Turn(context.Background(), other, (&collect{}).sink)
		require.True(t, verdict.HasReason(err, verdict.TurnConflict), "%v", err)
		require.True(t, verdict.Is(err, verdict.NotRun))
	})
}

func TestEarlyTurnWaitsForItsPredecessor(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		d := w.start("a")
		id := w.open(t, d, "p")
		early := make(chan error, 1)
		go func() { early <- d.Turn(context.Background(), turnRequest(id, 2), (&collect{}).sink) }()
		synctest.Wait()
		runTurn(t, d, turnRequest(id, 1))
		require.NoError(t, <-early)
		err := d.Turn(context.Background(), turnRequest(id, 9), (&collect{}).sink)
		require.True(t, verdict.HasReason(err, verdict.TurnOutOfOrder), "%v", err)
		require.Equal(t, 3, verdict.From(err).Turn)
	})
}

func TestTurnStartsAfterTheOneBeforeItIsStored(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		d := w.start("a")
		id := w.open(t, d, "p")
		w.objects.SetFaults(objects.Faults{Slow: time.Second})
		results := make(chan error, 2)
		for turn := 1; turn <= 2; turn++ {
			go func() { results <- d.Turn(context.Background(), turnRequest(id, turn), (&collect{}).sink) }()
			time.Sleep(300 * time.Millisecond)
		}
		require.Len(t, w.backends.promptsOf(id, 1), 1)
		require.Empty(t, w.backends.promptsOf(id, 2))
		require.NoError(t, <-results)
		require.NoError(t, <-results)
	})
}

func TestCallRunsOnceAndItsOutcomeSurvivesTheHome(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		d := w.start("a")
		id := w.open(t, d, "p")
		for range 2 {
			reply, err := d.Call(context.Background(), callRequest(id, "k"))
			require.NoError(t, err)
			require.Equal(t, "done k", string(reply.Body))
		}
		w.crash("a")
		reply, err := w.start("b").Call(context.Background(), callRequest(id, "k"))
		require.NoError(t, err)
		require.True(t, reply.Replayed)
		require.Equal(t, 1, w.backends.sends(id+"/k"))
	})
}

func TestIntentOfADeadHomeMayHaveRunForEver(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		d := w.start("a")
		id := w.open(t, d, "p")
		reached := w.backends.hold("send", nil)
		go func() { _, _ = d.Call(context.Background(), callRequest(id, "k")) }()
		<-reached
		d.stop()
		w.live.remove("a")
		b := w.start("b")
		for range 2 {
			_, err := b.Call(context.Background(), callRequest(id, "k"))
			require.True(t, verdict.Is(err, verdict.MayHaveRun), "%v", err)
		}
		require.LessOrEqual(t, w.backends.sends(id+"/k"), 1)
	})
}

func TestCallsAreRefusedAtOnceWhileThePlatformIsDown(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		d := w.start("a")
		id := w.open(t, d, "p")
		w.objects.SetFaults(objects.Faults{Outage: true})
		begun := time.Now()
		_, err := d.Call(context.Background(), callRequest(id, "k"))
		require.True(t, verdict.Is(err, verdict.NotRun), "%v", err)
		require.True(t, verdict.HasReason(err, verdict.PlatformDown), "%v", err)
		require.Less(t, time.Since(begun), time.Second)
		w.objects.SetFaults(objects.Faults{})
		time.Sleep(2 * time.Second)
		_, err = d.Call(context.Background(), callRequest(id, "k"))
		require.NoError(t, err)
		require.Equal(t, 1, w.backends.sends(id+"/k"))
	})
}

// TestCallsAreRefusedAtOnceWhileThePlatformHangs: the first one has to find out.
func TestCallsAreRefusedAtOnceWhileThePlatformHangs(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		d := w.start("a")
		id := w.open(t, d, "p")
		w.objects.SetFaults(objects.Faults{Slow: time.Minute})
		go func() { _, _ = d.Call(context.Background(), callRequest(id, "first")) }()
		time.Sleep(1500 * time.Millisecond)
		begun := time.Now()
		_, err := d.Call(context.Background(), callRequest(id, "k"))
		require.True(t, verdict.Is(err, verdict.NotRun), "%v", err)
		require.True(t, verdict.HasReason(err, verdict.PlatformDown), "%v", err)
		require.Less(t, time.Since(begun), 100*time.Millisecond)
	})
}

func TestTurnsGoOnWhileThePlatformIsDown(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		d := w.start("a")
		id := w.open(t, d, "p")
		w.objects.SetFaults(objects.Faults{Outage: true})
		for turn := 1; turn <= 3; turn++ {
			runTurn(t, d, turnRequest(id, turn))
		}
		w.objects.SetFaults(objects.Faults{})
		time.Sleep(2 * time.Second)
		w.crash("a")
		state, err := w.start("b").State(context.Background(), id)
		require.NoError(t, err)
		require.Equal(t, 4, state.NextTurn)
	})
}

func TestDrainHandsOverWithoutInterruption(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		a := w.start("a")
		id := w.open(t, a, "p")
		hold := make(chan struct{})
		w.backends.hold("generate", hold)
		running := make(chan error, 1)
		go func() { running <- a.Turn(context.Background(), turnRequest(id, 1), (&collect{}).sink) }()
		synctest.Wait()
		w.live.leave("a")
		b := w.start("b")
		drained := make(chan error, 1)
		go func() { drained <- a.Drain(context.Background()) }()
		// Long enough for the shard to be released, if the turn did not hold it.
		time.Sleep(time.Second)
		require.Empty(t, drained)
		_, err := b.State(context.Background(), id)
		require.True(t, verdict.HasReason(err, verdict.NotHome), "%v", err)
		close(hold)
		require.NoError(t, <-running)
		require.NoError(t, <-drained)
		state, err := b.State(context.Background(), id)
		require.NoError(t, err)
		require.Equal(t, 2, state.NextTurn)
		require.EqualValues(t, 2, state.Epoch)
	})
}

func TestBudgetCutsMaxTokensAndThenRefuses(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.entries.put(structs.Entry{Name: "desk", Owner: "weavers", BudgetTokens: 600, Share: 1})
		d := w.start("a")
		id := w.open(t, d, "p")
		var err error
		for turn := 1; err == nil; turn++ {
			err = d.Turn(context.Background(), turnRequest(id, turn), (&collect{}).sink)
		}
		require.True(t, verdict.HasReason(err, verdict.BudgetSpent), "%v", err)
		require.True(t, verdict.Is(err, verdict.NotRun))
		require.LessOrEqual(t, w.backends.used[id], 600)
		require.Positive(t, w.backends.used[id])
	})
}

func TestEndReleasesEngineMemoryAfterTheHomeDied(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.live.servers = engines
		d := w.start("a")
		id := w.open(t, d, "p")
		runTurn(t, d, turnRequest(id, 1))
		w.crash("a")
		b := w.start("b")
		require.NoError(t, b.End(context.Background(), id))
		w.crash("b")
		w.start("c")
		time.Sleep(5 * time.Second)
		require.Empty(t, w.backends.heldPrograms())
	})
}

func TestLoweredBudgetHoldsFromTheNextTurn(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		entry := structs.Entry{Name: "desk", Owner: "weavers", BudgetTokens: 100000, Share: 1}
		w.entries.put(entry)
		d := w.start("a")
		id := w.open(t, d, "p")
		runTurn(t, d, turnRequest(id, 1))
		entry.BudgetTokens = w.backends.used[id] + 10
		w.entries.put(entry)
		err := d.Turn(context.Background(), turnRequest(id, 2), (&collect{}).sink)
		require.True(t, verdict.HasReason(err, verdict.BudgetSpent), "%v", err)
		entry.BudgetTokens = 100000
		w.entries.put(entry)
		runTurn(t, d, turnRequest(id, 2))
	})
}

func TestSubAgentsShareTheParentsBudget(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.entries.put(structs.Entry{Name: "desk", Owner: "weavers", BudgetTokens: 1500, BudgetTurns: 8, Share: 1})
		w.backends.tokenTime = time.Second
		d := w.start("a")
		root := w.open(t, d, "p")
		done := make(chan struct{})
		for i := range 5 {
			go func() {
				defer func() { done <- struct{}{} }()
				child := programID("c" + string(rune('0'+i)))
				_, err := d.Open(context.Background(), structs.OpenRequest{Entry: "desk", Parent: root, Program: child})
				for turn := 1; err == nil; turn++ {
					err = d.Turn(context.Background(), turnRequest(child, turn), (&collect{}).sink)
				}
			}()
		}
		for range 5 {
			<-done
		}
		require.LessOrEqual(t, w.backends.used[root], 1500)
		require.LessOrEqual(t, len(w.backends.prompts), 8)
		require.Greater(t, w.backends.used[root], 500)
	})
}

// TestTurnsUnderWayAtOnceShareTheBudget: each turn alone fits into the budget,
// all of them together don't.
func TestTurnsUnderWayAtOnceShareTheBudget(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		const tokens, children = 300, 5
		w.entries.put(structs.Entry{Name: "desk", Owner: "weavers", BudgetTokens: tokens, Share: 1})
		w.backends.tokenTime = time.Second
		d := w.start("a")
		root := w.open(t, d, "p")
		results := make(chan error, children)
		for i := range children {
			child := programID(fmt.Sprintf("c%d", i))
			_, err := d.Open(context.Background(), structs.OpenRequest{Entry: "desk", Parent: root, Program: child})
			require.NoError(t, err)
			go func() { results <- d.Turn(context.Background(), turnRequest(child, 1), (&collect{}).sink) }()
		}
		refused := 0
		for range children {
			if err := <-results; err != nil {
				require.True(t, verdict.HasReason(err, verdict.BudgetSpent), "%v", err)
				refused++
			}
		}
		require.LessOrEqual(t, w.backends.used[root], tokens)
		require.NotZero(t, refused)
		require.Less(t, refused, children)
	})
}

func TestIdleAndRetiredProgramsEnd(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.live.servers = engines
		entry := structs.Entry{Name: "desk", Owner: "weavers", IdleSeconds: 60, Share: 1}
		w.entries.put(entry)
		d := w.start("a")
		idle := w.open(t, d, "p")
		runTurn(t, d, turnRequest(idle, 1))
		for range 59 {
			time.Sleep(time.Second)
			_, err := d.State(context.Background(), idle)
			require.NoError(t, err)
		}
		require.NotEmpty(t, w.backends.heldPrograms())
		time.Sleep(3 * time.Second)
		require.Empty(t, w.backends.heldPrograms())

		retired := w.open(t, d, "q")
		runTurn(t, d, turnRequest(retired, 1))
		entry.Retired = true
		w.entries.put(entry)
		err := d.Turn(context.Background(), turnRequest(retired, 2), (&collect{}).sink)
		require.True(t, verdict.HasReason(err, verdict.EntryRetired), "%v", err)
		time.Sleep(time.Second)
		require.Empty(t, w.backends.heldPrograms())
	})
}

func TestNewDaemonGetsItsShardWithoutInterruption(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		shardID := structs.ShardID(testRegion + ".0")
		names := []string{"a", "b"}
		w.live.names = names
		newcomer, _ := member.Home(w.live.viewOf(""), shardID)
		w.live.names = nil
		former := names[0]
		if former == newcomer.Name {
			former = names[1]
		}
		d := w.start(former)
		id := w.open(t, d, "p")
		runTurn(t, d, turnRequest(id, 1))
		before, err := d.State(context.Background(), id)
		require.NoError(t, err)
		release := make(chan struct{})
		reached := w.backends.hold("generate", release)
		running := make(chan error, 1)
		go func() { running <- d.Turn(context.Background(), turnRequest(id, 2), (&collect{}).sink) }()
		<-reached
		next := w.start(newcomer.Name)
		time.Sleep(10 * time.Second)
		close(release)
		require.NoError(t, <-running)
		time.Sleep(2 * time.Second)
		after, err := next.State(context.Background(), id)
		require.NoError(t, err)
		require.Equal(t, newcomer.Name, after.Home)
		require.Equal(t, 3, after.NextTurn)
		require.EqualValues(t, before.Epoch+1, after.Epoch)
		require.Less(t, after.SpentTokens, 1000, "a clean hand-over forfeits no grant")
		runTurn(t, next, turnRequest(id, 3))
	})
}

func TestTurnBeyondTheStoredGrantIsRefusedDuringAnOutage(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.cfg.GrantTokens = 1
		w.entries.put(structs.Entry{Name: "desk", Owner: "weavers", BudgetTokens: 800, Share: 1})
		d := w.start("a")
		id := w.open(t, d, "p")
		w.objects.SetFaults(objects.Faults{Outage: true})
		err := d.Turn(context.Background(), turnRequest(id, 1), (&collect{}).sink)
		require.True(t, verdict.HasReason(err, verdict.PlatformDown), "%v", err)
		require.True(t, verdict.Is(err, verdict.NotRun))
		require.Empty(t, w.backends.prompts)
	})
}
