package ledger_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/tokenbudget/ledger"
)

// start is the clock of these tests.
var start = time.Unix(1_700_000_000, 0)

// newCheckpointLedger returns a ledger that stores totals in the checkpoint only.
func newCheckpointLedger(unrecorded, maxTurn int) *ledger.Ledger {
	l := ledger.New(unrecorded, maxTurn)
	l.SetDurability(ledger.RequireCheckpoint)
	return l
}

func turn(program, id string) ledger.Reservation {
	return ledger.Reservation{Program: program, ID: id, Budget: 1700, Tokens: 560, Expected: 280, Lifetime: time.Minute}
}

// writeCheckpoint writes the active checkpoint with an outcome and returns its totals.
func writeCheckpoint(l *ledger.Ledger, outcome ledger.Outcome) map[string]int {
	totals, _ := l.BeginCheckpoint(start)
	l.EndCheckpoint(outcome)
	return totalsByProgram(totals)
}

func totalsByProgram(totals []ledger.ProgramTotal) map[string]int {
	found := map[string]int{}
	for _, total := range totals {
		found[total.Program] = total.Total
	}
	return found
}

func TestOneTurnMayExceedCheckpoint(t *testing.T) {
	l := newCheckpointLedger(0, 560)
	require.Equal(t, ledger.Granted, l.Reserve(turn("p", "1"), start))
	require.Equal(t, ledger.NotDurable, l.Reserve(turn("p", "2"), start))
	writeCheckpoint(l, ledger.InDoubt)
	require.Equal(t, ledger.NotDurable, l.Check(turn("p", "2")), "a write in doubt makes nothing durable")
	require.Equal(t, 560, writeCheckpoint(l, ledger.Written)["p"], "turns in progress are charged as expected, with at most one turn missing")
	require.Equal(t, ledger.Granted, l.Check(turn("p", "2")))
}

func TestTurnLargerThanCheckpointedMaximumWaits(t *testing.T) {
	l := newCheckpointLedger(0, 100)
	require.Equal(t, ledger.NotDurable, l.Reserve(turn("p", "1"), start))
	writeCheckpoint(l, ledger.Written)
	require.Equal(t, 560, l.MaxTurnTokens())
	require.Equal(t, ledger.Granted, l.Check(turn("p", "1")))
}

func TestSuccessorAddsUnrecordedTokens(t *testing.T) {
	l := newCheckpointLedger(560, 560)
	l.Restore([]ledger.ProgramTotal{{Program: "p", Total: 1130, Expires: start.Add(time.Hour).UnixMilli()}}, ledger.FromCheckpoint)
	require.Equal(t, ledger.NotDurable, l.Reserve(turn("p", "1"), start), "the total stays within the budget plus one turn")
	require.Equal(t, 1970, writeCheckpoint(l, ledger.Written)["p"])
	require.Equal(t, ledger.Granted, l.Check(turn("p", "1")))
	l.Release("p", "1", 35)
	require.Equal(t, ledger.Spent, l.Reserve(turn("p", "2"), start))
	require.Equal(t, ledger.NotDurable, l.Reserve(turn("unknown", "3"), start))
	require.Equal(t, 840, writeCheckpoint(l, ledger.Written)["unknown"])
}

func TestLowerTotalOfWriteInProgressCounts(t *testing.T) {
	l := newCheckpointLedger(0, 560)
	l.Reserve(turn("p", "1"), start)
	l.Reserve(turn("p", "2"), start)
	writeCheckpoint(l, ledger.Written)
	l.Release("p", "1", 0)
	l.Release("p", "2", 0)
	l.BeginCheckpoint(start)
	l.Reserve(turn("p", "3"), start)
	require.Equal(t, ledger.NotDurable, l.Reserve(turn("p", "4"), start))
	l.EndCheckpoint(ledger.NotWritten)
	require.Equal(t, ledger.Granted, l.Check(turn("p", "4")), "the checkpoint still holds 560")
}

