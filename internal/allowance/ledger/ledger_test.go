package ledger_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/allowance/ledger"
)

// start is the time of these tests.
var start = time.Unix(1_700_000_000, 0)

// byRecord returns a ledger whose totals stand in the record only.
func byRecord(hidden, most int) *ledger.Ledger {
	l := ledger.New(hidden, most)
	l.SetRule(ledger.ByRecord)
	return l
}

func turn(program, id string) ledger.Reservation {
	return ledger.Reservation{Program: program, ID: id, Budget: 1700, Tokens: 560, Expected: 280, Lifetime: time.Minute}
}

// write writes the active part of the record, with an outcome.
func write(l *ledger.Ledger, outcome ledger.Outcome) map[string]int {
	covers, _ := l.Record(start)
	l.Recorded(outcome)
	return totals(covers)
}

func totals(covers []ledger.Cover) map[string]int {
	found := map[string]int{}
	for _, c := range covers {
		found[c.Program] = c.Total
	}
	return found
}

func TestOneTurnMayBeAheadOfTheRecord(t *testing.T) {
	l := byRecord(0, 560)
	require.Equal(t, ledger.Granted, l.Reserve(turn("p", "1"), start))
	require.Equal(t, ledger.Unwritten, l.Reserve(turn("p", "2"), start))
	write(l, ledger.InDoubt)
	require.Equal(t, ledger.Unwritten, l.Check(turn("p", "2")), "what is in doubt covers nothing")
	require.Equal(t, 560, write(l, ledger.Written)["p"], "turns under way count as expected, but for one at most")
	require.Equal(t, ledger.Granted, l.Check(turn("p", "2")))
}

func TestLargerTurnThanAnyOnRecordWaits(t *testing.T) {
	l := byRecord(0, 100)
	require.Equal(t, ledger.Unwritten, l.Reserve(turn("p", "1"), start))
	write(l, ledger.Written)
	require.Equal(t, 560, l.Most())
	require.Equal(t, ledger.Granted, l.Check(turn("p", "1")))
}

func TestHeirAddsWhatMayBeHidden(t *testing.T) {
	l := byRecord(560, 560)
	l.Inherit([]ledger.Cover{{Program: "p", Total: 1130, Expires: start.Add(time.Hour).UnixMilli()}}, ledger.FromRecord)
	require.Equal(t, ledger.Unwritten, l.Reserve(turn("p", "1"), start), "the budget and one turn hold it")
	require.Equal(t, 1970, write(l, ledger.Written)["p"])
	require.Equal(t, ledger.Granted, l.Check(turn("p", "1")))
	l.Release("p", "1", 35)
	require.Equal(t, ledger.Spent, l.Reserve(turn("p", "2"), start))
	require.Equal(t, ledger.Unwritten, l.Reserve(turn("unknown", "3"), start))
	require.Equal(t, 840, write(l, ledger.Written)["unknown"])
}

func TestLowerTotalInAWriteUnderWayCounts(t *testing.T) {
	l := byRecord(0, 560)
	l.Reserve(turn("p", "1"), start)
	l.Reserve(turn("p", "2"), start)
	write(l, ledger.Written)
	l.Release("p", "1", 0)
	l.Release("p", "2", 0)
	l.Record(start)
	l.Reserve(turn("p", "3"), start)
	require.Equal(t, ledger.Unwritten, l.Reserve(turn("p", "4"), start))
	l.Recorded(ledger.NotWritten)
	require.Equal(t, ledger.Granted, l.Check(turn("p", "4")), "the record still says 560")
}

// TestProgramIsAlwaysInOnePart: whatever fails between the writes of the two parts, who
// reads the active part and then the idle one finds every program.
func TestProgramIsAlwaysInOnePart(t *testing.T) {
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	run := func(l *ledger.Ledger, program, id string, now time.Time) {
		l.Reserve(turn(program, id), now)
		l.Release(program, id, 300)
	}
	l := byRecord(0, 560)
	run(l, "p", "1", at(0))
	run(l, "q", "1", at(5))
	require.Equal(t, map[string]int{"p": 300, "q": 300}, write(l, ledger.Written))
	require.Equal(t, map[string]int{"p": 300}, totals(l.Idle(at(1), at(6))))
	l.Moved(false)
	require.Contains(t, write(l, ledger.Written), "p", "it was not moved")
	require.Equal(t, map[string]int{"p": 300}, totals(l.Idle(at(1), at(6))))
	l.Moved(true)
	require.Equal(t, map[string]int{"q": 300}, write(l, ledger.Written))
	run(l, "p", "2", at(7))
	require.Equal(t, map[string]int{"p": 600, "q": 300}, write(l, ledger.InDoubt))
	require.Equal(t, map[string]int{"p": 300, "q": 300}, totals(l.Idle(at(6), at(8))), "p may stand in no other part")
	l.Moved(true)
	require.Equal(t, map[string]int{"p": 600}, write(l, ledger.Written))
}

func TestInheritedProgramsBecomeIdle(t *testing.T) {
	l := byRecord(0, 560)
	l.Inherit([]ledger.Cover{{Program: "p", Total: 100, Expires: start.Add(time.Hour).UnixMilli()}}, ledger.FromRecord)
	require.Equal(t, map[string]int{"p": 100}, totals(l.Idle(start, start)))
}

// bridge writes what the disks lack, or everything.
func bridge(l *ledger.Ledger, whole, written bool) map[string]int {
	covers := l.Bridge(whole, 1, start)
	l.Bridged(written)
	return totals(covers)
}

func TestTotalsStandInBothPlacesBeforeTheyAreGranted(t *testing.T) {
	l := ledger.New(0, 560)
	l.SetRule(ledger.ByBoth)
	l.Reserve(turn("p", "1"), start)
	require.Equal(t, ledger.Unwritten, l.Reserve(turn("p", "2"), start))
	write(l, ledger.Written)
	require.Equal(t, ledger.Unwritten, l.Check(turn("p", "2")))
	require.Equal(t, 560, bridge(l, true, true)["p"])
	require.Equal(t, ledger.Granted, l.Check(turn("p", "2")))
	require.Empty(t, bridge(l, false, true), "nothing has changed")
}

func TestBridgeCountsAloneWhileTheRecordCannotBeWritten(t *testing.T) {
	l := ledger.New(0, 560)
	l.Reserve(turn("p", "1"), start)
	l.Reserve(turn("p", "2"), start)
	require.True(t, l.Waiting())
	l.SetRule(ledger.ByBridge)
	bridge(l, false, false)
	require.Equal(t, ledger.Unwritten, l.Check(turn("p", "2")), "it was not written")
	bridge(l, false, true)
	require.Equal(t, ledger.Granted, l.Check(turn("p", "2")))
	require.False(t, l.Waiting())
	l.Release("p", "1", 0)
	l.Release("p", "2", 0)
	require.Zero(t, bridge(l, false, false)["p"])
	l.Reserve(turn("p", "3"), start)
	require.Equal(t, ledger.Unwritten, l.Reserve(turn("p", "4"), start), "some disks may say 0")
}

func TestIdleProgramIsForgotten(t *testing.T) {
	l := ledger.New(0, 560)
	l.Reserve(turn("p", "1"), start)
	l.Release("p", "1", 0)
	require.Len(t, l.Totals(start.Add(59*time.Second)), 1)
	require.Empty(t, l.Totals(start.Add(61*time.Second)))
}
