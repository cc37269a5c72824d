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

// testTimeout is the virtual time after which a test counts as hanging.
const testTimeout = time.Hour

// withCluster runs a test with a new cluster under virtual time.
func withCluster(t *testing.T, test func(t *testing.T, cl *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster()
		defer cl.stopAll()
		watchdog := time.AfterFunc(testTimeout, func() { panic("test hangs") })
		defer watchdog.Stop()
		test(t, cl)
	})
}

func TestTurnsReachTheEngineWithTheWholeHistory(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		d := cl.start("a")
		id := cl.open(t, d, "p")
		first := runTurn(t, d, turnRequest(id, 1))
		runTurn(t, d, turnRequest(id, 2))
		require.Equal(t, []string{
			"user:question 1 of " + id + "|assistant:" + first.text() + "|user:question 2 of " + id + "|",
		}, cl.backends.promptsOf(id, 2))
	})
}

func TestRepeatedTurnReplaysTheStoredAnswer(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		d := cl.start("a")
		id := cl.open(t, d, "p")
		first := runTurn(t, d, turnRequest(id, 1))
		require.Equal(t, first.events, runTurn(t, d, turnRequest(id, 1)).events)
		cl.crash("a")
		again := runTurn(t, cl.start("b"), turnRequest(id, 1))
		require.Equal(t, first.text(), again.text())
		require.Len(t, again.events, len(first.events))
		require.Equal(t, first.events[0].Run, again.events[0].Run)
		require.Len(t, cl.backends.promptsOf(id, 1), 1)
	})
}

// Event positions of one run are meaningless in another.
func TestResumeOfAnotherRunStartsOver(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		d := cl.start("a")
		id := cl.open(t, d, "p")
		whole := runTurn(t, d, turnRequest(id, 1))
		for run, missing := range map[string][]structs.Event{whole.events[0].Run: whole.events[2:], "another": whole.events} {
			var rest eventCollector
			request := structs.ResumeRequest{Program: id, Turn: 1, After: 2, Run: run}
			require.NoError(t, d.Resume(context.Background(), request, rest.sink))
			require.Equal(t, missing, rest.events)
		}
	})
}

func TestOtherContentUnderTheSameTurnIsAConflict(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		d := cl.start("a")
		id := cl.open(t, d, "p")
		runTurn(t, d, turnRequest(id, 1))
		other := turnRequest(id, 1)
		other.Messages[0].Content = "another question"
		err := d.Turn(context.Background(), other, (&eventCollector{}).sink)
		require.True(t, verdict.HasReason(err, verdict.TurnConflict), "%v", err)
		require.True(t, verdict.Is(err, verdict.NotRun))
	})
}

func TestEarlyTurnWaitsForItsPredecessor(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		d := cl.start("a")
		id := cl.open(t, d, "p")
		early := make(chan error, 1)
		go func() { early <- d.Turn(context.Background(), turnRequest(id, 2), (&eventCollector{}).sink) }()
		synctest.Wait()
		runTurn(t, d, turnRequest(id, 1))
		require.NoError(t, <-early)
		err := d.Turn(context.Background(), turnRequest(id, 9), (&eventCollector{}).sink)
		require.True(t, verdict.HasReason(err, verdict.TurnOutOfOrder), "%v", err)
		require.Equal(t, 3, verdict.From(err).Turn)
	})
}

func TestTurnStartsAfterTheOneBeforeItIsStored(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		d := cl.start("a")
		id := cl.open(t, d, "p")
		cl.objects.SetFaults(objects.Faults{Slow: time.Second})
		results := make(chan error, 2)
		for turn := 1; turn <= 2; turn++ {
			go func() { results <- d.Turn(context.Background(), turnRequest(id, turn), (&eventCollector{}).sink) }()
			time.Sleep(300 * time.Millisecond)
		}
		require.Len(t, cl.backends.promptsOf(id, 1), 1)
		require.Empty(t, cl.backends.promptsOf(id, 2))
		require.NoError(t, <-results)
		require.NoError(t, <-results)
	})
}

func TestCallRunsOnceAndItsOutcomeSurvivesTheHome(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		d := cl.start("a")
		id := cl.open(t, d, "p")
		for range 2 {
			reply, err := d.Call(context.Background(), callRequest(id, "k"))
			require.NoError(t, err)
			require.Equal(t, "done k", string(reply.Body))
		}
		cl.crash("a")
		reply, err := cl.start("b").Call(context.Background(), callRequest(id, "k"))
		require.NoError(t, err)
		require.True(t, reply.Replayed)
		require.Equal(t, 1, cl.backends.sends(id+"/k"))
	})
}

func TestIntentOfADeadHomeStaysMayHaveRun(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		d := cl.start("a")
		id := cl.open(t, d, "p")
		reached := cl.backends.blockAt("send", nil)
		go func() { _, _ = d.Call(context.Background(), callRequest(id, "k")) }()
		<-reached
		d.stop()
		cl.membership.remove("a")
		b := cl.start("b")
		for range 2 {
			_, err := b.Call(context.Background(), callRequest(id, "k"))
			require.True(t, verdict.Is(err, verdict.MayHaveRun), "%v", err)
		}
		require.LessOrEqual(t, cl.backends.sends(id+"/k"), 1)
	})
}

