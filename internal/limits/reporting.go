package limits

import (
	"context"
	"time"

	"ibisline/internal/peer"
	"ibisline/internal/timers"
)

// run sends reports to the limiter while the entry is in use.
func (b *borrower) run(ctx context.Context) error {
	defer b.limits.drop(b)
	for ctx.Err() == nil {
		request, limiter, ok := b.nextReport()
		if !ok {
			return nil
		}
		if !b.report(ctx, limiter, request) {
			timers.Sleep(ctx, retryDelay)
			continue
		}
		b.waitForReport(ctx, b.reportDelay())
	}
	return nil
}

// nextReport returns the next report and the limiter to send it to. It returns
// false, and ends the borrower, when no permit is held, no request waits and the
// latest report has been answered.
func (b *borrower) nextReport() (leaseRequest, string, bool) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refreshLimits()
	b.startWaiting()
	held := max(b.allowed, b.inUse)
	b.returnIdle(now)
	if held == 0 && b.reportConfirmed && len(b.waiters) == 0 && now.Sub(b.idleSince) >= b.limits.config.RenewInterval {
		b.ended = true
		return leaseRequest{}, "", false
	}
	for _, w := range b.waiters {
		w.reported = true
	}
	b.reportConfirmed = false
	b.seq++
	return leaseRequest{
		Home:    holderID{Daemon: b.limits.view.Self().Name, Incarnation: b.limits.incarnation},
		Seq:     b.seq,
		Entry:   b.name,
		Version: b.version,
		Limits:  b.entryLimits,
		Holding: max(b.allowed, b.inUse),
		InUse:   b.inUse,
		Starts:  b.starts,
		Waiting: len(b.waiters),
	}, b.limiter(), true
}

// returnIdle returns unused permits: at once when other homes wait or the lease has
// expired, otherwise after IdleReturnDelay. The number is lowered before it is
// reported, so that the limiter never records too few. The caller holds mu.
func (b *borrower) returnIdle(now time.Time) {
	idle := now.Sub(b.idleSince) >= b.limits.config.IdleReturnDelay && len(b.waiters) == 0
	if idle || b.recall || !now.Before(b.leaseEnd) {
		b.allowed = min(b.allowed, b.inUse)
	}
	if idle {
		b.starts = 0
	}
}

// report sends one report and applies the reply. It returns false when the report
// failed or another daemon is the limiter. New waiting requests shorten the wait for
// the reply, so that the next report includes them.
func (b *borrower) report(ctx context.Context, limiter string, request leaseRequest) bool {
	b.limits.reportsSent.Inc()
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, b.limits.config.PollTimeout+b.limits.config.PeerTimeout)
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
		return r.err == nil && b.applyReply(r.reply, sent)
	case <-b.wake:
	}
	select {
	case r := <-results:
		return r.err == nil && b.applyReply(r.reply, sent)
	case <-time.After(mergeDelay):
		b.signal()
		return true
	}
}

// call sends a report to the limiter, which may be this daemon.
func (b *borrower) call(ctx context.Context, limiter string, request leaseRequest, reply *leaseReply) error {
	if limiter == b.limits.view.Self().Name {
		var err error
		*reply, err = b.limits.limiter.lease(ctx, request)
		return err
	}
	return peer.Call(ctx, b.limits.dialer, limiter, methodLease, request, reply)
}

// applyReply applies a reply. It returns false when another daemon is the limiter.
// The views of the daemons differ then, and the report is retried until they have
// converged.
func (b *borrower) applyReply(reply leaseReply, sent time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if reply.Moved {
		return false
	}
	b.hasReply = true
	b.reportConfirmed = true
	b.allowed = reply.Allowed
	b.starts += reply.Starts
	b.recall = reply.Recall
	b.retryAfter = reply.RetryAfter
	b.leaseVersion = reply.Version
	b.leaseEnd = sent.Add(b.limits.config.LeaseTTL)
	b.refreshLimits()
	b.startWaiting()
	b.refuseExcess(reply.Queued)
	return true
}

// limiter returns the daemon that is the limiter of the entry.
func (b *borrower) limiter() string {
	current, _ := b.limits.limiter.locator.limiterOf(b.name)
	return current
}

// reportDelay returns the time until the next report unless an event occurs earlier.
func (b *borrower) reportDelay() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case len(b.waiters) > 0:
		return mergeDelay
	case b.allowed > b.inUse && b.recall:
		return 0
	case b.allowed > b.inUse:
		return b.limits.config.IdleReturnDelay
	default:
		return b.limits.config.RenewInterval
	}
}

// waitForReport waits for d, or until there is something to report.
func (b *borrower) waitForReport(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-b.wake:
		b.retainIdlePermit(ctx)
	}
}

// retainIdlePermit delays the next report by up to IdleReturnDelay, so that the next
// request can reuse a permit that was just released. It does not wait when requests
// wait here or at other homes, or when the lease is of an older version.
func (b *borrower) retainIdlePermit(ctx context.Context) {
	b.mu.Lock()
	keep := len(b.waiters) == 0 && !b.recall && b.leaseVersion >= b.version
	b.mu.Unlock()
	if !keep {
		return
	}
	timer := time.NewTimer(b.limits.config.IdleReturnDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-b.wake:
	}
}
