package catalogue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/structs"
)

func TestOutageRequiresAllDataCentresAndNewestRevision(t *testing.T) {
	now := time.Now()
	c := newContact(3*time.Second, time.Minute)
	c.recordPlatform(now)
	c.expectDataCentre("nav-a/1")
	c.recordPeerRevision(7)
	require.True(t, c.upToDate(now, 7))
	later := now.Add(10 * time.Second)
	require.False(t, c.upToDate(later, 7), "no contact with a data centre")
	c.recordDataCentre("nav-a/1", later, later)
	require.True(t, c.upToDate(later, 7))
	require.False(t, c.upToDate(later, 6), "a peer has reported a higher revision")
}

func TestDataCentreIsForgottenOnlyWhilePlatformIsReachable(t *testing.T) {
	now := time.Now()
	c := newContact(3*time.Second, time.Minute)
	c.recordDataCentre("nav-a/1", now, now)
	later := now.Add(2 * time.Minute)
	c.forgetDataCentres(nil, later)
	require.False(t, c.upToDate(later, 0))
	c.recordPlatform(later)
	c.forgetDataCentres(nil, later)
	require.True(t, c.upToDate(later.Add(10*time.Second), 0))
}

func TestPeerProofRequiresItsEdits(t *testing.T) {
	c := &Catalogue{table: loadedTable(), contact: newContact(time.Second, time.Minute)}
	requestedAt := time.Now()
	c.acceptProof(exchangeReply{Batch: batch{Revision: 6}, ContactAge: 0}, requestedAt)
	require.False(t, c.contact.platformFresh(requestedAt))
	c.acceptProof(exchangeReply{Batch: batch{Revision: 5}, ContactAge: 0}, requestedAt)
	require.True(t, c.contact.platformFresh(requestedAt))
	c.contact = newContact(time.Second, time.Minute)
	c.acceptProof(exchangeReply{Batch: batch{Revision: 5}, ContactAge: -1}, requestedAt)
	require.False(t, c.contact.platformFresh(requestedAt))
}

// loadedTable returns a table with entry "a" of version 5 at revision 5.
func loadedTable() *table {
	t := newTable()
	t.Replace(5, changesOf([]*structs.Entry{{Name: "a", Share: 5, Version: 5}}), nil)
	return t
}
