package limits

import (
	"context"
	"slices"
	"sync"
	"time"

	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// waiter is a request that waits for its start.
type waiter struct {
	// ready is closed when the request may start, or was refused with err.
	ready chan struct{}
	err   error
	// reported is set once a report to the limiter counted the request.
	reported bool
}

// enqueue adds a request. It returns nil when the borrower has ended.
func (b *borrower) enqueue(entry structs.Entry) (*waiter, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return nil, nil
	}
	b.update(entry)
	b.refresh()
	w := &waiter{ready: make(chan struct{})}
	b.waiters = append(b.waiters, w)
	b.startWaiting()
	queued := len(b.waiters)
	if b.bounds.MaxQueued > 0 && queued > b.bounds.MaxQueued {
		b.waiters = b.waiters[:queued-1]
		return nil, b.queueFull()
	}
	if queued > 0 {
		b.signal()
	}
	return w, nil
}

// queueFull is the refusal of a request that finds the queue full.
func (b *borrower) queueFull() error {
	return verdict.Refuse(verdict.QueueFull, "entry %s has %d requests waiting already", b.name, b.bounds.MaxQueued).
		RetryIn(max(b.retryAfter, b.limits.config.RenewEvery))
}

// wait waits for the start of a request.
func (b *borrower) wait(ctx context.Context, w *waiter, deadline time.Time) (func(), error) {
	var late <-chan time.Time
	if !deadline.IsZero() {
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		late = timer.C
	}
	select {
	case <-w.ready:
	case <-late:
		b.giveUp(w, b.tooLate())
	case <-ctx.Done():
		b.giveUp(w, verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.Canceled, "request was canceled while waiting"))
	}
	<-w.ready
	if w.err != nil {
		return nil, w.err
	}
	return sync.OnceFunc(b.release), nil
}

// tooLate is the refusal of a request whose deadline passed while it waited.
func (b *borrower) tooLate() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.answered {
		return verdict.Refuse(verdict.LimitReached, "entry %s is at its limit", b.name).
			RetryIn(max(b.retryAfter, b.limits.config.RenewEvery))
	}
	return verdict.Refuse(verdict.DeadlinePassed, "no permit for entry %s before the deadline", b.name).
		RetryIn(b.limits.config.LeaseTTL)
}

// giveUp refuses a request that still waits; one that was started stays so.
func (b *borrower) giveUp(w *waiter, err error) {
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

// refuse ends the wait of a request. The caller holds mu.
func (b *borrower) refuse(w *waiter, err error) {
	w.err = err
	close(w.ready)
}

// trim refuses the waiting requests beyond those that the limiter admitted. New
// ones that the report did not count are left for the next one. The caller holds
// mu.
func (b *borrower) trim(admitted int) {
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
