package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ibisline/internal/tokenbudget/ledger"
)

// start is the clock of these tests.
var start = time.Unix(1_700_000_000, 0)

// inCheckpoint makes a ledger store totals in the checkpoint only.
func inCheckpoint(l *ledger.Ledger) *ledger.Ledger {
	l.SetDurability(ledger.RequireCheckpoint)
	return l
}

func turn(program, id string) ledger.Reservation {
	return ledger.Reservation{Program: program, ID: id, Budget: 1700, Tokens: 560, Lifetime: time.Minute}
}

// stored returns a stored total of a program.
func stored(program string, total int, open ...ledger.OpenTurn) ledger.ProgramTotal {
	return ledger.ProgramTotal{Program: program, Total: total, Expires: start.Add(time.Hour).UnixMilli(), Open: open}
}

// writeCheckpoint writes the active checkpoint and returns its totals.
func writeCheckpoint(l *ledger.Ledger, written bool) map[string]int {
	totals := l.BeginCheckpoint(start)
	l.EndCheckpoint(written)
	return totalsByProgram(totals)
}

// replicate writes the totals that the journals lack, or all of them.
func replicate(l *ledger.Ledger, complete, written bool) map[string]int {
	totals := l.BeginReplication(complete, 1, start)
	l.EndReplication(written)
	return totalsByProgram(totals)
}

func totalsByProgram(totals []ledger.ProgramTotal) map[string]int {
	found := map[string]int{}
	for _, total := range totals {
		found[total.Program] = total.Total
	}
	return found
}

// Guards against a new program of which a later home knows nothing although it has used tokens.
func TestFirstTurnWaitsUntilProgramIsStored(t *testing.T) {
	l := inCheckpoint(ledger.New(start))
	require.Equal(t, ledger.NotDurable, l.Reserve(turn("p", "1"), start))
	writeCheckpoint(l, false)
	require.Equal(t, ledger.NotDurable, l.Check(turn("p", "1")), "a write in doubt makes nothing durable")
	require.Equal(t, 560, writeCheckpoint(l, true)["p"])
	require.Equal(t, ledger.Granted, l.Check(turn("p", "1")))
}

func TestOneTurnMayExceedCheckpoint(t *testing.T) {
	l := inCheckpoint(ledger.New(start))
	l.Reserve(turn("p", "1"), start)
	writeCheckpoint(l, true)
	l.Release("p", "1", 0)
	require.Equal(t, ledger.Granted, l.Reserve(turn("p", "2"), start))
	require.Equal(t, ledger.NotDurable, l.Reserve(turn("p", "3"), start))
	l.Release("p", "2", 35)
	require.Equal(t, ledger.NotDurable, l.Check(turn("p", "3")), "the end of a turn that is not stored makes no room")
	writeCheckpoint(l, false)
	require.Equal(t, ledger.NotDurable, l.Check(turn("p", "3")))
	require.Equal(t, 595, writeCheckpoint(l, true)["p"])
	require.Equal(t, ledger.Granted, l.Check(turn("p", "3")))
}

// Guards against charging a program with the largest turn of another one, and against refusing turns after a
// loss that the budget holds: what may be missing is waited for, not charged.
func TestLossOfHomeChargesNothing(t *testing.T) {
	l := inCheckpoint(ledger.NewAfterLoss(start))
	l.Restore([]ledger.ProgramTotal{stored("p", 1130), stored("large", 30_000)}, ledger.FromCheckpoint)
	require.Equal(t, ledger.NotDurable, l.Reserve(turn("p", "1"), start), "one turn may be missing already")
	require.Equal(t, 1690, writeCheckpoint(l, true)["p"])
	require.Equal(t, ledger.Granted, l.Check(turn("p", "1")))
	l.Release("p", "1", 35)
	require.Equal(t, ledger.Spent, l.Reserve(turn("p", "2"), start), "1165 of 1700 are used")
	require.Equal(t, ledger.NotDurable, l.Reserve(turn("new", "3"), start))
	require.Equal(t, 560, writeCheckpoint(l, true)["new"], "a new program has used nothing")
	l.Release("new", "3", 0)
	require.Equal(t, ledger.Granted, l.Reserve(turn("new", "4"), start), "and misses no turn")
}

