package transfer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/policy/transfer"
)

var start = time.Unix(1_000_000, 0)

func TestRateAveragesImportsAndExpires(t *testing.T) {
	h := transfer.NewHistory()
	require.Zero(t, h.Rate(start))
	h.RecordImport("e1", 20_000, time.Second, start)
	require.Equal(t, 20_000.0, h.Rate(start))
	h.RecordImport("e2", 4_000, time.Second, start)
	require.Equal(t, 16_000.0, h.Rate(start))
	require.Zero(t, h.Rate(start.Add(2*time.Minute)))
}

func TestFailedSourceIsAvoidedWithExponentialBackoff(t *testing.T) {
	h := transfer.NewHistory()
	h.RecordFailure("e1", start)
	h.RecordFailure("e1", start)
	require.Equal(t, []string{"e1"}, h.Avoided(start.Add(4*time.Second)))
	require.Empty(t, h.Avoided(start.Add(5*time.Second)))
	again := start.Add(6 * time.Second)
	h.RecordFailure("e1", again)
	require.Equal(t, []string{"e1"}, h.Avoided(again.Add(9*time.Second)))
	require.Empty(t, h.Avoided(again.Add(10*time.Second)))
	h.RecordImport("e1", 100, time.Second, again.Add(11*time.Second))
	h.RecordFailure("e1", again.Add(12*time.Second))
	require.Empty(t, h.Avoided(again.Add(17*time.Second)))
}
