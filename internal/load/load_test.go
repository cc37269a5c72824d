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

const profilesDir = "../../tools/measure/profiles"

func TestSchedulesAreDeterministicPerSeed(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(profilesDir, "*.toml"))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		p, err := ReadProfile(file)
		require.NoError(t, err)
		schedule := NewSchedule(p, 1)
		require.NotEmpty(t, schedule)
		require.Equal(t, schedule, NewSchedule(p, 1))
		require.NotEqual(t, schedule, NewSchedule(p, 2))
	}
}

func TestReadProfileRejectsUnknownKeysAndEntries(t *testing.T) {
	for _, text := range []string{"nmae = \"x\"", "[[work]]\nname = \"w\"\nentry = \"none\""} {
		file := filepath.Join(t.TempDir(), "p.toml")
		require.NoError(t, os.WriteFile(file, []byte(text), 0o644))
		_, err := ReadProfile(file)
		require.Error(t, err)
	}
}

func TestOfferedLoadMatchesProfile(t *testing.T) {
	p, err := ReadProfile(filepath.Join(profilesDir, "consorcio.toml"))
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

func TestWaterFillGrantsSharesUpToDemand(t *testing.T) {
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

func TestJainIndexOfEqualAndUnequalRatios(t *testing.T) {
	require.InDelta(t, 1, jainIndex(map[string]float64{"a": 2, "b": 2, "c": 2}), 1e-9)
	require.InDelta(t, 0.25, jainIndex(map[string]float64{"a": 1, "b": 0, "c": 0, "d": 0}), 1e-9)
}

func TestLatencyIncludesUnfinishedPrograms(t *testing.T) {
	p := Profile{Work: []Work{{Entry: "e"}}}
	samples := []ProgramSample{
		{Start: 0, Latency: 10 * time.Second, Ended: false},
		{Start: 0, Latency: time.Second, OK: true, Ended: true},
	}
	result := Summarise(p, 1, Schedule{{}, {}}, samples)
	require.Equal(t, 1, result.Unfinished)
	require.InEpsilon(t, 10_000, result.Latency.P99, 0.01)
}

func TestServedFractionSpreadsWorkOverPrefillAndDecoding(t *testing.T) {
	turn := TurnSample{RequestedAt: time.Second, TimeToFirstToken: time.Second, EndedAt: 4 * time.Second}
	require.InDelta(t, 0.5, turn.servedFraction(0, 3*time.Second), 1e-9)
	require.InDelta(t, 1, turn.servedFraction(0, time.Minute), 1e-9)
	require.Zero(t, turn.servedFraction(4*time.Second, time.Minute))
	long := TurnSample{TimeToFirstToken: 4 * time.Second, PrefillTime: 3 * time.Second, EndedAt: 5 * time.Second}
	require.InDelta(t, 0.75, long.servedFraction(0, 4*time.Second), 1e-9, "prefill precedes the first token")
	require.Zero(t, TurnSample{RequestedAt: time.Second}.servedFraction(0, time.Minute),
		"an unfinished turn received no service")
}

func TestStarvedOwnerLowersJainIndex(t *testing.T) {
	p := Profile{
		Entry:    []structs.Entry{{Name: "a", Owner: "a", Share: 1}, {Name: "b", Owner: "b", Share: 1}},
		Work:     []Work{{Entry: "a"}, {Entry: "b"}},
		Engine:   EngineShape{CapacityBatch: 1, Step: Duration(time.Millisecond)},
		FairFrom: 0, FairTo: Duration(10 * time.Second),
	}
	sample := func(workIndex int, endedAt time.Duration, outputTokens int) ProgramSample {
		return ProgramSample{WorkIndex: workIndex, Turns: []TurnSample{{EndedAt: endedAt, OutputTokens: outputTokens}}}
	}
	fair := Result{}
	fair.computeFairness(p, []ProgramSample{sample(0, 10*time.Second, 1000), sample(1, 10*time.Second, 1000)})
	require.InDelta(t, 1, fair.Jain, 1e-6)
	starved := Result{}
	starved.computeFairness(p, []ProgramSample{sample(0, 10*time.Second, 1000), sample(1, 0, 1000)})
	require.InDelta(t, 0.5, starved.Jain, 1e-6)
}

func TestUnservableDemandDoesNotLowerJainIndex(t *testing.T) {
	p := Profile{
		Entry:  []structs.Entry{{Name: "a", Owner: "a", Share: 1}, {Name: "b", Owner: "b", Share: 1}},
		Work:   []Work{{Entry: "a"}, {Entry: "b"}},
		Engine: EngineShape{CapacityBatch: 1, Step: Duration(10 * time.Millisecond)},
		FairTo: Duration(10 * time.Second),
	}
	samples := []ProgramSample{
		{WorkIndex: 0, Turns: []TurnSample{{EndedAt: 10 * time.Second, OutputTokens: 1000}}},
		{WorkIndex: 1, Turns: []TurnSample{
			{RequestedAt: 9 * time.Second, TimeToFirstToken: 1, EndedAt: 19 * time.Second, OutputTokens: 1000},
		}},
	}
	unservable := Result{}
	unservable.computeFairness(p, samples)
	require.InDelta(t, 1, unservable.Jain, 1e-3)
	require.Less(t, unservable.JainAllDemand, 0.75)
	samples[1].Turns[0] = TurnSample{TimeToFirstToken: 9 * time.Second, EndedAt: 19 * time.Second, OutputTokens: 1000}
	queued := Result{}
	queued.computeFairness(p, samples)
	require.Less(t, queued.Jain, 0.75, "queued work counts as demand")
}

func TestFloorIncludesTurnsPausesAndSlowestSubAgent(t *testing.T) {
	p := Profile{
		Work: []Work{{Short: true}},
		Engine: EngineShape{
			Step:            Duration(20 * time.Millisecond),
			StepPerSequence: Duration(time.Millisecond),
			PrefillPerToken: Duration(time.Millisecond),
		},
	}
	turn := Turn{PromptTokens: 100, OutputTokens: 10, Pause: time.Second}
	program := Program{Turns: []Turn{turn, turn}, SubAgents: []Program{{Turns: []Turn{turn}}, {Turns: []Turn{turn, turn}}}}
	floor := NewFloor(p, Schedule{program}, 1)
	require.InEpsilon(t, 4*(100+10*21+1000), floor.Short.P95, 0.01)
	require.Equal(t, floor.All, floor.Short)
}
