package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ibisline/internal/structs"
)

// pushedCatalogue changes its entries without a new revision, as a catalogue
// does whose platform watch is stuck while other daemons pass edits on.
type pushedCatalogue struct {
	entries    []structs.Entry
	generation int64
}

func (c *pushedCatalogue) Entry(string) (structs.Entry, bool) { return structs.Entry{}, false }
func (c *pushedCatalogue) Entries() []structs.Entry           { return c.entries }
func (c *pushedCatalogue) Revision() int64                    { return 7 }
func (c *pushedCatalogue) Admit() error                       { return nil }
func (c *pushedCatalogue) Generation() int64                  { return c.generation }

func TestEditPassedOnByAPeerChangesTheShares(t *testing.T) {
	c := &pushedCatalogue{entries: []structs.Entry{{Owner: "a", Share: 9}, {Owner: "a", Share: 1, Retired: true}}}
	table := newShareTable(c)
	shares, before := table.current()
	require.Equal(t, map[string]float64{"a": 9}, shares)
	c.entries, c.generation = []structs.Entry{{Owner: "a", Share: 1}, {Owner: "a", Share: 2}}, 1
	shares, after := table.current()
	require.Equal(t, map[string]float64{"a": 3}, shares)
	require.NotEqual(t, before, after)
}
