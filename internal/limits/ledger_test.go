package limits

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/structs"
)

// home names a process of daemon d0.
func home(incarnation string) holderID { return holderID{Daemon: "d0", Incarnation: incarnation} }

func TestReportThatArrivesLateIsNotBooked(t *testing.T) {
	l := newLedger()
	require.True(t, l.report(leaseRequest{Home: home("x"), Seq: 2, Holding: 5}, time.Now()))
	require.False(t, l.report(leaseRequest{Home: home("x"), Seq: 1, Holding: 0}, time.Now()))
	require.Equal(t, 5, l.held())
}

func TestNewProcessOfADaemonEndsThePermitsOfTheOldOne(t *testing.T) {
	l := newLedger()
	l.report(leaseRequest{Home: home("x"), Seq: 9, Holding: 5}, time.Now())
	l.report(leaseRequest{Home: home("y"), Seq: 1, Holding: 1}, time.Now())
	require.Equal(t, 1, l.held())
}

func TestNothingStartsOnALeaseOfAnOlderVersion(t *testing.T) {
	limits := structs.EntryLimits{MaxConcurrent: 5}
	b := &borrower{bounds: limits, version: 2, leaseVersion: 2, allowed: 5, leaseEnd: time.Now().Add(time.Hour)}
	require.True(t, b.mayStart())
	b.update(structs.Entry{Version: 3, MaxConcurrent: 1})
	require.False(t, b.mayStart())
	b.update(structs.Entry{Version: 1, MaxConcurrent: 9})
	require.Equal(t, 1, b.bounds.MaxConcurrent, "an older version changes nothing")
}
