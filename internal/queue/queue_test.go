package queue

import (
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
)

func TestFullQueueRefusesAndCounts(t *testing.T) {
	set := metrics.NewSet()
	q := New[int](set, "r", 2)
	require.True(t, q.Offer(1))
	require.True(t, q.Offer(2))
	require.False(t, q.Offer(3))
	require.Equal(t, 1, <-q.Items())
	require.True(t, q.Offer(4))
	require.Equal(t, 2, <-q.Items())
	require.Equal(t, 4, <-q.Items())
	require.EqualValues(t, 1, set.GetOrCreateCounter(`ibisline_ring_refused_total{ring="r"}`).Get())
}
