package dispatch

import (
	"sync"

	"ibisline/internal/catalogue"
)

// generationCounter is implemented by a catalogue whose entries can change before
// its revision does, because other daemons forward edits.
type generationCounter interface {
	Generation() int64
}

// shareTable caches the sum of the shares of each owner's entries. It recomputes
// the sums when the catalogue changes.
type shareTable struct {
	catalogue  catalogue.Reader
	generation func() int64
	mu         sync.Mutex
	seen       int64
	shares     map[string]float64
}

func newShareTable(reader catalogue.Reader) *shareTable {
	t := &shareTable{catalogue: reader, generation: reader.Revision, seen: -1}
	if counted, ok := reader.(generationCounter); ok {
		t.generation = counted.Generation
	}
	return t
}

// current returns the current shares by owner and the catalogue generation they
// were computed from. The map is not modified afterwards.
func (t *shareTable) current() (map[string]float64, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	generation := t.generation()
	if generation == t.seen {
		return t.shares, t.seen
	}
	shares := map[string]float64{}
	for _, entry := range t.catalogue.Entries() {
		if !entry.Retired {
			shares[entry.Owner] += entry.Share
		}
	}
	t.seen = generation
	t.shares = shares
	return shares, generation
}
