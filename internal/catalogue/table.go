package catalogue

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"ibisline/internal/structs"
)

// maxRecent is the number of latest changes kept for peers.
const maxRecent = 1024

// change is a new state of one entry. Entry is nil when the entry was deleted.
type change struct {
	Name    string         `msgpack:"n"`
	Version int64          `msgpack:"v"`
	Entry   *structs.Entry `msgpack:"e,omitempty"`
}

// batch holds all changes of the catalogue after revision After and up to
// revision Revision; it may hold newer ones too. A batch that is not Complete
// may lack changes.
type batch struct {
	After    int64    `msgpack:"a"`
	Revision int64    `msgpack:"r"`
	Complete bool     `msgpack:"c"`
	Changes  []change `msgpack:"g,omitempty"`
}

// table holds the entries and the rules by which a newer state replaces an older
// one. It is safe for concurrent use; stored entries are never modified.
//
// The revision is a promise: every edit up to it is applied. So a change up to
// the revision that the table does not hold was superseded, and is refused. A
// deletion has to be remembered only while its version is beyond the revision.
type table struct {
	mu       sync.RWMutex
	loaded   bool
	revision int64
	// generation counts the changes of the entries.
	generation int64
	entries    map[string]*structs.Entry
	// gone holds the versions of deletions beyond the revision.
	gone map[string]int64
	// recent holds all changes after floor, by rising version.
	recent []change
	floor  int64
}

func newTable() *table {
	return &table{
		entries: map[string]*structs.Entry{},
		gone:    map[string]int64{},
	}
}

// apply takes the changes that are newer than what is held and returns them. The
// revision rises when the batch leaves no gap after it.
func (t *table) apply(b batch) []change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var accepted []change
	for _, c := range b.Changes {
		if t.accept(c) {
			t.remember(c)
			accepted = append(accepted, c)
		}
	}
	if b.Complete && t.loaded && b.After <= t.revision {
		t.raise(b.Revision)
	}
	return accepted
}

// replace takes a listing of the whole catalogue as of a revision. Names in keep
// were listed with a malformed value: what is held of them stays. A listing older
// than the revision is ignored. It returns the changes that were taken; the exact
// version of a deletion is not known from a listing, so its revision stands for it.
func (t *table) replace(revision int64, listed []*structs.Entry, keep map[string]bool) []change {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.loaded && revision < t.revision {
		return nil
	}
	var accepted []change
	present := make(map[string]bool, len(listed))
	for _, entry := range listed {
		present[entry.Name] = true
		c := change{Name: entry.Name, Version: entry.Version, Entry: entry}
		if t.accept(c) {
			accepted = append(accepted, c)
		}
	}
	for name, held := range t.entries {
		if present[name] || keep[name] || held.Version > revision {
			continue
		}
		c := change{Name: name, Version: revision}
		t.set(c)
		accepted = append(accepted, c)
	}
	if t.loaded {
		t.rememberAll(accepted)
	} else {
		t.loaded = true
		t.forgetRecent(revision)
	}
	t.raise(revision)
	return accepted
}

// accept takes one change if it is newer than what is held.
func (t *table) accept(c change) bool {
	if t.loaded && c.Version <= t.revision {
		return false
	}
	if c.Version <= t.held(c.Name) {
		return false
	}
	t.set(c)
	return true
}

// held returns the newest version known of a name, deletions included.
func (t *table) held(name string) int64 {
	version := t.gone[name]
	if entry, ok := t.entries[name]; ok {
		version = max(version, entry.Version)
	}
	return version
}

// set stores one change.
func (t *table) set(c change) {
	t.generation++
	if c.Entry != nil {
		delete(t.gone, c.Name)
		t.entries[c.Name] = c.Entry
		return
	}
	delete(t.entries, c.Name)
	t.gone[c.Name] = c.Version
}

// remember adds a change to the recent ones, in the order of versions.
func (t *table) remember(c change) {
	if c.Version <= t.floor {
		return
	}
	at, _ := slices.BinarySearchFunc(t.recent, c.Version, func(held change, version int64) int {
		return int(held.Version - version)
	})
	t.recent = slices.Insert(t.recent, at, c)
	if len(t.recent) > maxRecent {
		t.forgetRecent(t.recent[len(t.recent)-maxRecent-1].Version)
	}
}

// rememberAll adds many changes to the recent ones.
func (t *table) rememberAll(changes []change) {
	for _, c := range changes {
		t.remember(c)
	}
}

// forgetRecent drops the recent changes up to floor.
func (t *table) forgetRecent(floor int64) {
	t.floor = max(t.floor, floor)
	t.recent = slices.DeleteFunc(t.recent, func(c change) bool { return c.Version <= t.floor })
}

// raise moves the revision forward and drops deletions that it covers.
func (t *table) raise(revision int64) {
	t.revision = max(t.revision, revision)
	for name, version := range t.gone {
		if version <= t.revision {
			delete(t.gone, name)
		}
	}
}

// since returns the changes after a revision. The batch is not complete when the
// table no longer keeps all of them.
func (t *table) since(after int64) batch {
	t.mu.RLock()
	defer t.mu.RUnlock()
	b := batch{After: after, Revision: t.revision, Complete: t.loaded && after >= t.floor}
	for _, c := range slices.Backward(t.recent) {
		if c.Version <= after {
			break
		}
		b.Changes = append(b.Changes, c)
	}
	slices.Reverse(b.Changes)
	return b
}

// snapshot returns all entries, sorted by name, and the revision. ok is false
// before the first listing.
func (t *table) snapshot() (entries []*structs.Entry, revision int64, ok bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	entries = make([]*structs.Entry, 0, len(t.entries))
	for _, entry := range t.entries {
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b *structs.Entry) int { return strings.Compare(a.Name, b.Name) })
	return entries, t.revision, t.loaded
}

// entry returns one entry.
func (t *table) entry(name string) (structs.Entry, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	entry, ok := t.entries[name]
	if !ok {
		return structs.Entry{}, false
	}
	return *entry, true
}

// position returns the revision, and false before the first listing.
func (t *table) position() (int64, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.revision, t.loaded
}

// changes returns the number of changes of the entries so far.
func (t *table) changes() int64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.generation
}

// size returns the number of entries.
func (t *table) size() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.entries)
}

// unconfirmed returns the deletions beyond the revision.
func (t *table) unconfirmed() map[string]int64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return maps.Clone(t.gone)
}