func TestCallsAreRefusedAtOnceWhileThePlatformIsDown(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		d := cl.start("a")
		id := cl.open(t, d, "p")
		cl.objects.SetFaults(objects.Faults{Outage: true})
		begun := time.Now()
		_, err := d.Call(context.Background(), callRequest(id, "k"))
		require.True(t, verdict.Is(err, verdict.NotRun), "%v", err)
		require.True(t, verdict.HasReason(err, verdict.PlatformDown), "%v", err)
		require.Less(t, time.Since(begun), time.Second)
		cl.objects.SetFaults(objects.Faults{})
		time.Sleep(2 * time.Second)
		_, err = d.Call(context.Background(), callRequest(id, "k"))
		require.NoError(t, err)
		require.Equal(t, 1, cl.backends.sends(id+"/k"))
	})
}

// Only the first call waits for the platform.
func TestCallsAreRefusedAtOnceWhileThePlatformHangs(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		d := cl.start("a")
		id := cl.open(t, d, "p")
		cl.objects.SetFaults(objects.Faults{Slow: time.Minute})
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
	withCluster(t, func(t *testing.T, cl *cluster) {
		d := cl.start("a")
		id := cl.open(t, d, "p")
		cl.objects.SetFaults(objects.Faults{Outage: true})
		for turn := 1; turn <= 3; turn++ {
			runTurn(t, d, turnRequest(id, turn))
		}
		cl.objects.SetFaults(objects.Faults{})
		time.Sleep(2 * time.Second)
		cl.crash("a")
		state, err := cl.start("b").State(context.Background(), id)
		require.NoError(t, err)
		require.Equal(t, 4, state.NextTurn)
	})
}

func TestDrainHandsOverWithoutInterruption(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		a := cl.start("a")
		id := cl.open(t, a, "p")
		hold := make(chan struct{})
		cl.backends.blockAt("generate", hold)
		running := make(chan error, 1)
		go func() { running <- a.Turn(context.Background(), turnRequest(id, 1), (&eventCollector{}).sink) }()
		synctest.Wait()
		cl.membership.markLeaving("a")
		b := cl.start("b")
		drained := make(chan error, 1)
		go func() { drained <- a.Drain(context.Background()) }()
		// Long enough for the shard to be released if the running turn did not
		// prevent it.
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
	withCluster(t, func(t *testing.T, cl *cluster) {
		cl.entries.put(structs.Entry{Name: "desk", Owner: "weavers", BudgetTokens: 600, Share: 1})
		d := cl.start("a")
		id := cl.open(t, d, "p")
		var err error
		for turn := 1; err == nil; turn++ {
			err = d.Turn(context.Background(), turnRequest(id, turn), (&eventCollector{}).sink)
		}
		require.True(t, verdict.HasReason(err, verdict.BudgetSpent), "%v", err)
		require.True(t, verdict.Is(err, verdict.NotRun))
		require.LessOrEqual(t, cl.backends.usedTokens[id], 600)
		require.Positive(t, cl.backends.usedTokens[id])
	})
}

func TestEndReleasesEngineMemoryAfterTheHomeDied(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		cl.membership.servers = engines
		d := cl.start("a")
		id := cl.open(t, d, "p")
		runTurn(t, d, turnRequest(id, 1))
		cl.crash("a")
		b := cl.start("b")
		require.NoError(t, b.End(context.Background(), id))
		cl.crash("b")
		cl.start("c")
		time.Sleep(5 * time.Second)
		require.Empty(t, cl.backends.heldPrograms())
	})
}

func TestLoweredBudgetHoldsFromTheNextTurn(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		entry := structs.Entry{Name: "desk", Owner: "weavers", BudgetTokens: 100000, Share: 1}
		cl.entries.put(entry)
		d := cl.start("a")
		id := cl.open(t, d, "p")
		runTurn(t, d, turnRequest(id, 1))
		entry.BudgetTokens = cl.backends.usedTokens[id] + 10
		cl.entries.put(entry)
		err := d.Turn(context.Background(), turnRequest(id, 2), (&eventCollector{}).sink)
		require.True(t, verdict.HasReason(err, verdict.BudgetSpent), "%v", err)
		entry.BudgetTokens = 100000
		cl.entries.put(entry)
		runTurn(t, d, turnRequest(id, 2))
	})
}

