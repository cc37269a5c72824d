package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/backend"
	"ibisline/internal/structs"
)

// A release requested by another daemon is reported as an eviction event. When
// such events counted towards the eviction age, daemons assumed that engines with
// free memory evict prefixes within seconds.
func TestReleaseByAnotherDaemonIsNotCountedAsEviction(t *testing.T) {
	c := newCacheMap()
	start := time.Unix(0, 0)
	later := start.Add(5 * time.Second)
	evicted := backend.KVEvents{Events: []backend.KVEvent{{Program: "p", Kind: backend.KVEvicted}}}

	c.recordStored("p", 100, start)
	c.apply(evicted, later, false)
	require.Zero(t, c.meanEvictionAge())
	require.Empty(t, c.programs.items)

	c.recordStored("p", 100, start)
	c.apply(evicted, later, true)
	require.Equal(t, 5*time.Second, c.meanEvictionAge())
}

func TestCacheMapFollowsStreamsAndLateEvents(t *testing.T) {
	c := newCacheMap()
	now := time.Unix(1_000, 0)
	request := &structs.GenerateRequest{Program: "p", PromptTokens: 1_000}
	evicted := backend.KVEvents{Events: []backend.KVEvent{{Program: "p", Kind: backend.KVEvicted}}}

	require.Equal(t, 1_000, c.uncached(request, "e"))
	c.recordStored("p", 900, now)
	require.Equal(t, 100, c.uncached(request, "e"))
	c.apply(evicted, now.Add(time.Second), true)
	require.Equal(t, 100, c.uncached(request, "e"), "an event within the delay after the last use is ignored")
	c.apply(evicted, now.Add(time.Minute), true)
	require.Equal(t, 1_000, c.uncached(request, "e"))
	require.Equal(t, time.Minute, c.meanEvictionAge())
	request.LastEngine = "e"
	require.Equal(t, 1_000, c.uncached(request, "e"), "nothing is assumed to be cached after an eviction")
}

func TestCacheEstimateAfterEngineTakeover(t *testing.T) {
	request := &structs.GenerateRequest{Program: "p", PromptTokens: 1_000, LastEngine: "e"}
	require.Equal(t, 200, newCacheMap().uncached(request, "e"))
	require.Equal(t, 1_000, newCacheMap().uncached(request, "other"))
}

func TestEngineMemoryLossDetectedFromKVListing(t *testing.T) {
	c := newCacheMap()
	require.False(t, c.memoryLost(nil), "an empty map expects nothing")
	c.recordStored("p", 10, time.Now())
	require.False(t, c.memoryLost(map[string]int{"p": 10}))
	require.True(t, c.memoryLost(map[string]int{"new": 10}))
}

func TestImportLargerThanExpectedPrompt(t *testing.T) {
	e := &engine{name: "e2", cache: newCacheMap()}
	request := &structs.GenerateRequest{PromptTokens: 900, Source: structs.KVSource{Tokens: 1000}}
	require.Zero(t, e.uncachedAfterImport(request))
}