// Guards against a program that misses a turn and is granted another one that is not stored.
func TestProgramThatMissesTurnIsGrantedStoredTurnsOnly(t *testing.T) {
	l := ledger.NewAfterLoss(start)
	l.Restore([]ledger.ProgramTotal{stored("p", 100)}, ledger.FromCheckpoint)
	for i := range 3 {
		id := fmt.Sprint(i)
		require.Equal(t, ledger.NotDurable, l.Reserve(turn("p", id), start))
		replicate(l, i == 0, true)
		require.Equal(t, ledger.Granted, l.Check(turn("p", id)))
		l.Release("p", id, 35)
		handed := l.Totals(start)
		l = ledger.New(start)
		l.RestoreHandover(handed)
		replicate(l, true, true)
	}
}

// Guards against turns that stay charged with their maximum although they have ended, and against a 402 while
// their ends may still arrive.
func TestTurnsOfPreviousHomeAreReleased(t *testing.T) {
	open := ledger.OpenTurn{ID: "1", Tokens: 560}
	l := ledger.NewAfterLoss(start.Add(3 * time.Second))
	l.Restore([]ledger.ProgramTotal{stored("p", 1400, open)}, ledger.FromJournals)
	replicate(l, true, true)
	require.Equal(t, ledger.InDoubt, l.Reserve(turn("p", "2"), start))
	require.Equal(t, ledger.Spent, l.Reserve(turn("p", "2"), start.Add(4*time.Second)), "it is in progress")
	require.True(t, l.Release("p", "1", 35))
	require.False(t, l.Release("p", "1", 35), "a repeated release changes nothing")
	require.Equal(t, 875, l.Total("p"))
	require.NotEqual(t, ledger.Spent, l.Reserve(turn("p", "2"), start))
	l = ledger.NewAfterLoss(start.Add(3 * time.Second))
	l.Restore([]ledger.ProgramTotal{stored("p", 1700, open)}, ledger.FromJournals)
	require.Equal(t, ledger.InDoubt, l.Reserve(turn("p", "2"), start))
	l.Release("p", "1", 560)
	require.Equal(t, ledger.Spent, l.Reserve(turn("p", "2"), start), "nothing is in doubt any more")
}

// A reader of the active checkpoint and then the idle one must find every program, whichever
// of the two writes fails.
func TestProgramIsAlwaysInOneSection(t *testing.T) {
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	run := func(l *ledger.Ledger, program, id string, now time.Time) {
		l.Reserve(turn(program, id), now)
		l.Release(program, id, 300)
	}
	l := inCheckpoint(ledger.New(start))
	run(l, "p", "1", at(0))
	run(l, "q", "1", at(5))
	require.Equal(t, map[string]int{"p": 300, "q": 300}, writeCheckpoint(l, true))
	require.Equal(t, map[string]int{"p": 300}, totalsByProgram(l.BeginIdleCheckpoint(at(1), at(6))))
	l.EndIdleCheckpoint(false)
	require.Contains(t, writeCheckpoint(l, true), "p", "it was not moved")
	require.Equal(t, map[string]int{"p": 300}, totalsByProgram(l.BeginIdleCheckpoint(at(1), at(6))))
	l.EndIdleCheckpoint(true)
	require.Equal(t, map[string]int{"q": 300}, writeCheckpoint(l, true))
	run(l, "p", "2", at(7))
	require.Equal(t, map[string]int{"p": 600, "q": 300}, writeCheckpoint(l, false))
	require.Equal(t, map[string]int{"p": 300, "q": 300}, totalsByProgram(l.BeginIdleCheckpoint(at(6), at(8))), "p may be in no other checkpoint")
	l.EndIdleCheckpoint(true)
	require.Equal(t, map[string]int{"p": 600}, writeCheckpoint(l, true))
}

func TestRestoredProgramsBecomeIdle(t *testing.T) {
	l := inCheckpoint(ledger.New(start))
	l.Restore([]ledger.ProgramTotal{stored("p", 100)}, ledger.FromCheckpoint)
	require.Equal(t, map[string]int{"p": 100}, totalsByProgram(l.BeginIdleCheckpoint(start, start)))
}

