package limits

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/structs"
)

// home returns the identity of a process of daemon d0.
func home(incarnation string) holderID { return holderID{Daemon: "d0", Incarnation: incarnation} }

func TestLateReportIsIgnored(t *testing.T) {
	l := newLedger()
	require.True(t, l.recordReport(leaseRequest{Home: home("x"), Seq: 2, Holding: 5}, time.Now()))
	require.False(t, l.recordReport(leaseRequest{Home: home("x"), Seq: 1, Holding: 0}, time.Now()))
	require.Equal(t, 5, l.held())
}

func TestNewIncarnationReleasesPermitsOfOldOne(t *testing.T) {
	l := newLedger()
	l.recordReport(leaseRequest{Home: home("x"), Seq: 9, Holding: 5}, time.Now())
	l.recordReport(leaseRequest{Home: home("y"), Seq: 1, Holding: 1}, time.Now())
	require.Equal(t, 1, l.held())
}

func TestLeaseOfOlderVersionStartsNothing(t *testing.T) {
	limits := structs.EntryLimits{MaxConcurrent: 5}
	b := &borrower{entryLimits: limits, version: 2, leaseVersion: 2, allowed: 5, leaseEnd: time.Now().Add(time.Hour)}
	require.True(t, b.mayStart())
	b.updateLimits(structs.Entry{Version: 3, MaxConcurrent: 1})
	require.False(t, b.mayStart())
	b.updateLimits(structs.Entry{Version: 1, MaxConcurrent: 9})
	require.Equal(t, 1, b.entryLimits.MaxConcurrent, "an older version must be ignored")
}
