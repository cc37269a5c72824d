package window_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/policy/window"
)

const ms = time.Millisecond

func adaptive() window.Config {
	return window.Config{
		Limit: 16, MaxLimit: 256, GapTarget: 47 * ms,
		FirstTokenTarget: 1100 * ms, KVTokens: 64_000,
	}
}

// simulateEngine simulates an engine whose gap depends on its batch size and whose
// window always has waiting requests, for the given number of seconds.
func simulateEngine(w *window.Window, seconds int, gapAt func(running int) time.Duration, now *time.Time) {
	for range seconds * 10 {
		for w.Admits(window.Need{}) {
			w.Begin(window.Need{})
			w.RecordFirstToken(window.Need{}, *now)
		}
		gap := gapAt(w.Running())
		streams := w.Running()
		for range streams * int(100*ms) / int(gap) {
			w.RecordTokenGap(gap, *now)
		}
		w.RecordDemand(*now)
		*now = now.Add(100 * ms)
		for w.Running() > 0 && w.Running() > streams*9/10 {
			w.End(window.Need{}, true)
		}
	}
}

func TestLimitConvergesToGapTarget(t *testing.T) {
	w := window.New(adaptive())
	now := time.Unix(0, 0)
	gapAt := func(running int) time.Duration { return 20*ms + time.Duration(running)*ms/2 }
	simulateEngine(w, 120, gapAt, &now)
	require.InDelta(t, 47, float64(gapAt(w.Limit())/ms), 8)
}

func TestLimitShrinksAtOnceAndRecoversSlowly(t *testing.T) {
	w := window.New(adaptive())
	now := time.Unix(0, 0)
	fast := func(running int) time.Duration { return 20*ms + time.Duration(running)*ms/2 }
	slow := func(running int) time.Duration { return 4 * fast(running) }
	simulateEngine(w, 60, fast, &now)
	before := w.Limit()
	simulateEngine(w, 2, slow, &now)
	shrunk := w.Limit()
	require.LessOrEqual(t, shrunk, before*2/3)
	simulateEngine(w, 2, fast, &now)
	require.Less(t, w.Limit(), before)
	simulateEngine(w, 90, fast, &now)
	require.InDelta(t, before, w.Limit(), float64(before)/4)
}

func TestKVMemoryBoundsAdmission(t *testing.T) {
	w := window.New(adaptive())
	need := window.Need{KVTokens: 30_000}
	w.Begin(need)
	w.Begin(need)
	require.False(t, w.Admits(need))
	require.True(t, w.Admits(window.Need{KVTokens: 4_000}))
	w.End(need, false)
	require.True(t, w.Admits(need))
}

func TestRequestLargerThanKVMemoryRunsAlone(t *testing.T) {
	w := window.New(adaptive())
	huge := window.Need{KVTokens: 1_000_000, PrefillTokens: 1_000_000}
	require.True(t, w.Admits(huge))
	w.Begin(huge)
	require.False(t, w.Admits(window.Need{KVTokens: 1}))
}

func TestPrefillBacklogBoundsAdmission(t *testing.T) {
	w := window.New(adaptive())
	long := window.Need{PrefillTokens: 20_000}
	w.Begin(long)
	require.False(t, w.Admits(window.Need{PrefillTokens: 100}))
	w.RecordFirstToken(long, time.Unix(0, 0))
	require.True(t, w.Admits(window.Need{PrefillTokens: 100}))
	w.End(long, true)
	require.Zero(t, w.PrefillTokens())
}

func TestFixedWindowBoundsOnlyConcurrency(t *testing.T) {
	w := window.New(window.Config{Limit: 2, Fixed: true, KVTokens: 10, GapTarget: ms})
	need := window.Need{KVTokens: 100, PrefillTokens: 100_000}
	w.Begin(need)
	require.True(t, w.Admits(need))
	w.Begin(need)
	require.False(t, w.Admits(need))
	for range 1000 {
		w.RecordTokenGap(time.Second, time.Unix(0, 0))
	}
	require.Equal(t, 2, w.Limit())
}

func TestGapOfHungEngineGrows(t *testing.T) {
	w := window.New(adaptive())
	now := time.Unix(0, 0)
	w.Begin(window.Need{})
	require.Zero(t, w.Gap(now.Add(time.Minute)))
	w.RecordFirstToken(window.Need{}, now)
	require.Equal(t, time.Minute, w.Gap(now.Add(time.Minute)))
	w.End(window.Need{}, true)
	require.Zero(t, w.Gap(now.Add(time.Minute)))
}

func TestGapsDuringPrefillDoNotShrinkLimit(t *testing.T) {
	w := window.New(adaptive())
	now := time.Unix(0, 0)
	for range 10 {
		w.Begin(window.Need{})
		w.RecordFirstToken(window.Need{}, now)
	}
	w.Begin(window.Need{PrefillTokens: 5_000})
	for range 1_000 {
		w.RecordTokenGap(90*ms, now)
	}
	require.Equal(t, 16, w.Limit())
	require.Equal(t, 90*ms, w.Gap(now).Round(ms))
}

func TestLimitFallsToRunningRequestsWhenEngineQueues(t *testing.T) {
	w := window.New(adaptive())
	now := time.Unix(100, 0)
	for range 16 {
		w.Begin(window.Need{})
	}
	for range 8 {
		w.RecordFirstToken(window.Need{}, now)
	}
	w.RecordLoadReport(8, 1)
	w.RecordLateFirstToken(w.Streams(), now)
	require.Equal(t, 16, w.Limit(), "long prompts alone do not show a queue")
	w.RecordLoadReport(6, 8)
	w.RecordLateFirstToken(w.Streams(), now)
	require.Equal(t, 8, w.Limit())
	w.RecordLateFirstToken(2, now.Add(time.Second))
	require.Equal(t, 8, w.Limit(), "a second step down within growthPauseAfterShrink")
}

func TestLimitGrowsFastUntilCapacityIsKnown(t *testing.T) {
	w := window.New(adaptive())
	now := time.Unix(100, 0)
	grow := func(seconds int) int {
		before := w.Limit()
		for range seconds {
			for w.Running() < w.Limit() {
				w.Begin(window.Need{})
			}
			now = now.Add(time.Second)
			w.RecordDemand(now)
		}
		return w.Limit() - before
	}
	require.GreaterOrEqual(t, grow(3), 32)
	w.RecordLoadReport(32, 16)
	w.RecordLateFirstToken(32, now)
	require.LessOrEqual(t, grow(6), 6)
}
