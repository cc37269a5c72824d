package dispatch

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// statusCache holds the last known status of each engine, from replies to
// requests and from periodic status requests. It is safe for concurrent use.
type statusCache struct {
	mu      sync.Mutex
	entries map[string]*statusEntry
}

// statusEntry is a status and the time at which it was received. It also counts
// the requests that this daemon has sent to the engine since then. Entries are
// immutable: an update replaces the entry, so that readers need no copy.
type statusEntry struct {
	EngineStatus
	receivedAt time.Time
}

func newStatusCache() *statusCache {
	return &statusCache{entries: map[string]*statusEntry{}}
}

func (c *statusCache) put(status EngineStatus, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries[status.Engine] = &statusEntry{EngineStatus: status, receivedAt: now}
}

// addSentRequest adds a sent request to the engine's status, so that requests
// placed before the next status arrives are not all sent to the same engine.
func (c *statusCache) addSentRequest(engine string, uncached int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry := statusEntry{EngineStatus: EngineStatus{Engine: engine}}
	if known := c.entries[engine]; known != nil {
		entry = *known
	}
	entry.Waiting++
	entry.Prefilling += uncached
	c.entries[engine] = &entry
}

// unknownStatus is the entry of an engine whose status was never received.
var unknownStatus = &statusEntry{}

func (c *statusCache) get(name string) *statusEntry {
	c.mu.Lock()
	defer c.mu.Unlock()
	if entry := c.entries[name]; entry != nil {
		return entry
	}
	return unknownStatus
}

// all returns the known statuses, sorted by engine.
func (c *statusCache) all() []EngineStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]EngineStatus, 0, len(c.entries))
	for _, entry := range c.entries {
		all = append(all, entry.EngineStatus)
	}
	slices.SortFunc(all, func(x, y EngineStatus) int { return strings.Compare(x.Engine, y.Engine) })
	return all
}

// retain removes the engines for which listed returns false.
func (c *statusCache) retain(listed func(engine string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for engine := range c.entries {
		if !listed(engine) {
			delete(c.entries, engine)
		}
	}
}
