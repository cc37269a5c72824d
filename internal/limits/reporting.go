package limits

import (
	"context"
	"time"

	"ibisline/internal/peer"
)

// run reports to the limiter while the entry is in use.
func (b *borrower) run(ctx context.Context) error {
	defer b.limits.drop(b)
	for ctx.Err() == nil {
		request, limiter, ok := b.next()
		if !ok {
			return nil
		}
		if !b.ask(ctx, limiter, request) {
			pause(ctx, retryWait)
			continue
		}
		b.rest(ctx, b.quiet())
	}
	return nil
}

// next returns the next report and the limiter to send it to. It returns false,
// and ends the borrower, when nothing is held, wanted or left to report.
func (b *borrower) next() (leaseRequest, string, bool) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refresh()
	b.startWaiting()
	held := max(b.allowed, b.inUse)
	b.returnIdle(now)
	if held == 0 && b.settled && len(b.waiters) == 0 && now.Sub(b.idleSince) >= b.limits.config.RenewEvery {
		b.ended = true
		return leaseRequest{}, "", false
	}
	for _, w := range b.waiters {
		w.reported = true
	}
	b.settled = false
	b.seq++
	return leaseRequest{
		Home:    holderID{Daemon: b.limits.view.Self().Name, Incarnation: b.limits.incarnation},
		Seq:     b.seq,
		Entry:   b.name,
		Version: b.version,
		Limits:  b.bounds,
		Holding: max(b.allowed, b.inUse),
		InUse:   b.inUse,
		Starts:  b.starts,
		Waiting: len(b.waiters),
	}, b.limiter(), true
}

// returnIdle gives up permits that are not used: all when other homes wait or the
// lease has ended, else those that were not used for a while. The number goes
// down before it is reported. The caller holds mu.
func (b *borrower) returnIdle(now time.Time) {
	idle := now.Sub(b.idleSince) >= b.limits.config.IdleReturn && len(b.waiters) == 0
	if idle || b.recall || !now.Before(b.leaseEnd) {
		b.allowed = min(b.allowed, b.inUse)
	}
	if idle {
		b.starts = 0
	}
}

// ask sends one report and takes the reply. It returns false when there was none.
// New waiting requests cut the wait short, so that the next report has them.
func (b *borrower) ask(ctx context.Context, limiter string, request leaseRequest) bool {
	b.limits.asked.Inc()
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, b.limits.config.PollFor+b.limits.config.PeerTimeout)
	defer cancel()
	type result struct {
		reply leaseReply
		err   error
	}
	results := make(chan result, 1)
	go func() {
		var r result
		r.err = b.call(ctx, limiter, request, &r.reply)
		results <- r
	}()
	select {
	case r := <-results:
		return r.err == nil && b.take(r.reply, sent)
	case <-b.wake:
	}
	select {
	case r := <-results:
		return r.err == nil && b.take(r.reply, sent)
	case <-time.After(mergeWait):
		b.signal()
		return true
	}
}

// call reaches the limiter, here or on another daemon.
func (b *borrower) call(ctx context.Context, limiter string, request leaseRequest, reply *leaseReply) error {
	if limiter == b.limits.view.Self().Name {
		var err error
		*reply, err = b.limits.limiter.lease(ctx, request)
		return err
	}
	return peer.Call(ctx, b.limits.dialer, limiter, methodLease, request, reply)
}

// take applies a reply. It returns false when another daemon is the limiter: the
// views differ, and the home asks again once they have converged.
func (b *borrower) take(reply leaseReply, sent time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if reply.Moved {
		return false
	}
	b.answered = true
	b.settled = true
	b.allowed = reply.Allowed
	b.starts += reply.Starts
	b.recall = reply.Recall
	b.retryAfter = reply.RetryAfter
	b.leaseVersion = reply.Version
	b.leaseEnd = sent.Add(b.limits.config.LeaseTTL)
	b.refresh()
	b.startWaiting()
	b.trim(reply.Queued)
	return true
}

// limiter returns the daemon to ask.
func (b *borrower) limiter() string {
	owner, _ := b.limits.limiter.owners.owner(b.name)
	return owner
}

// quiet returns the time until the next report when nothing happens before.
func (b *borrower) quiet() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case len(b.waiters) > 0:
		return mergeWait
	case b.allowed > b.inUse && b.recall:
		return 0
	case b.allowed > b.inUse:
		return b.limits.config.IdleReturn
	default:
		return b.limits.config.RenewEvery
	}
}

// rest waits for d, or less when there is something to report.
func (b *borrower) rest(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-b.wake:
		b.settleBriefly(ctx)
	}
}

// settleBriefly keeps a permit that was just released for the next request,
// unless requests wait here or elsewhere.
func (b *borrower) settleBriefly(ctx context.Context) {
	b.mu.Lock()
	keep := len(b.waiters) == 0 && !b.recall && b.leaseVersion >= b.version
	b.mu.Unlock()
	if !keep {
		return
	}
	timer := time.NewTimer(b.limits.config.IdleReturn)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-b.wake:
	}
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
