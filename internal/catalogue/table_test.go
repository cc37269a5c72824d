package catalogue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/structs"
)

// state returns a change of entry "a" whose share equals its version.
func state(version int64) change {
	return change{Name: "a", Version: version, Entry: &structs.Entry{Name: "a", Share: float64(version), Version: version}}
}

// loadedTable returns a table with entry "a" of version 5 at revision 5.
func loadedTable() *table {
	t := newTable()
	t.replace(5, []*structs.Entry{state(5).Entry}, nil)
	return t
}

func TestDeletionBeyondTheRevisionIsNotUndoneByAnOlderState(t *testing.T) {
	table := loadedTable()
	table.apply(batch{After: 9, Revision: 10, Complete: true, Changes: []change{{Name: "a", Version: 10}}})
	revision, _ := table.position()
	require.EqualValues(t, 5, revision, "changes between 5 and 9 are missing")
	require.Empty(t, table.apply(batch{Changes: []change{state(8)}}))
	_, held := table.entry("a")
	require.False(t, held)
	require.Len(t, table.apply(batch{Changes: []change{state(11)}}), 1)
}

func TestOlderListingIsIgnored(t *testing.T) {
	table := loadedTable()
	table.apply(batch{After: 5, Revision: 8, Complete: true})
	require.Empty(t, table.replace(7, nil, nil), "a daemon that knows less lists no entry")
	_, held := table.entry("a")
	require.True(t, held)
	table.apply(batch{Changes: []change{state(9)}})
	require.Empty(t, table.replace(8, nil, nil), "an entry beyond the listing's revision stays")
	entry, _ := table.entry("a")
	require.EqualValues(t, 9, entry.Version)
}

func TestListingWithMalformedValueKeepsTheEntry(t *testing.T) {
	table := loadedTable()
	require.Empty(t, table.replace(8, nil, map[string]bool{"a": true}))
	entry, _ := table.entry("a")
	require.EqualValues(t, 5, entry.Version)
	require.Len(t, table.replace(9, nil, nil), 1)
	_, held := table.entry("a")
	require.False(t, held)
}

func TestRecentChangesAreBoundedAndSaySo(t *testing.T) {
	table := loadedTable()
	for v := int64(6); v < 6+maxRecent; v++ {
		table.apply(batch{After: v - 1, Revision: v, Complete: true, Changes: []change{state(v)}})
	}
	require.True(t, table.since(5).Complete)
	require.Len(t, table.since(5).Changes, maxRecent)
	table.apply(batch{After: 5 + maxRecent, Revision: 6 + maxRecent, Complete: true, Changes: []change{state(6 + maxRecent)}})
	require.False(t, table.since(5).Complete)
	require.True(t, table.since(6).Complete)
}

func TestOutageNeedsAllDataCentresAndTheNewestRevision(t *testing.T) {
	now := time.Now()
	c := newContact(3*time.Second, time.Minute)
	c.reached(now)
	c.expect("nav-a/1")
	c.report(7)
	require.True(t, c.current(now, 7))
	later := now.Add(10 * time.Second)
	require.False(t, c.current(later, 7), "a data centre is silent")
	c.hear("nav-a/1", later, later)
	require.True(t, c.current(later, 7))
	require.False(t, c.current(later, 6), "a peer has reported a newer revision")
}

func TestDataCentreIsForgottenOnlyWhileThePlatformIsInReach(t *testing.T) {
	now := time.Now()
	c := newContact(3*time.Second, time.Minute)
	c.hear("nav-a/1", now, now)
	later := now.Add(2 * time.Minute)
	c.forget(nil, later)
	require.False(t, c.current(later, 0))
	c.reached(later)
	c.forget(nil, later)
	require.True(t, c.current(later.Add(10*time.Second), 0))
}

func TestProofOfAPeerCountsOnlyWithItsEdits(t *testing.T) {
	c := &Catalogue{table: loadedTable(), contact: newContact(time.Second, time.Minute)}
	asked := time.Now()
	c.prove(exchangeReply{Batch: batch{Revision: 6}, ContactAge: 0}, asked)
	require.False(t, c.contact.isFresh(asked))
	c.prove(exchangeReply{Batch: batch{Revision: 5}, ContactAge: 0}, asked)
	require.True(t, c.contact.isFresh(asked))
	c.contact = newContact(time.Second, time.Minute)
	c.prove(exchangeReply{Batch: batch{Revision: 5}, ContactAge: -1}, asked)
	require.False(t, c.contact.isFresh(asked))
}
