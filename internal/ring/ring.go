// Package ring provides the bounded queue that joins two goroutines of a
// daemon. Its depth and refusals are counted as metrics.
package ring

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// Ring is a bounded first-in, first-out queue. It is safe for concurrent use.
type Ring[T any] struct {
	items   chan T
	refused *metrics.Counter
}

// New returns a ring that holds at most size items and shows its depth and
// refusals in set under the given name.
func New[T any](set *metrics.Set, name string, size int) *Ring[T] {
	items := make(chan T, size)
	set.GetOrCreateGauge(fmt.Sprintf("ibisline_ring_depth{ring=%q}", name), func() float64 {
		return float64(len(items))
	})
	refused := set.GetOrCreateCounter(fmt.Sprintf("ibisline_ring_refused_total{ring=%q}", name))
	return &Ring[T]{items: items, refused: refused}
}

// Offer appends item, or counts a refusal and returns false when the ring is full.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.refused.Inc()
		return false
	}
}

// Items returns the receiving side.
func (r *Ring[T]) Items() <-chan T { return r.items }