func TestSubAgentsShareTheParentsBudget(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		cl.entries.put(structs.Entry{Name: "desk", Owner: "weavers", BudgetTokens: 1500, BudgetTurns: 8, Share: 1})
		cl.backends.pieceInterval = time.Second
		d := cl.start("a")
		root := cl.open(t, d, "p")
		done := make(chan struct{})
		for i := range 5 {
			go func() {
				defer func() { done <- struct{}{} }()
				child := programID("c" + string(rune('0'+i)))
				_, err := d.Open(context.Background(), structs.OpenRequest{Entry: "desk", Parent: root, Program: child})
				for turn := 1; err == nil; turn++ {
					err = d.Turn(context.Background(), turnRequest(child, turn), (&eventCollector{}).sink)
				}
			}()
		}
		for range 5 {
			<-done
		}
		require.LessOrEqual(t, cl.backends.usedTokens[root], 1500)
		require.LessOrEqual(t, len(cl.backends.prompts), 8)
		require.Greater(t, cl.backends.usedTokens[root], 500)
	})
}

// Each turn alone fits into the budget, but all of them together do not.
func TestConcurrentTurnsShareTheBudget(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		const tokens, children = 300, 5
		cl.entries.put(structs.Entry{Name: "desk", Owner: "weavers", BudgetTokens: tokens, Share: 1})
		cl.backends.pieceInterval = time.Second
		d := cl.start("a")
		root := cl.open(t, d, "p")
		results := make(chan error, children)
		for i := range children {
			child := programID(fmt.Sprintf("c%d", i))
			_, err := d.Open(context.Background(), structs.OpenRequest{Entry: "desk", Parent: root, Program: child})
			require.NoError(t, err)
			go func() { results <- d.Turn(context.Background(), turnRequest(child, 1), (&eventCollector{}).sink) }()
		}
		refused := 0
		for range children {
			if err := <-results; err != nil {
				require.True(t, verdict.HasReason(err, verdict.BudgetSpent), "%v", err)
				refused++
			}
		}
		require.LessOrEqual(t, cl.backends.usedTokens[root], tokens)
		require.NotZero(t, refused)
		require.Less(t, refused, children)
	})
}

func TestIdleAndRetiredProgramsEnd(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		cl.membership.servers = engines
		entry := structs.Entry{Name: "desk", Owner: "weavers", IdleSeconds: 60, Share: 1}
		cl.entries.put(entry)
		d := cl.start("a")
		idle := cl.open(t, d, "p")
		runTurn(t, d, turnRequest(idle, 1))
		for range 59 {
			time.Sleep(time.Second)
			_, err := d.State(context.Background(), idle)
			require.NoError(t, err)
		}
		require.NotEmpty(t, cl.backends.heldPrograms())
		time.Sleep(3 * time.Second)
		require.Empty(t, cl.backends.heldPrograms())

		retired := cl.open(t, d, "q")
		runTurn(t, d, turnRequest(retired, 1))
		entry.Retired = true
		cl.entries.put(entry)
		err := d.Turn(context.Background(), turnRequest(retired, 2), (&eventCollector{}).sink)
		require.True(t, verdict.HasReason(err, verdict.EntryRetired), "%v", err)
		time.Sleep(time.Second)
		require.Empty(t, cl.backends.heldPrograms())
	})
}

func TestNewDaemonGetsItsShardWithoutInterruption(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		shardID := structs.ShardID(testRegion + ".0")
		names := []string{"a", "b"}
		cl.membership.names = names
		newcomer, _ := member.Home(cl.membership.viewOf(""), shardID)
		cl.membership.names = nil
		previous := names[0]
		if previous == newcomer.Name {
			previous = names[1]
		}
		d := cl.start(previous)
		id := cl.open(t, d, "p")
		runTurn(t, d, turnRequest(id, 1))
		before, err := d.State(context.Background(), id)
		require.NoError(t, err)
		release := make(chan struct{})
		reached := cl.backends.blockAt("generate", release)
		running := make(chan error, 1)
		go func() { running <- d.Turn(context.Background(), turnRequest(id, 2), (&eventCollector{}).sink) }()
		<-reached
		next := cl.start(newcomer.Name)
		time.Sleep(10 * time.Second)
		close(release)
		require.NoError(t, <-running)
		time.Sleep(2 * time.Second)
		after, err := next.State(context.Background(), id)
		require.NoError(t, err)
		require.Equal(t, newcomer.Name, after.Home)
		require.Equal(t, 3, after.NextTurn)
		require.EqualValues(t, before.Epoch+1, after.Epoch)
		require.Less(t, after.SpentTokens, 1000, "a graceful handover forfeits no grant")
		runTurn(t, next, turnRequest(id, 3))
	})
}

func TestTurnBeyondTheStoredGrantIsRefusedDuringAnOutage(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		cl.cfg.GrantTokens = 1
		cl.entries.put(structs.Entry{Name: "desk", Owner: "weavers", BudgetTokens: 800, Share: 1})
		d := cl.start("a")
		id := cl.open(t, d, "p")
		cl.objects.SetFaults(objects.Faults{Outage: true})
		err := d.Turn(context.Background(), turnRequest(id, 1), (&eventCollector{}).sink)
		require.True(t, verdict.HasReason(err, verdict.PlatformDown), "%v", err)
		require.True(t, verdict.Is(err, verdict.NotRun))
		require.Empty(t, cl.backends.prompts)
	})
}
