package engine

import "ibisline/internal/structs"

// cachedMessage is one message of a program in the KV cache.
type cachedMessage struct {
	message structs.Message
	tokens  int
}

// programCache is the KV cache of one program.
type programCache struct {
	messages []cachedMessage
	tokens   int
	// activeSequences is the number of sequences that read the cache. The cache
	// is evicted only while it is 0.
	activeSequences int
	// lastUse is the useCounter of the last use; it orders idle caches for eviction.
	lastUse int64
	// releaseWhenIdle drops the cache when its last sequence ends.
	releaseWhenIdle bool
}

// cache is the engine's KV memory. It is not safe for concurrent use.
type cache struct {
	capacity int
	// reserved is the memory of running sequences beyond their cached prefixes,
	// in tokens.
	reserved   int
	useCounter int64
	programs   map[string]*programCache
	onEvict    func(program string, tokens int)
	evictions  int
}

func newCache(capacity int, evicted func(string, int)) *cache {
	return &cache{capacity: capacity, programs: map[string]*programCache{}, onEvict: evicted}
}

// usedTokens returns the memory in use, in tokens.
func (c *cache) usedTokens() int {
	total := c.reserved
	for _, p := range c.programs {
		total += p.tokens
	}
	return total
}

// match returns the number of tokens in the longest cached prefix of the prompt.
func (c *cache) match(program string, prompt []structs.Message) int {
	p, ok := c.programs[program]
	if !ok {
		return 0
	}
	tokens := 0
	for i, m := range p.messages {
		if i >= len(prompt) || m.message != prompt[i] {
			break
		}
		tokens += m.tokens
	}
	return tokens
}

// admit reserves memory for a sequence and pins the program's prefix. It evicts
// idle programs, the least recently used first, and returns false when there is
// still too little memory.
func (c *cache) admit(program string, prompt []structs.Message, tokens int) (cached, reserved int, ok bool) {
	cached = c.match(program, prompt)
	reserved = tokens - cached
	if !c.evictUntilFree(reserved, program) {
		return 0, 0, false
	}
	p := c.programs[program]
	if p == nil {
		p = &programCache{}
		c.programs[program] = p
	}
	p.activeSequences++
	c.reserved += reserved
	return cached, reserved, true
}

// evictUntilFree evicts idle programs other than except until need tokens are
// free. It returns false when no program is left to evict.
func (c *cache) evictUntilFree(need int, except string) bool {
	for c.usedTokens()+need > c.capacity {
		victim := c.leastRecentlyUsedIdle(except)
		if victim == "" {
			return false
		}
		c.evictions++
		c.drop(victim)
	}
	return true
}

// leastRecentlyUsedIdle returns the least recently used program without a
// sequence, other than except, or "" when there is none.
func (c *cache) leastRecentlyUsedIdle(except string) string {
	victim := ""
	for program, p := range c.programs {
		if program == except || p.activeSequences > 0 {
			continue
		}
		if victim == "" || p.lastUse < c.programs[victim].lastUse {
			victim = program
		}
	}
	return victim
}

// drop removes a program's cache and reports the eviction.
func (c *cache) drop(program string) {
	tokens := c.programs[program].tokens
	delete(c.programs, program)
	c.onEvict(program, tokens)
}

// finish ends a sequence and stores the given messages as the program's cache;
// nil leaves the cache unchanged.
func (c *cache) finish(program string, reserved int, messages []structs.Message) {
	c.reserved -= reserved
	p, ok := c.programs[program]
	if !ok {
		return
	}
	p.activeSequences--
	if messages != nil {
		p.replaceMessages(messages)
	}
	c.useCounter++
	p.lastUse = c.useCounter
	if p.activeSequences == 0 && (p.releaseWhenIdle || p.tokens == 0) {
		c.drop(program)
	}
}

// replaceMessages replaces the cached messages.
func (p *programCache) replaceMessages(messages []structs.Message) {
	p.messages = p.messages[:0]
	p.tokens = 0
	for _, message := range messages {
		tokens := CountTokens(message.Content)
		p.messages = append(p.messages, cachedMessage{message: message, tokens: tokens})
		p.tokens += tokens
	}
}

// release drops a program's cache, now or when its last sequence ends, and
// returns its size in tokens. ok is false when the program has no cache.
func (c *cache) release(program string) (tokens int, ok bool) {
	p, ok := c.programs[program]
	if !ok {
		return 0, false
	}
	tokens = p.tokens
	if p.activeSequences > 0 {
		p.releaseWhenIdle = true
		return tokens, true
	}
	c.drop(program)
	return tokens, true
}

// finishImport is finish for an import, except that it does not replace a cache
// that is at least as long.
func (c *cache) finishImport(program string, reserved int, messages []structs.Message) {
	if p := c.programs[program]; p != nil && p.tokens >= PromptTokens(messages) {
		messages = nil
	}
	c.finish(program, reserved, messages)
}

// export returns a copy of a program's cached messages. The exported cache is
// the first to be evicted, because the program now runs on another engine.
func (c *cache) export(program string) []structs.Message {
	p, ok := c.programs[program]
	if !ok {
		return nil
	}
	p.lastUse = 0
	var found []structs.Message
	for _, m := range p.messages {
		found = append(found, m.message)
	}
	return found
}

// tokensByProgram returns the size of each program's cache in tokens.
func (c *cache) tokensByProgram() map[string]int {
	list := make(map[string]int, len(c.programs))
	for program, p := range c.programs {
		list[program] = p.tokens
	}
	return list
}