// A reader of the active checkpoint and then the idle one must find every program, whichever
// of the two writes fails.
func TestProgramIsAlwaysInOneSection(t *testing.T) {
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	run := func(l *ledger.Ledger, program, id string, now time.Time) {
		l.Reserve(turn(program, id), now)
		l.Release(program, id, 300)
	}
	l := newCheckpointLedger(0, 560)
	run(l, "p", "1", at(0))
	run(l, "q", "1", at(5))
	require.Equal(t, map[string]int{"p": 300, "q": 300}, writeCheckpoint(l, ledger.Written))
	require.Equal(t, map[string]int{"p": 300}, totalsByProgram(l.BeginIdleCheckpoint(at(1), at(6))))
	l.EndIdleCheckpoint(false)
	require.Contains(t, writeCheckpoint(l, ledger.Written), "p", "it was not moved")
	require.Equal(t, map[string]int{"p": 300}, totalsByProgram(l.BeginIdleCheckpoint(at(1), at(6))))
	l.EndIdleCheckpoint(true)
	require.Equal(t, map[string]int{"q": 300}, writeCheckpoint(l, ledger.Written))
	run(l, "p", "2", at(7))
	require.Equal(t, map[string]int{"p": 600, "q": 300}, writeCheckpoint(l, ledger.InDoubt))
	require.Equal(t, map[string]int{"p": 300, "q": 300}, totalsByProgram(l.BeginIdleCheckpoint(at(6), at(8))), "p may be in no other checkpoint")
	l.EndIdleCheckpoint(true)
	require.Equal(t, map[string]int{"p": 600}, writeCheckpoint(l, ledger.Written))
}

func TestRestoredProgramsBecomeIdle(t *testing.T) {
	l := newCheckpointLedger(0, 560)
	l.Restore([]ledger.ProgramTotal{{Program: "p", Total: 100, Expires: start.Add(time.Hour).UnixMilli()}}, ledger.FromCheckpoint)
	require.Equal(t, map[string]int{"p": 100}, totalsByProgram(l.BeginIdleCheckpoint(start, start)))
}

// replicate writes the totals that the journals lack, or all of them.
func replicate(l *ledger.Ledger, complete, written bool) map[string]int {
	totals, _ := l.BeginReplication(complete, 1, start)
	l.EndReplication(written)
	return totalsByProgram(totals)
}

// Guards against a home that grants a turn before its replica is in the journals: a later home
// that starts from an older replica would not know of it.
func TestGrantRequiresReplicaInJournals(t *testing.T) {
	l := ledger.New(0, 560)
	require.Equal(t, ledger.NotDurable, l.Reserve(turn("p", "1"), start))
	require.Equal(t, ledger.NotDurable, l.Reserve(turn("p", "2"), start))
	writeCheckpoint(l, ledger.Written)
	require.Equal(t, ledger.NotDurable, l.Check(turn("p", "1")))
	require.Equal(t, ledger.NotDurable, l.Check(turn("p", "2")))
	require.Equal(t, 560, replicate(l, true, true)["p"])
	require.Equal(t, ledger.Granted, l.Check(turn("p", "1")))
	require.Equal(t, ledger.Granted, l.Check(turn("p", "2")))
	require.Empty(t, replicate(l, false, true), "nothing has changed")
}

// Guards against a turn larger than any before that is granted ahead of journals whose reader
// allows for a smaller one.
func TestTurnLargerThanReplicatedMaximumWaits(t *testing.T) {
	l := ledger.New(0, 0)
	small := turn("p", "1")
	small.Tokens, small.Expected = 100, 0
	l.Reserve(small, start)
	require.False(t, l.MaxTurnReplicated())
	replicate(l, true, true)
	require.Equal(t, ledger.NotDurable, l.Reserve(turn("q", "2"), start.Add(time.Second)))
	writeCheckpoint(l, ledger.Written)
	require.Equal(t, ledger.NotDurable, l.Check(turn("q", "2")))
	replicate(l, false, true)
	require.True(t, l.MaxTurnReplicated())
	require.Equal(t, ledger.Granted, l.Check(turn("q", "2")))
}

// Guards against a checkpoint with a lower total than the journals, ahead of which turns are
// granted: a later home that starts from that checkpoint would be below the real total.
func TestCheckpointIsNotBelowJournals(t *testing.T) {
	l := ledger.New(0, 0)
	l.Reserve(turn("p", "1"), start)
	require.Equal(t, 280, replicate(l, true, true)["p"])
	l.Release("p", "1", 35)
	require.Equal(t, 280, writeCheckpoint(l, ledger.Written)["p"], "840 tokens may be granted ahead of the journals")
	require.True(t, l.Dirty(), "the checkpoint is to be lowered after the journals")
	require.Equal(t, 35, replicate(l, false, true)["p"])
	require.Equal(t, 35, writeCheckpoint(l, ledger.Written)["p"])
	require.False(t, l.Dirty())
}