// Guards against a home that grants a turn before its replica is in the journals: a later home
// that starts from an older replica would not know of it.
func TestGrantRequiresReplicaInJournals(t *testing.T) {
	l := ledger.New(start)
	l.Restore([]ledger.ProgramTotal{stored("p", 100)}, ledger.FromCheckpoint)
	require.Equal(t, ledger.NotDurable, l.Reserve(turn("p", "1"), start))
	require.Equal(t, ledger.NotDurable, l.Reserve(turn("p", "2"), start))
	writeCheckpoint(l, true)
	require.Equal(t, ledger.NotDurable, l.Check(turn("p", "1")))
	require.Equal(t, ledger.NotDurable, l.Check(turn("p", "2")))
	require.Equal(t, 1220, replicate(l, true, true)["p"])
	require.Equal(t, ledger.Granted, l.Check(turn("p", "1")))
	require.Equal(t, ledger.Granted, l.Check(turn("p", "2")))
	require.Empty(t, replicate(l, false, true), "nothing has changed")
}

// Guards against a turn granted ahead of the journals beside another one that they lack.
func TestTurnBesideOneThatIsMissingWaits(t *testing.T) {
	l := ledger.New(start)
	small := turn("p", "1")
	small.Tokens = 100
	l.Reserve(small, start)
	replicate(l, true, true)
	require.Equal(t, ledger.Granted, l.Check(small))
	small.ID = "2"
	require.Equal(t, ledger.Granted, l.Reserve(small, start))
	require.Equal(t, ledger.NotDurable, l.Reserve(turn("p", "3"), start), "660 tokens of which the journals know nothing")
	replicate(l, false, false)
	require.Equal(t, ledger.NotDurable, l.Check(turn("p", "3")), "it was not written")
	replicate(l, false, true)
	require.Equal(t, ledger.Granted, l.Check(turn("p", "3")))
}

// Guards against a program with turns since it became idle that the next home takes for idle, so
// that no checkpoint holds those turns.
func TestHandedOverProgramWithNewTurnsIsActive(t *testing.T) {
	l := ledger.New(start)
	l.Restore([]ledger.ProgramTotal{stored("p", 70), stored("q", 30)}, ledger.FromIdleCheckpoint)
	l.RestoreHandover([]ledger.ProgramTotal{stored("p", 1190), stored("q", 30)})
	require.Equal(t, map[string]int{"p": 1190}, writeCheckpoint(l, true))
}

func TestIdleProgramExpires(t *testing.T) {
	l := ledger.New(start)
	l.Reserve(turn("p", "1"), start)
	l.Release("p", "1", 0)
	require.Len(t, l.Totals(start.Add(59*time.Second)), 1)
	require.Empty(t, l.Totals(start.Add(61*time.Second)))
}

