// Package catalogue keeps the daemon's copy of the catalogue entries and applies
// accepted edits in the order of their platform versions.
package catalogue

import "ibisline/internal/structs"

// Reader is the read side of the catalogue. It is safe for concurrent use.
type Reader interface {
	// Entry returns an entry, retired ones included.
	Entry(name string) (structs.Entry, bool)
	// Entries returns all entries, sorted by name.
	Entries() []structs.Entry
	// Revision is the platform revision up to which all edits are in force here.
	Revision() int64
	// Admit returns nil while new work may be admitted, and otherwise a refusal
	// with reason CatalogueStale: neither the platform nor a daemon that reaches
	// it was heard for too long, so that edits may be in force elsewhere.
	Admit() error
}
