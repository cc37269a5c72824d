// Package replica holds a copy of the objects under a prefix of the platform's
// object API and the rules by which a newer state replaces an older one, whoever
// sent it: the platform itself or another daemon that has seen more of it.
package replica

import (
	"maps"
	"slices"
	"strings"
	"sync"
)

// MaxRecent is the number of latest changes that a table keeps for peers.
const MaxRecent = 1024

// Change is a new state of one object. Value is nil when the object was deleted.
type Change[V any] struct {
	Name    string `msgpack:"n"`
	Version int64  `msgpack:"v"`
	Value   *V     `msgpack:"e,omitempty"`
}

// Batch holds all changes after revision After and up to revision Revision; it
// may hold newer ones too. A batch that is not Complete may lack changes.
type Batch[V any] struct {
	After    int64       `msgpack:"a"`
	Revision int64       `msgpack:"r"`
	Complete bool        `msgpack:"c"`
	Changes  []Change[V] `msgpack:"g,omitempty"`
}

// Table holds the objects. It is safe for concurrent use; stored values are never
// modified.
//
// The revision is a promise: every change up to it is applied. So a change up to
// the revision that the table does not hold was superseded, and is refused. A
// deletion has to be remembered only while its version is beyond the revision.
type Table[V any] struct {
	mu       sync.RWMutex
	loaded   bool
	revision int64
	// generation counts the changes of the objects.
	generation int64
	objects    map[string]Change[V]
	// gone holds the versions of deletions beyond the revision.
	gone map[string]int64
	// recent holds all changes after floor, by rising version.
	recent []Change[V]
	floor  int64
}

// NewTable returns an empty table that is not loaded.
func NewTable[V any]() *Table[V] {
	return &Table[V]{
		objects: map[string]Change[V]{},
		gone:    map[string]int64{},
	}
}

// Apply takes the changes that are newer than what is held and returns them. The
// revision rises when the batch leaves no gap after it.
func (t *Table[V]) Apply(b Batch[V]) []Change[V] {
	t.mu.Lock()
	defer t.mu.Unlock()
	var accepted []Change[V]
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

// Replace takes a listing of all objects as of a revision. Names in keep were
// listed with a malformed value: what is held of them stays. A listing older than
// the revision is ignored. It returns the changes that were taken; the exact
// version of a deletion is not known from a listing, so its revision stands for it.
func (t *Table[V]) Replace(revision int64, listed []Change[V], keep map[string]bool) []Change[V] {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.loaded && revision < t.revision {
		return nil
	}
	var accepted []Change[V]
	present := make(map[string]bool, len(listed))
	for _, c := range listed {
		present[c.Name] = true
		if t.accept(c) {
			accepted = append(accepted, c)
		}
	}
	for name, held := range t.objects {
		if present[name] || keep[name] || held.Version > revision {
			continue
		}
		c := Change[V]{Name: name, Version: revision}
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
func (t *Table[V]) accept(c Change[V]) bool {
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
func (t *Table[V]) held(name string) int64 {
	version := t.gone[name]
	if object, ok := t.objects[name]; ok {
		version = max(version, object.Version)
	}
	return version
}

// set stores one change.
func (t *Table[V]) set(c Change[V]) {
	t.generation++
	if c.Value != nil {
		delete(t.gone, c.Name)
		t.objects[c.Name] = c
		return
	}
	delete(t.objects, c.Name)
	t.gone[c.Name] = c.Version
}

// remember adds a change to the recent ones, in the order of versions.
func (t *Table[V]) remember(c Change[V]) {
	if c.Version <= t.floor {
		return
	}
	at, _ := slices.BinarySearchFunc(t.recent, c.Version, func(held Change[V], version int64) int {
		return int(held.Version - version)
	})
	t.recent = slices.Insert(t.recent, at, c)
	if len(t.recent) > MaxRecent {
		t.forgetRecent(t.recent[len(t.recent)-MaxRecent-1].Version)
	}
}

// rememberAll adds many changes to the recent ones.
func (t *Table[V]) rememberAll(changes []Change[V]) {
	for _, c := range changes {
		t.remember(c)
	}
}

// forgetRecent drops the recent changes up to floor.
func (t *Table[V]) forgetRecent(floor int64) {
	t.floor = max(t.floor, floor)
	t.recent = slices.DeleteFunc(t.recent, func(c Change[V]) bool { return c.Version <= t.floor })
}

// raise moves the revision forward and drops deletions that it covers.
func (t *Table[V]) raise(revision int64) {
	t.revision = max(t.revision, revision)
	for name, version := range t.gone {
		if version <= t.revision {
			delete(t.gone, name)
		}
	}
}

// Since returns the changes after a revision. The batch is not complete when the
// table no longer keeps all of them.
func (t *Table[V]) Since(after int64) Batch[V] {
	t.mu.RLock()
	defer t.mu.RUnlock()
	b := Batch[V]{After: after, Revision: t.revision, Complete: t.loaded && after >= t.floor}
	for _, c := range slices.Backward(t.recent) {
		if c.Version <= after {
			break
		}
		b.Changes = append(b.Changes, c)
	}
	slices.Reverse(b.Changes)
	return b
}

// Snapshot returns all objects, sorted by name, and the revision. ok is false
// before the first listing.
func (t *Table[V]) Snapshot() (objects []Change[V], revision int64, ok bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	objects = make([]Change[V], 0, len(t.objects))
	for _, object := range t.objects {
		objects = append(objects, object)
	}
	slices.SortFunc(objects, func(a, b Change[V]) int { return strings.Compare(a.Name, b.Name) })
	return objects, t.revision, t.loaded
}

// Get returns one object.
func (t *Table[V]) Get(name string) (Change[V], bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	object, ok := t.objects[name]
	return object, ok
}

// Position returns the revision, and false before the first listing.
func (t *Table[V]) Position() (int64, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.revision, t.loaded
}

// Generation returns the number of changes of the objects so far.
func (t *Table[V]) Generation() int64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.generation
}

// Size returns the number of objects.
func (t *Table[V]) Size() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.objects)
}

// Unconfirmed returns the deletions beyond the revision.
func (t *Table[V]) Unconfirmed() map[string]int64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return maps.Clone(t.gone)
}
