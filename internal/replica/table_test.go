package replica

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// state returns a change of object "a" whose value equals its version.
func state(version int64) Change[int64] {
	return Change[int64]{Name: "a", Version: version, Value: &version}
}

// loadedTable returns a table with object "a" of version 5 at revision 5.
func loadedTable() *Table[int64] {
	t := NewTable[int64]()
	t.Replace(5, []Change[int64]{state(5)}, nil)
	return t
}

func TestDeletionBeyondTheRevisionIsNotUndoneByAnOlderState(t *testing.T) {
	table := loadedTable()
	table.Apply(Batch[int64]{After: 9, Revision: 10, Complete: true, Changes: []Change[int64]{{Name: "a", Version: 10}}})
	revision, _ := table.Position()
	require.EqualValues(t, 5, revision, "changes between 5 and 9 are missing")
	require.Empty(t, table.Apply(Batch[int64]{Changes: []Change[int64]{state(8)}}))
	_, held := table.Get("a")
	require.False(t, held)
	require.Len(t, table.Apply(Batch[int64]{Changes: []Change[int64]{state(11)}}), 1)
}

func TestOlderListingIsIgnored(t *testing.T) {
	table := loadedTable()
	table.Apply(Batch[int64]{After: 5, Revision: 8, Complete: true})
	require.Empty(t, table.Replace(7, nil, nil), "a daemon that knows less lists no entry")
	_, held := table.Get("a")
	require.True(t, held)
	table.Apply(Batch[int64]{Changes: []Change[int64]{state(9)}})
	require.Empty(t, table.Replace(8, nil, nil), "an entry beyond the listing's revision stays")
	entry, _ := table.Get("a")
	require.EqualValues(t, 9, entry.Version)
}

func TestListingWithMalformedValueKeepsTheEntry(t *testing.T) {
	table := loadedTable()
	require.Empty(t, table.Replace(8, nil, map[string]bool{"a": true}))
	entry, _ := table.Get("a")
	require.EqualValues(t, 5, entry.Version)
	require.Len(t, table.Replace(9, nil, nil), 1)
	_, held := table.Get("a")
	require.False(t, held)
}

func TestRecentChangesAreBoundedAndSaySo(t *testing.T) {
	table := loadedTable()
	for v := int64(6); v < 6+MaxRecent; v++ {
		table.Apply(Batch[int64]{After: v - 1, Revision: v, Complete: true, Changes: []Change[int64]{state(v)}})
	}
	require.True(t, table.Since(5).Complete)
	require.Len(t, table.Since(5).Changes, MaxRecent)
	table.Apply(Batch[int64]{After: 5 + MaxRecent, Revision: 6 + MaxRecent, Complete: true, Changes: []Change[int64]{state(6 + MaxRecent)}})
	require.False(t, table.Since(5).Complete)
	require.True(t, table.Since(6).Complete)
}
