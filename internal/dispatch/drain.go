package dispatch

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/verdict"
)

// drainPoll is the time between looks at the requests still under way.
const drainPoll = 10 * time.Millisecond

// Drain begins a planned stop: requests that wait here are refused with reason
// Stopping, so that their routers take them to the next dispatcher, and those
// under way end in peace. It returns when none is left, or an error with ctx.
func (d *Dispatcher) Drain(ctx context.Context) error {
	d.draining.Store(true)
	for _, queue := range d.queues() {
		queue.stop(verdict.Refuse(verdict.Stopping, "dispatcher is stopping"))
	}
	for d.underWay() > 0 {
		select {
		case <-ctx.Done():
			return errors.Errorf("%d requests still under way: %w", d.underWay(), ctx.Err())
		case <-time.After(drainPoll):
		}
	}
	return nil
}

// underWay is the number of requests at the backend servers of this daemon.
func (d *Dispatcher) underWay() int {
	total := 0
	for _, queue := range d.queues() {
		total += queue.state().Running
	}
	return total
}

// queues returns the queues of all backend servers here.
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
