package replica

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// changeAt returns a change of object "a" whose value equals its version.
func changeAt(version int64) Change[int64] {
	return Change[int64]{Name: "a", Version: version, Value: &version}
}

// loadedTable returns a table at revision 5 with object "a" at version 5.
func loadedTable() *Table[int64] {
	t := NewTable[int64]()
	t.Replace(5, []Change[int64]{changeAt(5)}, nil)
	return t
}

func TestOlderChangeDoesNotUndoDeletionBeyondRevision(t *testing.T) {
	table := loadedTable()
	table.Apply(Batch[int64]{After: 9, Revision: 10, Complete: true, Changes: []Change[int64]{{Name: "a", Version: 10}}})
	revision, _ := table.Revision()
	require.EqualValues(t, 5, revision, "changes between 5 and 9 are missing")
	require.Empty(t, table.Apply(Batch[int64]{Changes: []Change[int64]{changeAt(8)}}))
	_, held := table.Get("a")
	require.False(t, held)
	require.Len(t, table.Apply(Batch[int64]{Changes: []Change[int64]{changeAt(11)}}), 1)
}

func TestOlderListingIsIgnored(t *testing.T) {
	table := loadedTable()
	table.Apply(Batch[int64]{After: 5, Revision: 8, Complete: true})
	require.Empty(t, table.Replace(7, nil, nil), "a listing older than the revision is ignored")
	_, held := table.Get("a")
	require.True(t, held)
	table.Apply(Batch[int64]{Changes: []Change[int64]{changeAt(9)}})
	require.Empty(t, table.Replace(8, nil, nil), "an entry newer than the listing is kept")
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

func TestBatchIsIncompleteBeyondRecentChanges(t *testing.T) {
	table := loadedTable()
	for v := int64(6); v < 6+MaxRecent; v++ {
		table.Apply(Batch[int64]{After: v - 1, Revision: v, Complete: true, Changes: []Change[int64]{changeAt(v)}})
	}
	require.True(t, table.Since(5).Complete)
	require.Len(t, table.Since(5).Changes, MaxRecent)
	table.Apply(Batch[int64]{
		After: 5 + MaxRecent, Revision: 6 + MaxRecent, Complete: true, Changes: []Change[int64]{changeAt(6 + MaxRecent)},
	})
	require.False(t, table.Since(5).Complete)
	require.True(t, table.Since(6).Complete)
}