// Guards against a turn that is charged twice because its home hands the shard over before the
// grant is durable, and its gateway repeats the reservation at the next home: the budget then
// seemed spent.
func TestRepeatedReservationAfterHandoverIsChargedOnce(t *testing.T) {
	l := inCheckpoint(ledger.New(start))
	for _, id := range []string{"1", "2"} {
		l.Reserve(turn("p", id), start)
		l.Release("p", id, 560)
	}
	l.Reserve(turn("p", "3"), start)
	require.Equal(t, 1680, l.Total("p"))
	for range 3 {
		handed := l.Totals(start)
		l = inCheckpoint(ledger.New(start))
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
	l := inCheckpoint(ledger.New(start))
	l.Reserve(turn("p", "1"), start)
	handed := l.Totals(start)
	l = inCheckpoint(ledger.New(start))
	l.RestoreHandover(handed)
	require.Equal(t, 560, l.Total("p"))
	l.BeginCheckpoint(start.Add(10 * time.Minute))
	require.Zero(t, l.Len())
}

// A turn in the model of TestBudgetHoldsThroughLossesOfHomes.
type modelTurn struct {
	tokens  int
	granted bool
	// acknowledged is set once the end of the turn was stored, so that it is not sent again.
	ended, acknowledged bool
	used                int
}

// Guards against programs that exceed their budget by more than one of their own turns, and against a 402
// although the budget holds a turn, in any order of turns, writes that fail or not, and homes that are lost.
func TestBudgetHoldsThroughLossesOfHomes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const budget, programs = 1300, 2
		l := ledger.New(start)
		// storedNow is what a later home finds.
		var storedNow []ledger.ProgramTotal
		turns := make([]map[string]*modelTurn, programs)
		largest := make([]int, programs)
		for p := range turns {
			turns[p] = map[string]*modelTurn{}
		}
		next := 0
		name := func(p int) string { return fmt.Sprint("program-", p) }
		reservation := func(p int, id string) ledger.Reservation {
			return ledger.Reservation{Program: name(p), ID: id, Budget: budget, Tokens: turns[p][id].tokens, Lifetime: time.Minute}
		}
		grant := func(p int, id string, decision ledger.Decision) {
			if turn := turns[p][id]; decision == ledger.Granted && !turn.ended {
				turn.granted = true
				largest[p] = max(largest[p], turn.tokens)
			}
		}
		checkAll := func() {
			for p := range turns {
				for id, turn := range turns[p] {
					if !turn.ended {
						grant(p, id, l.Check(reservation(p, id)))
					}
				}
			}
		}
		pick := func(t *rapid.T, p int, wanted func(*modelTurn) bool) string {
			for i := range next {
				id := fmt.Sprint((i + rapid.IntRange(0, 3).Draw(t, "offset")) % next)
				if turn := turns[p][id]; turn != nil && wanted(turn) {
					return id
				}
			}
			return ""
		}
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				p, id := rapid.IntRange(0, programs-1).Draw(t, "program"), fmt.Sprint(next)
				next++
				// The second program has much larger turns.
				turn := &modelTurn{tokens: rapid.SampledFrom([]int{35, 400, 560}).Draw(t, "tokens") * (1 + p)}
				turns[p][id] = turn
				decision := l.Reserve(reservation(p, id), start)
				atMost := 0
				for _, other := range turns[p] {
					if other.ended {
						atMost += other.used
					} else if other != turn {
						atMost += other.tokens
					}
				}
				if decision == ledger.Spent {
					require.Greater(t, atMost+turn.tokens, budget, "the budget holds the turn")
				}
				if decision == ledger.Spent || decision == ledger.InDoubt {
					delete(turns[p], id)
				}
				grant(p, id, decision)
			},
			"end": func(t *rapid.T) {
				p := rapid.IntRange(0, programs-1).Draw(t, "program")
				id := pick(t, p, func(turn *modelTurn) bool { return !turn.ended })
				if id == "" {
					return
				}
				turn := turns[p][id]
				turn.ended = true
				if turn.granted {
					turn.used = rapid.SampledFrom([]int{0, turn.tokens / 2, turn.tokens}).Draw(t, "used")
				}
				l.Release(name(p), id, turn.used)
			},
			"release again": func(t *rapid.T) {
				p := rapid.IntRange(0, programs-1).Draw(t, "program")
				if id := pick(t, p, func(turn *modelTurn) bool { return turn.ended && !turn.acknowledged }); id != "" {
					l.Release(name(p), id, turns[p][id].used)
				}
			},
			"write": func(t *rapid.T) {
				written := rapid.IntRange(0, 3).Draw(t, "written") > 0
				totals := l.BeginReplication(true, 1, start)
				if written || rapid.Bool().Draw(t, "applied") {
					storedNow = totals
				}
				l.EndReplication(written)
				for p := range turns {
					for _, turn := range turns[p] {
						turn.acknowledged = turn.acknowledged || (turn.ended && written)
					}
				}
				checkAll()
			},
			"loss": func(t *rapid.T) {
				l = ledger.NewAfterLoss(start.Add(time.Minute))
				l.Restore(storedNow, ledger.FromJournals)
				// Gateways repeat the reservations that were not decided.
				for p := range turns {
					for id, turn := range turns[p] {
						if !turn.ended && !turn.granted {
							if decision := l.Reserve(reservation(p, id), start); decision == ledger.Spent || decision == ledger.InDoubt {
								delete(turns[p], id)
							}
						}
					}
				}
			},
			"handover": func(*rapid.T) {
				handed := l.Totals(start)
				l = ledger.New(start.Add(time.Minute))
				l.RestoreHandover(handed)
			},
			"": func(t *rapid.T) {
				for p := range turns {
					real := 0
					for _, turn := range turns[p] {
						switch {
						case turn.ended:
							real += turn.used
						case turn.granted:
							real += turn.tokens
						}
					}
					require.LessOrEqual(t, real, budget+largest[p])
				}
			},
		})
	})
}
