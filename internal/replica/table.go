// Package replica implements a local replica of the objects under a prefix of the
// platform's object API. It merges changes from the platform and from other daemons
// by version, so that a newer state is never replaced by an older one.
package replica

import (
	"maps"
	"slices"
	"strings"
	"sync"
)

// MaxRecent is the number of the latest changes that a table keeps for peers.
const MaxRecent = 1024

// Change is the new state of one object. Value is nil if the object was deleted.
type Change[V any] struct {
	Name    string `msgpack:"n"`
	Version int64  `msgpack:"v"`
	Value   *V     `msgpack:"e,omitempty"`
}

// Batch holds all changes after revision After up to revision Revision, and possibly
// newer ones. If Complete is false, some of those changes may be missing.
type Batch[V any] struct {
	After    int64       `msgpack:"a"`
	Revision int64       `msgpack:"r"`
	Complete bool        `msgpack:"c"`
	Changes  []Change[V] `msgpack:"g,omitempty"`
}

// Table holds the objects. It is safe for concurrent use; stored values are never
// modified.
//
// Invariant: every change up to the table's revision is applied. Therefore a change
// with a version up to the revision is either present or superseded, and is rejected.
// The version of a deletion must be kept only while it is beyond the revision.
type Table[V any] struct {
	mu       sync.RWMutex
	loaded   bool
	revision int64
	// generation is the number of changes applied to objects.
	generation int64
	objects    map[string]Change[V]
	// deletions holds the versions of deletions beyond the revision, by name.
	deletions map[string]int64
	// recent holds all changes after recentAfter, by ascending version.
	recent      []Change[V]
	recentAfter int64
}

// NewTable returns an empty table that is not loaded.
func NewTable[V any]() *Table[V] {
	return &Table[V]{
		objects:   map[string]Change[V]{},
		deletions: map[string]int64{},
	}
}

// Apply applies the changes that are newer than the held state and returns them. The
// revision advances if the batch is complete and leaves no gap after it.
func (t *Table[V]) Apply(b Batch[V]) []Change[V] {
	t.mu.Lock()
	defer t.mu.Unlock()
	var accepted []Change[V]
	for _, c := range b.Changes {
		if t.accept(c) {
			t.addRecent(c)
			accepted = append(accepted, c)
		}
	}
	if b.Complete && t.loaded && b.After <= t.revision {
		t.advanceRevision(b.Revision)
	}
	return accepted
}

// Replace applies a listing of all objects as of a revision and returns the applied
// changes. Names in keep were listed with a malformed value; their held state is kept.
// A listing older than the table's revision is ignored. A listing does not contain the
// exact version of a deletion, so the revision of the listing is used instead.
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
		t.addAllRecent(accepted)
	} else {
		t.loaded = true
		t.dropRecent(revision)
	}
	t.advanceRevision(revision)
	return accepted
}

// accept applies one change if it is newer than the held state, and reports whether
// it did.
func (t *Table[V]) accept(c Change[V]) bool {
	if t.loaded && c.Version <= t.revision {
		return false
	}
	if c.Version <= t.latestVersion(c.Name) {
		return false
	}
	t.set(c)
	return true
}

// latestVersion returns the newest known version of a name, deletions included.
func (t *Table[V]) latestVersion(name string) int64 {
	version := t.deletions[name]
	if object, ok := t.objects[name]; ok {
		version = max(version, object.Version)
	}
	return version
}

// set stores one change.
func (t *Table[V]) set(c Change[V]) {
	t.generation++
	if c.Value != nil {
		delete(t.deletions, c.Name)
		t.objects[c.Name] = c
		return
	}
	delete(t.objects, c.Name)
	t.deletions[c.Name] = c.Version
}

// addRecent inserts a change into recent, ordered by version.
func (t *Table[V]) addRecent(c Change[V]) {
	if c.Version <= t.recentAfter {
		return
	}
	at, _ := slices.BinarySearchFunc(t.recent, c.Version, func(held Change[V], version int64) int {
		return int(held.Version - version)
	})
	t.recent = slices.Insert(t.recent, at, c)
	if len(t.recent) > MaxRecent {
		t.dropRecent(t.recent[len(t.recent)-MaxRecent-1].Version)
	}
}

// addAllRecent inserts several changes into recent.
func (t *Table[V]) addAllRecent(changes []Change[V]) {
	for _, c := range changes {
		t.addRecent(c)
	}
}

// dropRecent removes the recent changes up to the given version.
func (t *Table[V]) dropRecent(version int64) {
	t.recentAfter = max(t.recentAfter, version)
	t.recent = slices.DeleteFunc(t.recent, func(c Change[V]) bool { return c.Version <= t.recentAfter })
}

// advanceRevision raises the revision and drops the deletions that it covers.
func (t *Table[V]) advanceRevision(revision int64) {
	t.revision = max(t.revision, revision)
	for name, version := range t.deletions {
		if version <= t.revision {
			delete(t.deletions, name)
		}
	}
}

// Since returns the changes after a revision. The batch is incomplete before the
// first listing, or if the table no longer holds all of these changes.
func (t *Table[V]) Since(after int64) Batch[V] {
	t.mu.RLock()
	defer t.mu.RUnlock()
	b := Batch[V]{After: after, Revision: t.revision, Complete: t.loaded && after >= t.recentAfter}
	for _, c := range slices.Backward(t.recent) {
		if c.Version <= after {
			break
		}
		b.Changes = append(b.Changes, c)
	}
	slices.Reverse(b.Changes)
	return b
}

// Snapshot returns all objects, sorted by name, and the revision. ok is false before
// the first listing.
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

// Get returns the object with the given name, and false if there is none.
func (t *Table[V]) Get(name string) (Change[V], bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	object, ok := t.objects[name]
	return object, ok
}

// Revision returns the revision, and false before the first listing.
func (t *Table[V]) Revision() (int64, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.revision, t.loaded
}

// Generation returns the number of changes applied to objects so far.
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

// UnconfirmedDeletions returns the versions of the deletions beyond the revision, by name.
func (t *Table[V]) UnconfirmedDeletions() map[string]int64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return maps.Clone(t.deletions)
}
