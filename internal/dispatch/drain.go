package dispatch

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/verdict"
)

// drainPollInterval is the time between checks for requests still in flight.
const drainPollInterval = 10 * time.Millisecond

// Drain begins a planned stop: waiting requests are refused with reason Stopping,
// so that their routers retry them at the next dispatcher, and requests in flight
// run to completion. It returns nil when none is left, or an error when ctx ends.
func (d *Dispatcher) Drain(ctx context.Context) error {
	d.draining.Store(true)
	for _, queue := range d.queues() {
		queue.closePermanently(verdict.Refuse(verdict.Stopping, "dispatcher is stopping"))
	}
	for d.inFlightCount() > 0 {
		select {
		case <-ctx.Done():
			return errors.Errorf("drain: %d requests still in flight: %w", d.inFlightCount(), ctx.Err())
		case <-time.After(drainPollInterval):
		}
	}
	return nil
}

// inFlightCount is the number of requests running at the backend servers of this
// daemon.
func (d *Dispatcher) inFlightCount() int {
	total := 0
	for _, queue := range d.queues() {
		total += queue.state().Running
	}
	return total
}

// queues returns the queues of all backend servers of this daemon.
func (d *Dispatcher) queues() []*serverQueue {
	d.mu.Lock()
	defer d.mu.Unlock()
	var queues []*serverQueue
	for _, e := range d.engines {
		queues = append(queues, e.queue)
	}
	for _, queue := range d.services {
		queues = append(queues, queue)
	}
	return queues
}
