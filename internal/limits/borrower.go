package limits

import (
	"context"
	"slices"
	"sync"
	"time"

	"ibisline/internal/peer"
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

// borrower is the home's side for one entry: the permits that it holds and the
// requests that wait for one.
type borrower struct {
	limits *Limits
	name   string
	// wake tells the loop that there is something to report.
	wake chan struct{}

	mu      sync.Mutex
	ended   bool
	version version
	bounds  structs.EntryLimits
	// allowed is the number of requests that may be under way.
	allowed int
	inUse   int
	// starts is the number of unused start rights of an entry with a rate.
	starts  int
	waiters []*waiter
	// leaseVersion is the version of the entry under which permits were granted,
	// and leaseEnd the time until which they may be used.
	leaseVersion version
	leaseEnd     time.Time
	seq          uint64
	recall       bool
	// answered is set once a limiter has answered, and settled while no report is
	// under way or lost.
	answered   bool
	settled    bool
	retryAfter time.Duration
	idleSince  time.Time
}

func newBorrower(l *Limits, entry structs.Entry) *borrower {
	return &borrower{
		limits:    l,
		name:      entry.Name,
		wake:      make(chan struct{}, 1),
		version:   entry.Version,
		bounds:    entry.Limits(),
		idleSince: time.Now(),
	}
}

// signal wakes the loop.
func (b *borrower) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// update takes the limits of a newer version of the entry. The caller holds mu.
func (b *borrower) update(entry structs.Entry) {
	if entry.Version > b.version {
		b.version = entry.Version
		b.bounds = entry.Limits()
	}
}

// refresh takes the limits that are in force here, so that nothing starts on a
// lease of an older version. The caller holds mu.
func (b *borrower) refresh() {
	if entry, ok := b.limits.entries.Entry(b.name); ok {
		b.update(entry)
	}
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
		After(max(b.retryAfter, b.limits.config.RenewEvery))
}

// mayStart reports whether a request may start now. The caller holds mu.
func (b *borrower) mayStart() bool {
	if b.bounds.MaxConcurrent == 0 && b.bounds.RatePerSecond == 0 {
		return true
	}
	if b.leaseVersion < b.version || !time.Now().Before(b.leaseEnd) {
		return false
	}
	if b.inUse >= b.allowed {
		return false
	}
	return b.bounds.RatePerSecond == 0 || b.starts > 0
}

// startWaiting starts waiting requests while permits allow it. The caller holds mu.
func (b *borrower) startWaiting() {
	for len(b.waiters) > 0 && b.mayStart() {
		w := b.waiters[0]
		b.waiters = b.waiters[1:]
		b.inUse++
		b.starts = max(0, b.starts-1)
		close(w.ready)
	}
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
			After(max(b.retryAfter, b.limits.config.RenewEvery))
	}
	return verdict.Refuse(verdict.DeadlinePassed, "no permit for entry %s before the deadline", b.name).
		After(b.limits.config.LeaseTTL)
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

// release returns the permit of a request that ended.
func (b *borrower) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.inUse
	b.inUse--
	b.refresh()
	b.startWaiting()
	b.idleSince = time.Now()
	if b.inUse < before {
		b.signal()
	}
}

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

// end refuses all waiting requests.
func (b *borrower) end(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	for _, w := range b.waiters {
		b.refuse(w, err)
	}
	b.waiters = nil
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

// limiter returns the daemon to ask.
func (b *borrower) limiter() string {
	owner, _ := b.limits.limiter.owners.owner(b.name)
	return owner
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

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
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

// BorrowedState shows what a home holds of one entry.
type BorrowedState struct {
	Entry   string `json:"entry"`
	Version int64  `json:"version"`
	Allowed int    `json:"allowed"`
	InUse   int    `json:"in_use"`
	Waiting int    `json:"waiting"`
	Limiter string `json:"limiter"`
}

// state returns what is shown of the borrower.
func (b *borrower) state() BorrowedState {
	b.mu.Lock()
	defer b.mu.Unlock()
	return BorrowedState{
		Entry: b.name, Version: b.version, Allowed: b.allowed, InUse: b.inUse, Waiting: len(b.waiters),
		Limiter: b.limiter(),
	}
}
