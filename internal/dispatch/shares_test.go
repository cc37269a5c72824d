package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ibisline/internal/structs"
)

// peerUpdatedCatalogue changes its entries without a new revision, like a
// catalogue whose platform watch is stuck while other daemons forward edits.
type peerUpdatedCatalogue struct {
	entries    []structs.Entry
	generation int64
}

func (c *peerUpdatedCatalogue) Entry(string) (structs.Entry, bool) { return structs.Entry{}, false }
func (c *peerUpdatedCatalogue) Entries() []structs.Entry           { return c.entries }
func (c *peerUpdatedCatalogue) Revision() int64                    { return 7 }
func (c *peerUpdatedCatalogue) Admit() error                       { return nil }
func (c *peerUpdatedCatalogue) Generation() int64                  { return c.generation }

func TestEditFromPeerChangesShares(t *testing.T) {
	c := &peerUpdatedCatalogue{entries: []structs.Entry{{Owner: "a", Share: 9}, {Owner: "a", Share: 1, Retired: true}}}
	table := newShareTable(c)
	shares, before := table.current()
	require.Equal(t, map[string]float64{"a": 9}, shares)
	c.entries, c.generation = []structs.Entry{{Owner: "a", Share: 1}, {Owner: "a", Share: 2}}, 1
	shares, after := table.current()
	require.Equal(t, map[string]float64{"a": 3}, shares)
	require.NotEqual(t, before, after)
}
