// Package catalogue keeps the daemon's copy of the catalogue entries and applies
// accepted edits in the order of their platform versions.
//
// # How edits arrive
//
// Each daemon holds one watch on the platform's catalogue prefix and lists again
// when its position is no longer kept. A batch that brought news is pushed to a few
// neighbours, and a few neighbours are asked twice a second for what changed after
// the own revision. An entry is taken only if its version is newer than what is
// held and than the revision in force, whoever sent it. The revision in force rises
// only by a batch without gaps: all edits up to it are applied. A value that is not
// a valid entry replaces nothing; it is logged and counted.
//
// A daemon restarted while the platform is down takes all entries from a neighbour,
// and admits work once it holds the newest revision that any neighbour has reported.
//
// # When work is admitted
//
// Admit needs a proof, at most Config.StaleAfter old, that no accepted edit is
// missing here: an answer of the platform from the newest known event on, a listing,
// or the proof of a neighbour all of whose edits are applied here. Proofs are dated
// by the moment of asking, so that a pause of either process makes none younger.
//
// Without such a proof anywhere in reach the platform itself is taken to be down, and
// work goes on, if somebody of every data centre was heard, directly or through
// others, within StaleAfter: then nobody has a newer edit. A data centre is forgotten
// a minute after its last daemon left the live ones, and only while the platform is
// in reach, so that a region that is cut off is not mistaken for one that is gone.
//
// # A region cut off for an hour
//
// A region that reaches the platform, or a daemon that does, works on. One that
// reaches neither refuses new work as not run from StaleAfter on until the cut ends.
// Two other ways were weighed. Working on with the old entries for the hour breaks
// the promise that an accepted edit is in force everywhere within seconds. Letting
// the larger part work on fails when the platform is on the smaller side, where
// edits are still accepted.
//
// # What is not covered
//
//   - An edit that the platform accepted and that no daemon saw before an outage is
//     in force only after the outage: work goes on without it.
//   - The same holds when operators reach the platform and no daemon does.
//   - A daemon that alone reaches the platform, cut off from all others, while its
//     data centre is heard through other daemons, takes edits that the rest lacks.
//   - A catalogue of more than Config.ListLimit entries whose newest event is no
//     longer kept relies on a waiting watch and a read of one object. If watches
//     return nothing while reads work, and no neighbour in reach does better, an
//     edit is missed until the watch ends.
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