// Guards against a program with turns since it became idle that the next home takes for idle, so
// that no checkpoint holds those turns.
func TestHandedOverProgramWithNewTurnsIsActive(t *testing.T) {
	l := ledger.New(0, 560)
	expires := start.Add(time.Hour).UnixMilli()
	l.Restore([]ledger.ProgramTotal{{Program: "p", Total: 70, Expires: expires}, {Program: "q", Total: 30, Expires: expires}},
		ledger.FromIdleCheckpoint)
	l.RestoreHandover([]ledger.ProgramTotal{
		{Program: "p", Total: 1190, Expires: expires}, {Program: "q", Total: 30, Expires: expires},
	})
	require.Equal(t, map[string]int{"p": 1190}, writeCheckpoint(l, ledger.Written))
}

func TestJournalsSufficeWhileCheckpointFails(t *testing.T) {
	l := ledger.New(0, 560)
	l.Reserve(turn("p", "1"), start)
	l.Reserve(turn("p", "2"), start)
	require.True(t, l.HasPending())
	l.SetDurability(ledger.RequireJournals)
	replicate(l, false, false)
	require.Equal(t, ledger.NotDurable, l.Check(turn("p", "2")), "it was not written")
	replicate(l, false, true)
	require.Equal(t, ledger.Granted, l.Check(turn("p", "2")))
	require.False(t, l.HasPending())
	l.Release("p", "1", 0)
	l.Release("p", "2", 0)
	require.Zero(t, replicate(l, false, false)["p"])
	l.Reserve(turn("p", "3"), start)
	require.Equal(t, ledger.NotDurable, l.Reserve(turn("p", "4"), start), "some journals may hold 0")
}

func TestIdleProgramExpires(t *testing.T) {
	l := ledger.New(0, 560)
	l.Reserve(turn("p", "1"), start)
	l.Release("p", "1", 0)
	require.Len(t, l.Totals(start.Add(59*time.Second)), 1)
	require.Empty(t, l.Totals(start.Add(61*time.Second)))
}

// Guards against a turn that is charged twice because its home hands the shard over before the
// grant is durable, and its gateway repeats the reservation at the next home: the budget then
// seemed spent.
func TestRepeatedReservationAfterHandoverIsChargedOnce(t *testing.T) {
	l := newCheckpointLedger(0, 560)
	for _, id := range []string{"1", "2"} {
		l.Reserve(turn("p", id), start)
		l.Release("p", id, 560)
	}
	l.Reserve(turn("p", "3"), start)
	require.Equal(t, 1680, l.Total("p"))
	for range 3 {
		handed := l.Totals(start)
		l = newCheckpointLedger(0, 560)
		l.RestoreHandover(handed)
		require.NotEqual(t, ledger.Spent, l.Reserve(turn("p", "3"), start))
		require.Equal(t, 1680, l.Total("p"))
	}
	l.Release("p", "3", 100)
	require.Equal(t, 1220, l.Total("p"), "unused tokens are returned at the last home")
}

// Guards against programs that are remembered for ever because the release of a turn was lost
// in a handover.
func TestHandedOverTurnDoesNotKeepProgram(t *testing.T) {
	l := newCheckpointLedger(0, 560)
	l.Reserve(turn("p", "1"), start)
	handed := l.Totals(start)
	l = newCheckpointLedger(0, 560)
	l.RestoreHandover(handed)
	require.Equal(t, 560, l.Total("p"))
	l.BeginCheckpoint(start.Add(10 * time.Minute))
	require.Zero(t, l.Len())
}

// Guards against a home that does not store the size of a turn that was handed over to it, and
// never grants that turn.
func TestLargestHandedOverTurnIsStored(t *testing.T) {
	l := newCheckpointLedger(0, 0)
	l.Reserve(turn("p", "1"), start)
	handed := l.Totals(start)
	l = ledger.New(0, 0)
	l.SetDurability(ledger.RequireJournals)
	l.RestoreHandover(handed)
	require.Equal(t, ledger.NotDurable, l.Reserve(turn("p", "1"), start))
	require.False(t, l.MaxTurnReplicated())
	replicate(l, true, true)
	require.Equal(t, ledger.Granted, l.Check(turn("p", "1")))
}
