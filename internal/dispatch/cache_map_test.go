package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/backend"
	"ibisline/internal/structs"
)

// A release that another daemon ordered looks like an eviction. Taken for one, it
// made daemons believe that engines with free memory evict within seconds.
func TestReleaseElsewhereTellsNoCacheAge(t *testing.T) {
	c := newCacheMap()
	start := time.Unix(0, 0)
	later := start.Add(5 * time.Second)
	gone := backend.KVEvents{Events: []backend.KVEvent{{Program: "p", Kind: backend.KVEvicted}}}

	c.stored("p", 100, start)
	c.apply(gone, later, false)
	require.Zero(t, c.meanAge())
	require.Empty(t, c.programs.items)

	c.stored("p", 100, start)
	c.apply(gone, later, true)
	require.Equal(t, 5*time.Second, c.meanAge())
}

func TestCacheMapFollowsStreamsAndLateEvents(t *testing.T) {
	c := newCacheMap()
	now := time.Unix(1_000, 0)
	request := &structs.GenerateRequest{Program: "p", PromptTokens: 1_000}
	evicted := backend.KVEvents{Events: []backend.KVEvent{{Program: "p", Kind: backend.KVEvicted}}}

	require.Equal(t, 1_000, c.uncached(request, "e"))
	c.stored("p", 900, now)
	require.Equal(t, 100, c.uncached(request, "e"))
	c.apply(evicted, now.Add(time.Second), true)
	require.Equal(t, 100, c.uncached(request, "e"), "the event is older than the use")
	c.apply(evicted, now.Add(time.Minute), true)
	require.Equal(t, 1_000, c.uncached(request, "e"))
	require.Equal(t, time.Minute, c.meanAge())
	request.LastEngine = "e"
	require.Equal(t, 1_000, c.uncached(request, "e"), "evicted is known, not guessed")
}

func TestDispatcherThatTookAnEngineOverGuessesItsCache(t *testing.T) {
	request := &structs.GenerateRequest{Program: "p", PromptTokens: 1_000, LastEngine: "e"}
	require.Equal(t, 200, newCacheMap().uncached(request, "e"))
	require.Equal(t, 1_000, newCacheMap().uncached(request, "other"))
}

func TestLossOfMemoryIsSeenFromTheListing(t *testing.T) {
	c := newCacheMap()
	require.False(t, c.lost(nil), "nothing is believed")
	c.stored("p", 10, time.Now())
	require.False(t, c.lost(map[string]int{"p": 10}))
	require.True(t, c.lost(map[string]int{"new": 10}))
}

func TestImportLargerThanTheExpectedPromptLeavesNothingToCompute(t *testing.T) {
	e := &engine{name: "e2", cache: newCacheMap()}
	request := &structs.GenerateRequest{PromptTokens: 900, Source: structs.KVSource{Tokens: 1000}}
	require.Zero(t, e.uncachedAfterImport(request))
}
