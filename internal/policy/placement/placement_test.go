package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/policy/placement"
)

const ms = time.Millisecond

func engine(change func(e *placement.Engine)) placement.Engine {
	e := placement.Engine{
		Window: 16, TokenGap: 25 * ms, PrefillRate: 8000, ServiceTime: 2 * time.Second, KVFreeTokens: 100_000,
	}
	if change != nil {
		change(&e)
	}
	return e
}

func choose(request placement.Request, engines ...placement.Engine) int {
	return placement.Choose(request, engines, func(i int) uint64 { return uint64(i) })
}

var long = placement.Request{PromptTokens: 16_000, OutputTokens: 100}

func TestCachedEngineIsPreferredWhileCacheSavesTime(t *testing.T) {
	other := engine(nil)
	cached := engine(func(e *placement.Engine) { e.CachedTokens, e.Running = 15_000, 14 })
	require.Equal(t, 1, choose(long, other, cached))
	cached.Running, cached.Waiting = 16, 40
	require.Equal(t, 0, choose(long, other, cached))
	cached = engine(func(e *placement.Engine) { e.CachedTokens, e.TokenGap = 15_000, 100*ms })
	require.Equal(t, 0, choose(long, other, cached))
}

// importing returns an engine that can import 15,000 tokens at the given rate.
func importing(rate float64, change func(e *placement.Engine)) placement.Engine {
	e := engine(change)
	e.Transfer = placement.Transfer{Tokens: 15_000, Rate: rate}
	return e
}

func TestTransferIsChosenWhereItIsCheaper(t *testing.T) {
	recompute := placement.Estimate(long, engine(nil))
	quick := importing(60_000, nil)
	require.True(t, placement.PrefersTransfer(long, quick))
	saved := recompute - placement.Estimate(long, quick)
	require.InDelta(t, 1.875-0.25-0.05, saved.Seconds(), 0.001)

	slow := importing(8_000, nil)
	require.False(t, placement.PrefersTransfer(long, slow))
	require.Equal(t, recompute, placement.Estimate(long, slow))
	slow.Running = 1
	require.True(t, placement.PrefersTransfer(long, slow), "a prefill would delay the running stream")

	held := importing(60_000, func(e *placement.Engine) { e.CachedTokens = 15_000 })
	require.False(t, placement.PrefersTransfer(long, held))
	require.False(t, placement.PrefersTransfer(long, importing(60_000, func(e *placement.Engine) { e.OtherRegion = true })))
	require.True(t, placement.PrefersTransfer(long, importing(0, nil)), "the default rate applies")
}

func TestTransferMovesProgramFromFullEngine(t *testing.T) {
	full := engine(func(e *placement.Engine) { e.CachedTokens, e.Running, e.Waiting = 16_000, 16, 6 })
	require.Equal(t, 0, choose(long, full, engine(nil)))
	require.Equal(t, 1, choose(long, full, importing(60_000, nil)))
}

func TestTransferTimeoutIsTheSavedPrefillTime(t *testing.T) {
	require.Equal(t, 1875*ms, placement.TransferTimeout(importing(60_000, nil)))
}

func TestShortPromptIsNotBoundToItsCache(t *testing.T) {
	short := placement.Request{PromptTokens: 200, OutputTokens: 50}
	full := engine(func(e *placement.Engine) { e.CachedTokens, e.Running = 200, 16 })
	require.Equal(t, 1, choose(short, full, engine(nil)))
}

func TestSlowAndRemoteEnginesComeLast(t *testing.T) {
	slow := engine(func(e *placement.Engine) { e.TokenGap = 100 * ms })
	far := engine(func(e *placement.Engine) { e.OtherRegion = true })
	require.Equal(t, 2, choose(long, slow, far, engine(nil)))
	require.Equal(t, 1, choose(long, slow, far))
}

func TestPromptsAheadAndEvictionsAreCharged(t *testing.T) {
	busy := engine(func(e *placement.Engine) { e.PrefillTokens = 8000 })
	require.Equal(t, 1, choose(long, busy, engine(nil)))
	full := engine(func(e *placement.Engine) { e.KVFreeTokens = 0 })
	require.Equal(t, 1, choose(long, full, engine(nil)))
}

func TestLoadBreaksTiesOfNearlyEqualEngines(t *testing.T) {
	loaded := engine(func(e *placement.Engine) { e.Running = 9 })
	slower := engine(func(e *placement.Engine) { e.PrefillRate = 7999 })
	require.Equal(t, 1, choose(long, loaded, slower))
}

func TestDelayOfOtherStreamsIsCharged(t *testing.T) {
	request := placement.Request{PromptTokens: 4_000, OutputTokens: 100}
	cached := engine(func(e *placement.Engine) { e.CachedTokens, e.Running, e.TokenGap = 4_000, 10, 35*ms })
	other := engine(func(e *placement.Engine) { e.Running = 10 })
	require.Equal(t, 0, choose(request, cached, other))
	idle := engine(nil)
	require.Equal(t, 1, choose(request, cached, idle))
}
