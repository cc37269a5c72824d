package limits

import (
	"sync"
	"time"

	"ibisline/internal/structs"
)

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
