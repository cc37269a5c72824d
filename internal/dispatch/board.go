package dispatch

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// statusBoard holds the last known state of engines, from replies and pulls. It
// is safe for concurrent use.
type statusBoard struct {
	mu     sync.Mutex
	status map[string]*boardEntry
}

// boardEntry is a status with the time at which it was heard. What this daemon
// sent to the engine since then is added to it. An entry is never modified but
// replaced, so that readers need no copy.
type boardEntry struct {
	EngineStatus
	heard time.Time
}

func newStatusBoard() *statusBoard {
	return &statusBoard{status: map[string]*boardEntry{}}
}

func (b *statusBoard) put(status EngineStatus, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.status[status.Engine] = &boardEntry{EngineStatus: status, heard: now}
}

// sent adds a request that was sent to the engine, so that the requests that
// follow before its next status do not all go the same way.
func (b *statusBoard) sent(engine string, uncached int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	entry := boardEntry{EngineStatus: EngineStatus{Engine: engine}}
	if known := b.status[engine]; known != nil {
		entry = *known
	}
	entry.Waiting++
	entry.Prefilling += uncached
	b.status[engine] = &entry
}

// unheard is the entry of an engine of which nothing was heard.
var unheard = &boardEntry{}

func (b *statusBoard) get(name string) *boardEntry {
	b.mu.Lock()
	defer b.mu.Unlock()
	if entry := b.status[name]; entry != nil {
		return entry
	}
	return unheard
}

// all returns the known states, sorted by engine.
func (b *statusBoard) all() []EngineStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make([]EngineStatus, 0, len(b.status))
	for _, entry := range b.status {
		all = append(all, entry.EngineStatus)
	}
	slices.SortFunc(all, func(x, y EngineStatus) int { return strings.Compare(x.Engine, y.Engine) })
	return all
}

// keep drops the engines that are no longer listed.
func (b *statusBoard) keep(listed func(engine string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for engine := range b.status {
		if !listed(engine) {
			delete(b.status, engine)
		}
	}
}
