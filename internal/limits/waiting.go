package limits

import (
	"context"
	"slices"
	"sync"
	"time"

	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// waiter is a request waiting for a permit.
type waiter struct {
	// ready is closed when the request may start or, if err is set, was refused.
	ready chan struct{}
	err   error
	// reported is set once a report to the limiter has included the request.
	reported bool
}

// enqueue adds a request. The waiter is nil, without an error, when the borrower has
// ended.
func (b *borrower) enqueue(entry structs.Entry) (*waiter, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return nil, nil
	}
	b.updateLimits(entry)
	b.refreshLimits()
	w := &waiter{ready: make(chan struct{})}
	b.waiters = append(b.waiters, w)
	b.startWaiting()
	queued := len(b.waiters)
	if b.entryLimits.MaxQueued > 0 && queued > b.entryLimits.MaxQueued {
		b.waiters = b.waiters[:queued-1]
		return nil, b.queueFull()
	}
	if queued > 0 {
		b.signal()
	}
	return w, nil
}

// queueFull returns the refusal of a request when the queue is full.
func (b *borrower) queueFull() error {
	return verdict.Refuse(verdict.QueueFull,
		"entry %s has %d requests waiting already", b.name, b.entryLimits.MaxQueued).
		RetryIn(max(b.retryAfter, b.limits.config.RenewInterval))
}

// wait waits for the start of a request and returns the function that releases its
// permit.
func (b *borrower) wait(ctx context.Context, w *waiter, deadline time.Time) (func(), error) {
	var expired <-chan time.Time
	if !deadline.IsZero() {
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-w.ready:
	case <-expired:
		b.cancelWait(w, b.deadlineRefusal())
	case <-ctx.Done():
		b.cancelWait(w, verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.Canceled, "request was canceled while waiting"))
	}
	<-w.ready
	if w.err != nil {
		return nil, w.err
	}
	return sync.OnceFunc(b.release), nil
}

// deadlineRefusal returns the refusal of a request whose deadline passed while it
// waited.
func (b *borrower) deadlineRefusal() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.hasReply {
		return verdict.Refuse(verdict.LimitReached, "entry %s is at its limit", b.name).
			RetryIn(max(b.retryAfter, b.limits.config.RenewInterval))
	}
	return verdict.Refuse(verdict.DeadlinePassed, "no permit for entry %s before the deadline", b.name).
		RetryIn(b.limits.config.LeaseTTL)
}

// cancelWait refuses a request that is still waiting. It has no effect on a request
// that has started.
func (b *borrower) cancelWait(w *waiter, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := slices.Index(b.waiters, w)
	if at < 0 {
		return
	}
	b.waiters = slices.Delete(b.waiters, at, at+1)
	b.refuse(w, err)
	b.signal()
}

// refuse ends the wait of a request with an error. The caller holds mu.
func (b *borrower) refuse(w *waiter, err error) {
	w.err = err
	close(w.ready)
}

// refuseExcess refuses the waiting requests beyond the number that the limiter
// admitted; a negative number means no limit. Requests that the report did not
// include keep waiting for the next report. The caller holds mu.
func (b *borrower) refuseExcess(admitted int) {
	if admitted < 0 {
		return
	}
	kept := 0
	b.waiters = slices.DeleteFunc(b.waiters, func(w *waiter) bool {
		if !w.reported {
			return false
		}
		kept++
		if kept <= admitted {
			return false
		}
		b.refuse(w, b.queueFull())
		return true
	})
}
