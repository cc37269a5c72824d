package ring

import (
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
)

func TestFullRingRefusesAndCounts(t *testing.T) {
	set := metrics.NewSet()
	r := New[int](set, "r", 2)
	require.True(t, r.Offer(1))
	require.True(t, r.Offer(2))
	require.False(t, r.Offer(3))
	require.Equal(t, 1, <-r.Items())
	require.True(t, r.Offer(4))
	require.Equal(t, 2, <-r.Items())
	require.Equal(t, 4, <-r.Items())
	require.EqualValues(t, 1, set.GetOrCreateCounter(`ibisline_ring_refused_total{ring="r"}`).Get())
}
