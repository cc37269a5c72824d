package catalogue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/structs"
)

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

// loadedTable returns a table with entry "a" of version 5 at revision 5.
func loadedTable() *table {
	t := newTable()
	t.Replace(5, changesOf([]*structs.Entry{{Name: "a", Share: 5, Version: 5}}), nil)
	return t
}
