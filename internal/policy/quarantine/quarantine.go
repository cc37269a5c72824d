// Package quarantine keeps requests that crash engines away from them. Every
// request under way at a crash is a suspect; suspects are tried again one at a
// time at an engine, so that a second crash names the guilty one, and the others
// are cleared by finishing. All entries expire.
package quarantine

import (
	"maps"
	"slices"
	"time"
)

// Standing is what is held against a request. Greater values are graver.
type Standing uint8

// Standings.
const (
	Clear Standing = iota
	// Suspect requests may run, but only one at a time at an engine.
	Suspect
	// Refused requests may not run.
	Refused
)

// Lifetimes of entries.
const (
	SuspectLifetime = 10 * time.Minute
	RefusedLifetime = time.Hour
)

// Entry is the standing of one request, identified by a hash of its content.
type Entry struct {
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

// Len is the number of entries, expired ones included until Expire.
func (l *List) Len() int { return len(l.entries) }

// Find returns the entry of a request; one that expired is Clear.
func (l *List) Find(fingerprint string, now time.Time) Entry {
	entry, ok := l.entries[fingerprint]
	if !ok || !now.Before(entry.Expires) {
		return Entry{Fingerprint: fingerprint}
	}
	return entry
}

// Crashed judges the requests that were under way when an engine crashed, and
// returns the entries that are new or graver. A lone suspect among them is
// guilty and explains the crash. Several suspects stay suspects. Without any,
// all become suspects.
func (l *List) Crashed(engine string, fingerprints []string, now time.Time) []Entry {
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

// Merge takes over an entry of another daemon, unless a graver or longer one
// stands. It reports whether the list changed.
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

// Finished clears a suspect that ran to its end.
func (l *List) Finished(fingerprint string) {
	if l.entries[fingerprint].Standing == Suspect {
		delete(l.entries, fingerprint)
	}
}

// Expire drops expired entries.
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
