package load

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ibisline/internal/structs"
)

const profiles = "../../tools/measure/profiles"

func TestProfilesAreReadAndPlannedTheSameForASeed(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(profiles, "*.toml"))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		p, err := ReadProfile(file)
		require.NoError(t, err)
		plan := NewSchedule(p, 1)
		require.NotEmpty(t, plan)
		require.Equal(t, plan, NewSchedule(p, 1))
		require.NotEqual(t, plan, NewSchedule(p, 2))
	}
}

func TestProfileRefusesUnknownKeysAndEntries(t *testing.T) {
	for _, text := range []string{"nmae = \"x\"", "[[work]]\nname = \"w\"\nentry = \"none\""} {
		file := filepath.Join(t.TempDir(), "p.toml")
		require.NoError(t, os.WriteFile(file, []byte(text), 0o644))
		_, err := ReadProfile(file)
		require.Error(t, err)
	}
}

func TestOfferedLoadIsTheOneOfTheProfile(t *testing.T) {
	p, err := ReadProfile(filepath.Join(profiles, "consorcio.toml"))
	require.NoError(t, err)
	for i := range p.Work {
		p.Work[i].Crest = nil
	}
	p.Start = Duration(20 * time.Minute)
	want := 0.0
	for _, work := range p.Work {
		want += work.Load
	}
	require.InEpsilon(t, want, p.Offered(NewSchedule(p, 1), 0, p.Start.Std()), 0.15)
}

func TestWaterFillGrantsSharesUpToTheDemand(t *testing.T) {
	shares := map[string]float64{"a": 1, "b": 1, "c": 2}
	granted := waterFill(100, shares, map[string]float64{"a": 10, "b": 1000, "c": 1000})
	require.InDelta(t, 10, granted["a"], 1e-9)
	require.InDelta(t, 30, granted["b"], 1e-9)
	require.InDelta(t, 60, granted["c"], 1e-9)
}

func TestWaterFillNeverExceedsTotalOrDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shares, demand := map[string]float64{}, map[string]float64{}
		for _, owner := range []string{"a", "b", "c", "d"} {
			shares[owner] = rapid.Float64Range(0.1, 10).Draw(t, "share")
			demand[owner] = rapid.Float64Range(0, 100).Draw(t, "demand")
		}
		total := rapid.Float64Range(0, 500).Draw(t, "total")
		sum, wanted := 0.0, 0.0
		for owner, amount := range waterFill(total, shares, demand) {
			require.LessOrEqual(t, amount, demand[owner]+1e-6)
			sum += amount
		}
		for _, amount := range demand {
			wanted += amount
		}
		require.InDelta(t, min(total, wanted), sum, 1e-6)
	})
}

func TestJainIsOneForEqualRatiosOnly(t *testing.T) {
	require.InDelta(t, 1, jain(map[string]float64{"a": 2, "b": 2, "c": 2}), 1e-9)
	require.InDelta(t, 0.25, jain(map[string]float64{"a": 1, "b": 0, "c": 0, "d": 0}), 1e-9)
}

func TestWaitingCountsFromTheIntendedStartAndCutOffProgramsCount(t *testing.T) {
	p := Profile{Work: []Work{{Entry: "e"}}}
	samples := []Sample{
		{Start: 0, Latency: 10 * time.Second, Ended: false},
		{Start: 0, Latency: time.Second, OK: true, Ended: true},
	}
	result := Summarise(p, 1, Schedule{{}, {}}, samples)
	require.Equal(t, 1, result.Unfinished)
	require.InEpsilon(t, 10_000, result.Latency.P99, 0.01)
}

func TestTurnCountsInTheWindowInWhichItsWorkWasDone(t *testing.T) {
	turn := TurnSample{Asked: time.Second, First: time.Second, At: 4 * time.Second}
	require.InDelta(t, 0.5, turn.doneWithin(0, 3*time.Second), 1e-9)
	require.InDelta(t, 1, turn.doneWithin(0, time.Minute), 1e-9)
	require.Zero(t, turn.doneWithin(4*time.Second, time.Minute))
	long := TurnSample{First: 4 * time.Second, Prefill: 3 * time.Second, At: 5 * time.Second}
	require.InDelta(t, 0.75, long.doneWithin(0, 4*time.Second), 1e-9, "the prompt is computed before the first token")
	require.Zero(t, TurnSample{Asked: time.Second}.doneWithin(0, time.Minute), "a turn that was cut off did nothing")
}

func TestOwnerThatIsStarvedLowersTheIndex(t *testing.T) {
	p := Profile{
		Entry:    []structs.Entry{{Name: "a", Owner: "a", Share: 1}, {Name: "b", Owner: "b", Share: 1}},
		Work:     []Work{{Entry: "a"}, {Entry: "b"}},
		Engine:   EngineShape{CapacityBatch: 1, Step: Duration(time.Millisecond)},
		FairFrom: 0, FairTo: Duration(10 * time.Second),
	}
	turn := func(work int, at time.Duration, output int) Sample {
		return Sample{Work: work, Turns: []TurnSample{{At: at, Output: output}}}
	}
	fair := Result{}
	fair.fairness(p, []Sample{turn(0, 10*time.Second, 1000), turn(1, 10*time.Second, 1000)})
	require.InDelta(t, 1, fair.Jain, 1e-6)
	starved := Result{}
	starved.fairness(p, []Sample{turn(0, 10*time.Second, 1000), turn(1, 0, 1000)})
	require.InDelta(t, 0.5, starved.Jain, 1e-6)
}

func TestDemandThatCannotBeServedInTimeDoesNotLowerTheIndex(t *testing.T) {
	p := Profile{
		Entry:  []structs.Entry{{Name: "a", Owner: "a", Share: 1}, {Name: "b", Owner: "b", Share: 1}},
		Work:   []Work{{Entry: "a"}, {Entry: "b"}},
		Engine: EngineShape{CapacityBatch: 1, Step: Duration(10 * time.Millisecond)},
		FairTo: Duration(10 * time.Second),
	}
	samples := []Sample{
		{Work: 0, Turns: []TurnSample{{At: 10 * time.Second, Output: 1000}}},
		{Work: 1, Turns: []TurnSample{{Asked: 9 * time.Second, First: 1, At: 19 * time.Second, Output: 1000}}},
	}
	prompt := Result{}
	prompt.fairness(p, samples)
	require.InDelta(t, 1, prompt.Jain, 1e-3)
	require.Less(t, prompt.JainAllDemand, 0.75)
	samples[1].Turns[0] = TurnSample{First: 9 * time.Second, At: 19 * time.Second, Output: 1000}
	late := Result{}
	late.fairness(p, samples)
	require.Less(t, late.Jain, 0.75, "work that waited stays a demand")
}

func TestFloorAddsTurnsPausesAndTheSlowestSubAgent(t *testing.T) {
	p := Profile{
		Work: []Work{{Short: true}},
		Engine: EngineShape{
			Step:            Duration(20 * time.Millisecond),
			StepPerSequence: Duration(time.Millisecond),
			PrefillPerToken: Duration(time.Millisecond),
		},
	}
	turn := Turn{Tokens: 100, Output: 10, Pause: time.Second}
	program := Program{Turns: []Turn{turn, turn}, Subs: []Program{{Turns: []Turn{turn}}, {Turns: []Turn{turn, turn}}}}
	floor := NewFloor(p, Schedule{program}, 1)
	require.InEpsilon(t, 4*(100+10*21+1000), floor.Short.P95, 0.01)
	require.Equal(t, floor.All, floor.Short)
}
