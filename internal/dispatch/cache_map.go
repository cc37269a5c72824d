package dispatch

import (
	"sync"
	"time"

	"ibisline/internal/backend"
	"ibisline/internal/structs"
)

const (
	// assumedCachedFraction is the fraction of a prompt assumed to be cached at
	// the program's last engine when no token count is known.
	assumedCachedFraction = 0.8
	// maxCachedPrograms is the maximum number of programs in a cacheMap.
	maxCachedPrograms = 5_000
	// evictionAgeWeight is the weight of one eviction in the moving mean of the
	// eviction age.
	evictionAgeWeight = 0.2
	// maxCacheEventDelay is the longest assumed delay of a cache event. A prefix
	// used more recently than this is assumed to have been stored again after
	// the eviction.
	maxCacheEventDelay = 2 * time.Second
)

// cacheMap estimates the content of one engine's prefix cache. Requests finished
// here update it immediately; the engine's cache events arrive late and with
// gaps.
type cacheMap struct {
	mu       sync.Mutex
	programs *recentMap[cachedPrefix]
	// evictionAge is the moving mean time from the last use of a prefix to its
	// eviction.
	evictionAge time.Duration
	nextEvent   int64
}

// cachedPrefix is the part of a program's history that an engine has cached.
// tokens is 0 after an eviction.
type cachedPrefix struct {
	tokens   int
	lastUsed time.Time
}

func newCacheMap() *cacheMap {
	return &cacheMap{programs: newRecentMap[cachedPrefix](maxCachedPrograms)}
}

// uncached estimates the number of prompt tokens that the engine has to compute.
// A dispatcher that has just taken over the engine has no token counts; it knows
// from the request only that the program last ran there.
func (c *cacheMap) uncached(request *structs.GenerateRequest, engine string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	prefix, known := c.programs.get(request.Program)
	if !known && request.LastEngine == engine {
		return assumeUncached(request.PromptTokens)
	}
	return max(request.PromptTokens-prefix.tokens, 0)
}

func assumeUncached(promptTokens int) int {
	return promptTokens - int(assumedCachedFraction*float64(promptTokens))
}

// recordStored records the prefix that a finished request or an import left in
// the cache.
func (c *cacheMap) recordStored(program string, tokens int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.programs.set(program, cachedPrefix{tokens: tokens, lastUsed: now})
}

// usedWithin reports whether the program's prefix was used within the given time.
func (c *cacheMap) usedWithin(program string, within time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	prefix, ok := c.programs.get(program)
	return ok && time.Since(prefix.lastUsed) < within
}

// remove deletes a program whose KV memory was released.
func (c *cacheMap) remove(program string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.programs.remove(program)
}

// clear resets the map after the engine has lost its memory.
func (c *cacheMap) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.programs.clear()
	c.nextEvent = 0
}

// memoryLost reports whether the engine holds none of the programs that this map
// expects in its cache. held is the engine's own listing. An empty map proves
// nothing.
func (c *cacheMap) memoryLost(held map[string]int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	expected := 0
	for program, element := range c.programs.items {
		if element.Value.(recentItem[cachedPrefix]).value.tokens == 0 {
			continue
		}
		if _, ok := held[program]; ok {
			return false
		}
		expected++
	}
	return expected > 0
}

// nextEventNumber is the sequence number from which to read cache events next.
func (c *cacheMap) nextEventNumber() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nextEvent
}

// apply processes cache events. Evictions count towards the eviction age only if
// the engine is short of memory; otherwise they are releases requested by another
// daemon.
func (c *cacheMap) apply(events backend.KVEvents, now time.Time, memoryShort bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextEvent = events.Next
	for _, event := range events.Events {
		prefix, ok := c.programs.get(event.Program)
		if !ok || event.Kind != backend.KVEvicted || now.Sub(prefix.lastUsed) < maxCacheEventDelay {
			continue
		}
		c.recordDropped(event.Program, prefix, now, memoryShort)
	}
}

// recordDropped records a prefix that the engine no longer holds. An evicted
// prefix is kept with 0 tokens, so that uncached does not assume that it is
// still cached. The caller must hold mu.
func (c *cacheMap) recordDropped(program string, prefix cachedPrefix, now time.Time, memoryShort bool) {
	if !memoryShort {
		c.programs.remove(program)
		return
	}
	if prefix.tokens > 0 {
		c.observeEvictionAge(now.Sub(prefix.lastUsed))
	}
	c.programs.set(program, cachedPrefix{lastUsed: prefix.lastUsed})
}

// observeEvictionAge adds the age of an evicted prefix to the mean. The caller
// must hold mu.
func (c *cacheMap) observeEvictionAge(age time.Duration) {
	if c.evictionAge == 0 {
		c.evictionAge = age
		return
	}
	c.evictionAge += time.Duration(evictionAgeWeight * float64(age-c.evictionAge))
}

// meanEvictionAge is the mean age at which prefixes are evicted, or 0 before the
// first eviction.
func (c *cacheMap) meanEvictionAge() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evictionAge
}
