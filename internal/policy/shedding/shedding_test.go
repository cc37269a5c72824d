package shedding_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/policy/shedding"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// simulate offers programs of several turns, one turn of each a second, to a service that takes a
// number of requests a second for a while. It returns how many programs were served whole, in part
// and not at all, of those that began in the second half.
func simulate(threshold *shedding.Threshold, programsPerSecond, turns, capacity, seconds int) (whole, part, none int) {
	type program struct {
		rank   float64
		begun  int
		served int
		failed bool
	}
	var active []*program
	rank := 0.0
	for second := range seconds {
		for range programsPerSecond {
			rank += 0.618034
			rank -= float64(int(rank))
			active = append(active, &program{rank: rank, begun: second})
		}
		left := capacity
		var next []*program
		for i, p := range active {
			now := start.Add(time.Duration(second)*time.Second + time.Duration(i)*time.Second/time.Duration(len(active)))
			_, admitted := threshold.Admit(p.rank, now)
			switch {
			case !admitted:
				p.failed = true
			case left == 0:
				threshold.RecordDenial(now)
				p.failed = true
			default:
				left--
				p.served++
			}
			if !p.failed && p.served < turns {
				next = append(next, p)
				continue
			}
			if p.begun < seconds/2 {
				continue
			}
			switch {
			case p.served == turns:
				whole++
			case p.served > 0:
				part++
			default:
				none++
			}
		}
		active = next
	}
	return whole, part, none
}

// Guards against serving a few turns of many programs and hardly any program whole when a service
// takes an eighth of the demand.
func TestFewProgramsAreServedInPart(t *testing.T) {
	whole, part, none := simulate(shedding.New(start), 20, 5, 12, 120)
	require.Greater(t, whole, 60*12/5/2, "half of the capacity serves whole programs: %d whole, %d in part, %d not at all", whole, part, none)
	require.Less(t, part, whole)
}

// Guards against rejecting programs that fit.
func TestAllProgramsAreAdmittedWithoutDenials(t *testing.T) {
	whole, part, none := simulate(shedding.New(start), 2, 5, 12, 60)
	require.Zero(t, part+none)
	require.Positive(t, whole)
}

// Guards against a program that one daemon admits and another one, which admits more, rejects.
func TestDaemonsAdmitNestedSets(t *testing.T) {
	few, many := shedding.New(start), shedding.New(start)
	now := start
	for i := range 20 {
		now = now.Add(time.Second / 5)
		few.RecordDenial(now)
		if i%2 == 0 {
			many.RecordDenial(now)
		}
	}
	for rank := 0.0; rank < 1; rank += 0.01 {
		_, byFew := few.Admit(rank, now)
		_, byMany := many.Admit(rank, now)
		require.True(t, !byFew || byMany)
	}
}

// Guards against a time to come back after which the program is rejected again, although nothing was
// denied meanwhile.
func TestProgramIsAdmittedAfterTheTimeItWasTold(t *testing.T) {
	threshold := shedding.New(start)
	for i := range 30 {
		threshold.RecordDenial(start.Add(time.Duration(i) * time.Second / 5))
	}
	now := start.Add(7 * time.Second)
	wait, admitted := threshold.Admit(0.9, now)
	require.False(t, admitted)
	_, admitted = threshold.Admit(0.9, now.Add(wait+time.Millisecond))
	require.True(t, admitted)
	_, admitted = threshold.Admit(0.9, now.Add(wait/2))
	require.False(t, admitted)
}
