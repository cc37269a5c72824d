package engine

import "ibisline/internal/structs"

// block is one cached message of a program.
type block struct {
	message structs.Message
	tokens  int
}

// held is the KV cache of one program.
type held struct {
	blocks []block
	tokens int
	// users is the number of sequences that read the cache; it is evicted only
	// at 0.
	users int
	// used orders idle caches for eviction.
	used int64
	// doomed drops the cache when its last user ends.
	doomed bool
}

// cache is the engine's KV memory. It is not safe for concurrent use.
type cache struct {
	capacity int
	// reserved is the memory of running sequences beyond the held prefixes.
	reserved  int
	tick      int64
	programs  map[string]*held
	evicted   func(program string, tokens int)
	evictions int
}

func newCache(capacity int, evicted func(string, int)) *cache {
	return &cache{capacity: capacity, programs: map[string]*held{}, evicted: evicted}
}

// usedTokens returns the memory in use.
func (c *cache) usedTokens() int {
	total := c.reserved
	for _, h := range c.programs {
		total += h.tokens
	}
	return total
}

// match returns the tokens of the prompt's longest prefix that is held.
func (c *cache) match(program string, prompt []structs.Message) int {
	h, ok := c.programs[program]
	if !ok {
		return 0
	}
	tokens := 0
	for i, b := range h.blocks {
		if i >= len(prompt) || b.message != prompt[i] {
			break
		}
		tokens += b.tokens
	}
	return tokens
}

// admit reserves memory for a sequence and pins the program's prefix. It evicts
// idle programs, the least recently used first, and returns false when memory
// is still short.
func (c *cache) admit(program string, prompt []structs.Message, tokens int) (cached, reserved int, ok bool) {
	cached = c.match(program, prompt)
	reserved = tokens - cached
	if !c.makeRoom(reserved, program) {
		return 0, 0, false
	}
	h := c.programs[program]
	if h == nil {
		h = &held{}
		c.programs[program] = h
	}
	h.users++
	c.reserved += reserved
	return cached, reserved, true
}

// makeRoom evicts until need tokens are free. It spares the cache of keep.
func (c *cache) makeRoom(need int, keep string) bool {
	for c.usedTokens()+need > c.capacity {
		victim := c.oldestIdle(keep)
		if victim == "" {
			return false
		}
		c.evictions++
		c.drop(victim)
	}
	return true
}

// oldestIdle returns the least recently used program without a sequence.
func (c *cache) oldestIdle(keep string) string {
	victim := ""
	for program, h := range c.programs {
		if program == keep || h.users > 0 {
			continue
		}
		if victim == "" || h.used < c.programs[victim].used {
			victim = program
		}
	}
	return victim
}

// drop forgets a program.
func (c *cache) drop(program string) {
	tokens := c.programs[program].tokens
	delete(c.programs, program)
	c.evicted(program, tokens)
}

// finish ends a sequence and keeps the given messages as the program's cache;
// with nil the cache stays as it was.
func (c *cache) finish(program string, reserved int, messages []structs.Message) {
	c.reserved -= reserved
	h, ok := c.programs[program]
	if !ok {
		return
	}
	h.users--
	if messages != nil {
		h.store(messages)
	}
	c.tick++
	h.used = c.tick
	if h.users == 0 && (h.doomed || h.tokens == 0) {
		c.drop(program)
	}
}

// store replaces the held messages.
func (h *held) store(messages []structs.Message) {
	h.blocks = h.blocks[:0]
	h.tokens = 0
	for _, message := range messages {
		tokens := CountTokens(message.Content)
		h.blocks = append(h.blocks, block{message: message, tokens: tokens})
		h.tokens += tokens
	}
}

// release drops a program, at once or when its last sequence ends, and returns
// the tokens that it held. ok is false when nothing is held.
func (c *cache) release(program string) (tokens int, ok bool) {
	h, ok := c.programs[program]
	if !ok {
		return 0, false
	}
	tokens = h.tokens
	if h.users > 0 {
		h.doomed = true
		return tokens, true
	}
	c.drop(program)
	return tokens, true
}

// keep ends an import like finish, but spares a cache that is longer.
func (c *cache) keep(program string, reserved int, messages []structs.Message) {
	if h := c.programs[program]; h != nil && h.tokens >= PromptTokens(messages) {
		messages = nil
	}
	c.finish(program, reserved, messages)
}

// export returns a copy of a program's held messages. The copy that stays is
// evicted before all others, because the program has moved on.
func (c *cache) export(program string) []structs.Message {
	h, ok := c.programs[program]
	if !ok {
		return nil
	}
	h.used = 0
	var found []structs.Message
	for _, b := range h.blocks {
		found = append(found, b.message)
	}
	return found
}

// listing returns the tokens held for each program.
func (c *cache) listing() map[string]int {
	list := make(map[string]int, len(c.programs))
	for program, h := range c.programs {
		list[program] = h.tokens
	}
	return list
}
