// Package quarantine identifies and refuses requests that crash engines. Every
// request in flight at a crash becomes a suspect. Each engine retries suspects one
// at a time, so that a second crash identifies the request that caused it; the
// others are cleared when they complete. All entries expire.
package quarantine

import (
	"maps"
	"slices"
	"time"
)

// Standing is the quarantine state of a request. Higher values are more severe.
type Standing uint8

const (
	// Clear requests may run without restriction.
	Clear Standing = iota
	// Suspect requests may run, but only one at a time on an engine.
	Suspect
	// Refused requests may not run.
	Refused
)

// Lifetimes of entries.
const (
	SuspectLifetime = 10 * time.Minute
	RefusedLifetime = time.Hour
)

// Entry is the standing of one request.
type Entry struct {
	// Fingerprint is a hash of the content of the request.
	Fingerprint string    `json:"fingerprint" msgpack:"f"`
	Standing    Standing  `json:"standing" msgpack:"s"`
	Engine      string    `json:"engine" msgpack:"e"`
	Expires     time.Time `json:"expires" msgpack:"x"`
}

// List holds the entries known to a daemon. It is not safe for concurrent use.
type List struct {
	entries map[string]Entry
}

// NewList returns an empty list.
func NewList() *List { return &List{entries: map[string]Entry{}} }

// Len returns the number of entries, including expired ones until Expire is called.
func (l *List) Len() int { return len(l.entries) }

// Find returns the entry of a request, with standing Clear if there is none or it
// has expired.
func (l *List) Find(fingerprint string, now time.Time) Entry {
	entry, ok := l.entries[fingerprint]
	if !ok || !now.Before(entry.Expires) {
		return Entry{Fingerprint: fingerprint}
	}
	return entry
}

// RecordCrash updates the standing of the requests that were in flight when an
// engine crashed, and returns the entries that are new or more severe. A single
// suspect among them is taken as the cause of the crash and refused. Several
// suspects stay suspects. Without any suspect, all requests become suspects.
func (l *List) RecordCrash(engine string, fingerprints []string, now time.Time) []Entry {
	suspects := slices.DeleteFunc(slices.Clone(fingerprints), func(fingerprint string) bool {
		return l.Find(fingerprint, now).Standing == Clear
	})
	slices.Sort(suspects)
	suspects = slices.Compact(suspects)
	var changed []Entry
	switch len(suspects) {
	case 0:
		for _, fingerprint := range fingerprints {
			changed = append(changed, Entry{fingerprint, Suspect, engine, now.Add(SuspectLifetime)})
		}
	case 1:
		changed = []Entry{{suspects[0], Refused, engine, now.Add(RefusedLifetime)}}
	}
	for _, entry := range changed {
		l.Merge(entry, now)
	}
	return changed
}

// Merge adds an entry received from another daemon, unless it has expired or the
// known entry is more severe or expires later. It reports whether the list changed.
func (l *List) Merge(entry Entry, now time.Time) bool {
	known := l.Find(entry.Fingerprint, now)
	if !now.Before(entry.Expires) || entry.Standing < known.Standing {
		return false
	}
	if entry.Standing == known.Standing && !entry.Expires.After(known.Expires) {
		return false
	}
	l.entries[entry.Fingerprint] = entry
	return true
}

// RecordCompletion clears a suspect that ran to completion.
func (l *List) RecordCompletion(fingerprint string) {
	if l.entries[fingerprint].Standing == Suspect {
		delete(l.entries, fingerprint)
	}
}

// Expire deletes expired entries.
func (l *List) Expire(now time.Time) {
	maps.DeleteFunc(l.entries, func(_ string, entry Entry) bool { return !now.Before(entry.Expires) })
}

// All returns the entries, sorted by fingerprint.
func (l *List) All() []Entry {
	keys := slices.Sorted(maps.Keys(l.entries))
	all := make([]Entry, len(keys))
	for i, key := range keys {
		all[i] = l.entries[key]
	}
	return all
}
