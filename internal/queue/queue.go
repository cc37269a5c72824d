// Package queue provides a bounded queue between goroutines of a daemon, with metrics
// for its depth and for refused items.
package queue

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// Queue is a bounded first-in, first-out queue. It is safe for concurrent use.
type Queue[T any] struct {
	items   chan T
	refused *metrics.Counter
}

// New returns a queue that holds at most size items and registers its metrics in set
// with name as the label "ring".
func New[T any](set *metrics.Set, name string, size int) *Queue[T] {
	items := make(chan T, size)
	set.GetOrCreateGauge(fmt.Sprintf("ibisline_ring_depth{ring=%q}", name), func() float64 {
		return float64(len(items))
	})
	refused := set.GetOrCreateCounter(fmt.Sprintf("ibisline_ring_refused_total{ring=%q}", name))
	return &Queue[T]{items: items, refused: refused}
}

// Offer appends item and returns true. If the queue is full, it counts a refusal and
// returns false.
func (q *Queue[T]) Offer(item T) bool {
	select {
	case q.items <- item:
		return true
	default:
		q.refused.Inc()
		return false
	}
}

// Items returns the channel from which the items are received.
func (q *Queue[T]) Items() <-chan T { return q.items }
