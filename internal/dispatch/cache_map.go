package dispatch

import (
	"sync"
	"time"

	"ibisline/internal/backend"
	"ibisline/internal/structs"
)

const (
	// guessedCached is the part of a prompt that is taken to be cached at the
	// program's last engine when nothing more is known.
	guessedCached = 0.8
	// maxCachedPrograms bounds the programs that a cache map remembers.
	maxCachedPrograms = 5_000
	// cacheAgeWeight is the weight of one eviction in the mean age.
	cacheAgeWeight = 0.2
	// eventLag is how late a cache event may be. A prefix that was used since is
	// taken to have been stored again after the eviction.
	eventLag = 2 * time.Second
)

// cacheMap is what is believed of one engine's prefix cache: from the streams
// seen here at once, and from the engine's cache events late and with gaps.
type cacheMap struct {
	mu       sync.Mutex
	programs *recentMap[cachedPrefix]
	// age is the mean time from the last use of a prefix to its eviction.
	age  time.Duration
	next int64
}

// cachedPrefix is the part of a program's history that an engine holds; 0 tokens
// after it was evicted.
type cachedPrefix struct {
	tokens int
	used   time.Time
}

func newCacheMap() *cacheMap {
	return &cacheMap{programs: newRecentMap[cachedPrefix](maxCachedPrograms)}
}

// uncached estimates the part of a prompt that the engine has to compute. A
// dispatcher that took the engine over knows only that the program ran there.
func (c *cacheMap) uncached(request *structs.GenerateRequest, engine string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	prefix, known := c.programs.get(request.Program)
	if !known && request.LastEngine == engine {
		return guessUncached(request.PromptTokens)
	}
	return max(request.PromptTokens-prefix.tokens, 0)
}

func guessUncached(promptTokens int) int {
	return promptTokens - int(guessedCached*float64(promptTokens))
}

// stored records the prefix that a finished request left behind.
func (c *cacheMap) stored(program string, tokens int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.programs.set(program, cachedPrefix{tokens: tokens, used: now})
}

// usedWithin reports whether a request of the program finished lately.
func (c *cacheMap) usedWithin(program string, within time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	prefix, ok := c.programs.get(program)
	return ok && time.Since(prefix.used) < within
}

// remove forgets a program whose memory was released.
func (c *cacheMap) remove(program string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.programs.remove(program)
}

// clear forgets everything, after the engine lost its memory.
func (c *cacheMap) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.programs.clear()
	c.next = 0
}

// lost reports whether the engine holds none of the programs that it should.
func (c *cacheMap) lost(held map[string]int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	believed := 0
	for program, element := range c.programs.items {
		if element.Value.(recentItem[cachedPrefix]).value.tokens == 0 {
			continue
		}
		if _, ok := held[program]; ok {
			return false
		}
		believed++
	}
	return believed > 0
}

// position is the number of the event to ask for next.
func (c *cacheMap) position() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.next
}

// apply takes over cache events. Only evictions of an engine that is short of
// memory tell an age: others are releases that another daemon ordered.
func (c *cacheMap) apply(events backend.KVEvents, now time.Time, short bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next = events.Next
	for _, event := range events.Events {
		prefix, ok := c.programs.get(event.Program)
		if !ok || event.Kind != backend.KVEvicted || now.Sub(prefix.used) < eventLag {
			continue
		}
		c.dropped(event.Program, prefix, now, short)
	}
}

// dropped records a prefix that the engine no longer holds. An evicted one is
// remembered as empty, so that it is not guessed to be there. The caller holds
// mu.
func (c *cacheMap) dropped(program string, prefix cachedPrefix, now time.Time, short bool) {
	if !short {
		c.programs.remove(program)
		return
	}
	if prefix.tokens > 0 {
		c.observeAge(now.Sub(prefix.used))
	}
	c.programs.set(program, cachedPrefix{used: prefix.used})
}

// observeAge records the age of an evicted prefix. The caller holds mu.
func (c *cacheMap) observeAge(age time.Duration) {
	if c.age == 0 {
		c.age = age
		return
	}
	c.age += time.Duration(cacheAgeWeight * float64(age-c.age))
}

// meanAge is the age at which prefixes are evicted, 0 when none was seen.
func (c *cacheMap) meanAge() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.age
}
