// Package catalogue replicates the catalogue entries from the platform to each
// daemon and refuses new work while the local copy may be outdated.
//
// # Replication
//
// Each daemon keeps one watch on the platform's catalogue prefix, and lists the
// prefix again when the platform has compacted the position of the watch. A batch
// that changed the local copy is pushed to a few neighbours, and twice a second a
// few neighbours are asked for the changes after the local revision. A change is
// applied only if its version is higher than the stored version of the entry and
// higher than the local revision, whoever sent it. The local revision advances only
// with a batch without gaps, so all edits up to it are applied. A value that is not
// a valid entry is logged, counted and otherwise ignored.
//
// A daemon that restarts while the platform is down loads all entries from a
// neighbour, and admits work once it has the highest revision that any neighbour
// reported.
//
// # Admission
//
// Admit requires a proof, at most Config.StaleAfter old, that no accepted edit is
// missing locally: a platform response that covers all events from the newest known
// one on, a listing, or the proof of a neighbour all of whose edits are applied
// locally. A proof is dated by the time of the request, so that a pause of either
// process does not make it appear newer.
//
// If no reachable daemon has such a proof, the platform itself is considered down.
// Work is still admitted if a daemon of every data centre was reached, directly or
// through others, within StaleAfter, because no daemon can then have a newer edit. A
// data centre is forgotten a minute after its last live daemon, and only while the
// platform is reachable, so that a partitioned region is not mistaken for a removed
// one.
//
// # Partitioned regions
//
// A region that reaches the platform, or a daemon that does, continues to admit
// work. A region that reaches neither refuses new work as not run after StaleAfter
// until the partition heals. Two alternatives were rejected. Admitting work on the old
// entries would violate the guarantee that an accepted edit is applied everywhere
// within seconds. Letting the larger side of the partition continue fails if the
// platform is on the smaller side, where edits are still accepted.
//
// # Limitations
//
//   - An edit that the platform accepted before an outage and that no daemon has
//     received is applied only after the outage. Work is admitted without it.
//   - The same applies while operators reach the platform and no daemon does.
//   - A daemon that is the only one to reach the platform and is partitioned from
//     all others, while its data centre is reachable through other daemons, applies
//     edits that the others do not have.
//   - A catalogue of more than Config.ListLimit entries whose newest event was
//     compacted relies on a pending watch and on reading one object. If watches
//     return nothing while reads succeed, and no reachable neighbour has a better
//     proof, an edit is missed until the watch ends.
package catalogue

import "ibisline/internal/structs"

// Reader provides read access to the catalogue. It is safe for concurrent use.
type Reader interface {
	// Entry returns the entry with the given name, including retired entries.
	Entry(name string) (structs.Entry, bool)
	// Entries returns all entries, sorted by name.
	Entries() []structs.Entry
	// Revision returns the platform revision up to which all edits are applied.
	Revision() int64
	// Admit returns nil if new work may be admitted. Otherwise it returns a refusal
	// with reason CatalogueStale: neither the platform nor a daemon that reaches it
	// was reached recently, so other daemons may have applied newer edits.
	Admit() error
}
