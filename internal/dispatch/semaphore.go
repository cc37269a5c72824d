package dispatch

import (
	"context"
	"time"

	"ibisline/internal/verdict"
)

// semaphore is a counting semaphore; its limit is the capacity of the channel.
type semaphore chan struct{}

// acquire waits for a free slot until the deadline, if it is not zero. Errors are
// *verdict.Error with NotRun.
func (s semaphore) acquire(ctx context.Context, deadline time.Time) error {
	if !deadline.IsZero() {
		timed, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		ctx = timed
	}
	select {
	case s <- struct{}{}:
		return nil
	case <-ctx.Done():
		return waitEnded(ctx)
	}
}

func (s semaphore) release() { <-s }

// waitEnded returns the refusal of a request whose context ended before it ran.
func waitEnded(ctx context.Context) error {
	if ctx.Err() == context.DeadlineExceeded {
		return verdict.Refuse(verdict.DeadlinePassed, "no slot before the deadline").RetryIn(minRetryAfter)
	}
	return verdict.Refuse(verdict.Canceled, "canceled while waiting for a slot")
}
