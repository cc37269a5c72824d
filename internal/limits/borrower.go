package limits

import (
	"sync"
	"time"

	"ibisline/internal/structs"
)

// borrower is the state of a home for one entry: the permits that it holds and the
// requests that wait for one.
type borrower struct {
	limits *Limits
	name   string
	// wake signals the loop that there is something to report.
	wake chan struct{}

	mu          sync.Mutex
	ended       bool
	version     version
	entryLimits structs.EntryLimits
	// allowed is the number of requests that may be in flight.
	allowed int
	inUse   int
	// starts is the number of unused start tokens of an entry with a rate limit.
	starts  int
	waiters []*waiter
	// leaseVersion is the version of the entry for which the permits were granted.
	// They may be used to start requests until leaseEnd.
	leaseVersion version
	leaseEnd     time.Time
	seq          uint64
	recall       bool
	// hasReply is set after the first reply of a limiter. reportConfirmed is set
	// while the latest report has been answered, that is, it is neither in flight
	// nor lost.
	hasReply        bool
	reportConfirmed bool
	retryAfter      time.Duration
	idleSince       time.Time
}

func newBorrower(l *Limits, entry structs.Entry) *borrower {
	return &borrower{
		limits:      l,
		name:        entry.Name,
		wake:        make(chan struct{}, 1),
		version:     entry.Version,
		entryLimits: entry.Limits(),
		idleSince:   time.Now(),
	}
}

// signal wakes the loop.
func (b *borrower) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// updateLimits applies the limits of a newer version of the entry. The caller holds
// mu.
func (b *borrower) updateLimits(entry structs.Entry) {
	if entry.Version > b.version {
		b.version = entry.Version
		b.entryLimits = entry.Limits()
	}
}

// refreshLimits applies the limits of the entry in this daemon's catalogue, so that
// no request starts under a lease of an older version. The caller holds mu.
func (b *borrower) refreshLimits() {
	if entry, ok := b.limits.entries.Entry(b.name); ok {
		b.updateLimits(entry)
	}
}

// mayStart reports whether a request may start now. The caller holds mu.
func (b *borrower) mayStart() bool {
	if b.entryLimits.MaxConcurrent == 0 && b.entryLimits.RatePerSecond == 0 {
		return true
	}
	if b.leaseVersion < b.version || !time.Now().Before(b.leaseEnd) {
		return false
	}
	if b.inUse >= b.allowed {
		return false
	}
	return b.entryLimits.RatePerSecond == 0 || b.starts > 0
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

// release makes the permit of a request that ended available again.
func (b *borrower) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.inUse
	b.inUse--
	b.refreshLimits()
	b.startWaiting()
	b.idleSince = time.Now()
	if b.inUse < before {
		b.signal()
	}
}

// refuseAll ends the borrower and refuses all waiting requests with err.
func (b *borrower) refuseAll(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	for _, w := range b.waiters {
		b.refuse(w, err)
	}
	b.waiters = nil
}

// BorrowedState is the state of a home for one entry as shown by Dump.
type BorrowedState struct {
	Entry   string `json:"entry"`
	Version int64  `json:"version"`
	Allowed int    `json:"allowed"`
	InUse   int    `json:"in_use"`
	Waiting int    `json:"waiting"`
	Limiter string `json:"limiter"`
}

// state returns the state of the borrower for Dump.
func (b *borrower) state() BorrowedState {
	b.mu.Lock()
	defer b.mu.Unlock()
	return BorrowedState{
		Entry: b.name, Version: b.version, Allowed: b.allowed, InUse: b.inUse, Waiting: len(b.waiters),
		Limiter: b.limiter(),
	}
}
