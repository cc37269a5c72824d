package limits

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"ibisline/internal/structs"
)

// rateBurstPeriod is the period over which unused start tokens accumulate.
const rateBurstPeriod = time.Second

// holder is the ledger record of one home.
type holder struct {
	ID holderID `msgpack:"i"`
	// Held is an upper bound of the requests that the home has in flight.
	Held   int `msgpack:"h"`
	InUse  int `msgpack:"u"`
	Queued int `msgpack:"q"`
	// Seq is the sequence number of the latest report.
	Seq        uint64 `msgpack:"s"`
	lastReport time.Time
}

// pendingRequest is a home's request for permits and start tokens that has not been
// answered.
type pendingRequest struct {
	home holderID
	seq  uint64
	// permits and starts are the numbers still to be granted.
	permits int
	starts  int
	// grantedPermits and grantedStarts are the numbers granted so far.
	grantedPermits int
	grantedStarts  int
	// done is closed when the request is granted, canceled or replaced by a later
	// one.
	done   chan struct{}
	closed bool
}

// finish closes done if it is still open.
func (p *pendingRequest) finish() {
	if !p.closed {
		p.closed = true
		close(p.done)
	}
}

// ledger records the permits of one entry and allocates them to homes. The caller
// passes the time. It is not safe for concurrent use.
type ledger struct {
	version version
	limits  structs.EntryLimits
	holders map[holderID]*holder
	// pending holds the pending requests in order of arrival.
	pending []*pendingRequest
	starts  *rate.Limiter
}

func newLedger() *ledger {
	return &ledger{holders: map[holderID]*holder{}}
}

// setLimits applies the limits of a newer version of the entry and ignores older
// ones.
func (l *ledger) setLimits(v version, limits structs.EntryLimits, now time.Time) {
	if v <= l.version && l.version != 0 {
		return
	}
	l.version = v
	l.limits = limits
	switch {
	case limits.RatePerSecond == 0:
		l.starts = nil
	case l.starts == nil:
		l.starts = rate.NewLimiter(rate.Limit(limits.RatePerSecond), burstOf(limits.RatePerSecond))
		l.starts.AllowN(now, l.starts.Burst())
	default:
		l.starts.SetLimitAt(now, rate.Limit(limits.RatePerSecond))
		l.starts.SetBurstAt(now, burstOf(limits.RatePerSecond))
	}
}

// burstOf returns the capacity of the token bucket of an entry, at least 1.
func burstOf(perSecond float64) int {
	return max(1, int(perSecond*rateBurstPeriod.Seconds()))
}

// recordReport updates the record of a home from its report. It returns false for a
// report older than the latest one recorded.
func (l *ledger) recordReport(r leaseRequest, now time.Time) bool {
	l.dropOldIncarnations(r.Home)
	h, ok := l.holders[r.Home]
	if !ok {
		h = &holder{ID: r.Home}
		l.holders[r.Home] = h
	}
	if r.Seq < h.Seq {
		return false
	}
	h.Seq = r.Seq
	h.lastReport = now
	h.Held = max(r.Holding, r.InUse)
	h.InUse = r.InUse
	h.Queued = 0
	l.cancelPending(r.Home)
	return true
}

// dropOldIncarnations deletes the records of earlier processes of a daemon, whose
// requests ended with the process.
func (l *ledger) dropOldIncarnations(id holderID) {
	for other := range l.holders {
		if other.Daemon == id.Daemon && other.Incarnation != id.Incarnation {
			l.cancelPending(other)
			delete(l.holders, other)
		}
	}
}

// cancelPending removes and finishes the pending request of a home, if any.
func (l *ledger) cancelPending(id holderID) {
	l.pending = slices.DeleteFunc(l.pending, func(p *pendingRequest) bool {
		if p.home != id {
			return false
		}
		p.finish()
		return true
	})
}

