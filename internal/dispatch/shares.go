package dispatch

import (
	"sync"

	"ibisline/internal/catalogue"
)

// shareTable sums the shares of each owner's entries, once for each revision of
// the catalogue.
type shareTable struct {
	catalogue catalogue.Reader
	mu        sync.Mutex
	revision  int64
	shares    map[string]float64
}

func newShareTable(reader catalogue.Reader) *shareTable {
	return &shareTable{catalogue: reader, revision: -1}
}

// current returns the shares in force and their revision. The map is not
// modified afterwards.
func (t *shareTable) current() (map[string]float64, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	revision := t.catalogue.Revision()
	if revision == t.revision {
		return t.shares, t.revision
	}
	shares := map[string]float64{}
	for _, entry := range t.catalogue.Entries() {
		if !entry.Retired {
			shares[entry.Owner] += entry.Share
		}
	}
	t.revision = revision
	t.shares = shares
	return shares, revision
}