// dropHolders deletes the homes for which gone returns true.
func (l *ledger) dropHolders(gone func(h *holder) bool) {
	for id, h := range l.holders {
		if gone(h) {
			l.cancelPending(id)
			delete(l.holders, id)
		}
	}
}

// held returns the number of permits held by all homes.
func (l *ledger) held() int {
	sum := 0
	for _, h := range l.holders {
		sum += h.Held
	}
	return sum
}

// freePermits returns the number of permits that can be granted. limited is false
// when the entry has no concurrency limit.
func (l *ledger) freePermits() (n int, limited bool) {
	if l.limits.MaxConcurrent == 0 {
		return 0, false
	}
	return max(0, l.limits.MaxConcurrent-l.held()), true
}

// distribute grants permits and start tokens to pending requests round-robin, one
// at a time in order of arrival, and finishes the requests that were granted any.
func (l *ledger) distribute(now time.Time) {
	for granted := true; granted; {
		granted = false
		for _, p := range l.pending {
			permit := l.grantPermit(p)
			start := l.grantStart(p, now)
			granted = granted || permit || start
		}
	}
	l.pending = slices.DeleteFunc(l.pending, func(p *pendingRequest) bool {
		if p.grantedPermits+p.grantedStarts == 0 {
			return false
		}
		p.finish()
		return true
	})
}

// grantPermit grants one permit if the request needs one and one is free.
func (l *ledger) grantPermit(p *pendingRequest) bool {
	free, limited := l.freePermits()
	if p.permits == 0 || (limited && free == 0) {
		return false
	}
	p.permits--
	p.grantedPermits++
	l.holders[p.home].Held++
	return true
}

// grantStart grants one start token if the request needs one and one is available.
func (l *ledger) grantStart(p *pendingRequest, now time.Time) bool {
	if p.starts == 0 || l.starts == nil || !l.starts.AllowN(now, 1) {
		return false
	}
	p.starts--
	p.grantedStarts++
	return true
}

// nextStartDelay returns the time until a start token is available. It is 0 when one
// is available or the entry has no rate limit.
func (l *ledger) nextStartDelay(now time.Time) time.Duration {
	if l.starts == nil {
		return 0
	}
	missing := 1 - l.starts.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / l.limits.RatePerSecond * float64(time.Second))
}

// allowed returns the number of requests that a home may have in flight: its granted
// permits, or fewer when the limit was lowered below the total held. All permits of
// other homes count as in use, idle ones included, so that a home may use only the
// remainder.
func (l *ledger) allowed(id holderID) int {
	h := l.holders[id]
	if l.limits.MaxConcurrent == 0 {
		return h.Held
	}
	others := l.held() - h.Held
	return min(h.Held, max(0, l.limits.MaxConcurrent-others))
}

// admitQueued records as many waiting requests of a home as the limit permits and
// returns their number, or -1 if the entry has no such limit.
func (l *ledger) admitQueued(id holderID, waiting int) int {
	if l.limits.MaxQueued == 0 {
		return -1
	}
	others := 0
	for other, h := range l.holders {
		if other != id {
			others += h.Queued
		}
	}
	n := min(waiting, max(0, l.limits.MaxQueued-others))
	l.holders[id].Queued = n
	return n
}

// queueExceeded reports whether more requests of a home wait than the limit permits,
// in which case the home needs a reply at once.
func (l *ledger) queueExceeded(r leaseRequest) bool {
	n := l.admitQueued(r.Home, r.Waiting)
	return n >= 0 && n < r.Waiting
}

// othersPending reports whether another home has a pending request.
func (l *ledger) othersPending(id holderID) bool {
	return slices.ContainsFunc(l.pending, func(p *pendingRequest) bool { return p.home != id })
}

// empty reports whether nothing is held, queued or pending.
func (l *ledger) empty() bool {
	for _, h := range l.holders {
		if h.Held > 0 || h.Queued > 0 {
			return false
		}
	}
	return len(l.pending) == 0
}
