package limits

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"ibisline/internal/structs"
)

// rateBurst is the time for which unused start rights of an entry are saved up.
const rateBurst = time.Second

// holder is what the books say of one home.
type holder struct {
	ID holderID `msgpack:"i"`
	// Held is the most that the home may have under way.
	Held   int `msgpack:"h"`
	InUse  int `msgpack:"u"`
	Queued int `msgpack:"q"`
	// Seq is the number of the home's latest report.
	Seq  uint64 `msgpack:"s"`
	seen time.Time
}

// ask is a home's open question.
type ask struct {
	home holderID
	seq  uint64
	// permits and starts are the numbers still wanted.
	permits int
	starts  int
	// gotPermits and gotStarts are the numbers granted.
	gotPermits int
	gotStarts  int
	// done is closed when the ask is answered or replaced by a later one.
	done   chan struct{}
	closed bool
}

// finish closes done once.
func (a *ask) finish() {
	if !a.closed {
		a.closed = true
		close(a.done)
	}
}

// ledger holds the books of one entry and decides who is granted what. It has no
// clock and is not safe for concurrent use.
type ledger struct {
	version version
	limits  structs.EntryLimits
	holders map[holderID]*holder
	// asks holds the open questions in the order of their arrival.
	asks   []*ask
	starts *rate.Limiter
}

func newLedger() *ledger {
	return &ledger{holders: map[holderID]*holder{}}
}

// setLimits takes the limits of a newer version of the entry.
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

// burstOf is the number of start rights saved up at most, at least one.
func burstOf(perSecond float64) int {
	return max(1, int(perSecond*rateBurst.Seconds()))
}

// report books what a home says of itself. It returns false for a report that is
// older than one booked before.
func (l *ledger) report(r leaseRequest, now time.Time) bool {
	l.dropOlder(r.Home)
	h, ok := l.holders[r.Home]
	if !ok {
		h = &holder{ID: r.Home}
		l.holders[r.Home] = h
	}
	if r.Seq < h.Seq {
		return false
	}
	h.Seq = r.Seq
	h.seen = now
	h.Held = max(r.Holding, r.InUse)
	h.InUse = r.InUse
	h.Queued = 0
	l.withdraw(r.Home)
	return true
}

// dropOlder drops earlier processes of a daemon: their requests ended with them.
func (l *ledger) dropOlder(id holderID) {
	for other := range l.holders {
		if other.Daemon == id.Daemon && other.Incarnation != id.Incarnation {
			l.withdraw(other)
			delete(l.holders, other)
		}
	}
}

// withdraw ends the open question of a home, if any.
func (l *ledger) withdraw(id holderID) {
	l.asks = slices.DeleteFunc(l.asks, func(a *ask) bool {
		if a.home != id {
			return false
		}
		a.finish()
		return true
	})
}

// forget drops homes for which gone holds.
func (l *ledger) forget(gone func(h *holder) bool) {
	for id, h := range l.holders {
		if gone(h) {
			l.withdraw(id)
			delete(l.holders, id)
		}
	}
}

// held is the sum of what all homes may have under way.
func (l *ledger) held() int {
	sum := 0
	for _, h := range l.holders {
		sum += h.Held
	}
	return sum
}

// free is the number of permits that can be granted; limited is false when the
// entry has no such limit.
func (l *ledger) free() (n int, limited bool) {
	if l.limits.MaxConcurrent == 0 {
		return 0, false
	}
	return max(0, l.limits.MaxConcurrent-l.held()), true
}

// distribute grants permits and start rights to open questions, one at a time in
// the order of arrival, and finishes those that were granted something.
func (l *ledger) distribute(now time.Time) {
	for granted := true; granted; {
		granted = false
		for _, a := range l.asks {
			permit := l.grantPermit(a)
			start := l.grantStart(a, now)
			granted = granted || permit || start
		}
	}
	l.asks = slices.DeleteFunc(l.asks, func(a *ask) bool {
		if a.gotPermits+a.gotStarts == 0 {
			return false
		}
		a.finish()
		return true
	})
}

// grantPermit grants one permit if one is wanted and free.
func (l *ledger) grantPermit(a *ask) bool {
	free, limited := l.free()
	if a.permits == 0 || (limited && free == 0) {
		return false
	}
	a.permits--
	a.gotPermits++
	l.holders[a.home].Held++
	return true
}

// grantStart grants one start right if one is wanted and free.
func (l *ledger) grantStart(a *ask, now time.Time) bool {
	if a.starts == 0 || l.starts == nil || !l.starts.AllowN(now, 1) {
		return false
	}
	a.starts--
	a.gotStarts++
	return true
}

// nextStart is the time until a start right is free; 0 when one is free or the
// entry has no rate.
func (l *ledger) nextStart(now time.Time) time.Duration {
	if l.starts == nil {
		return 0
	}
	missing := 1 - l.starts.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / l.limits.RatePerSecond * float64(time.Second))
}

// allowed is the number of requests that a home may have under way: what it was
// granted, or less when the limit was lowered below what the homes hold. All that
// others hold counts as in use, so a home is left only what they cannot take.
func (l *ledger) allowed(id holderID) int {
	h := l.holders[id]
	if l.limits.MaxConcurrent == 0 {
		return h.Held
	}
	others := l.held() - h.Held
	return min(h.Held, max(0, l.limits.MaxConcurrent-others))
}

// admitQueued books waiting requests of a home as far as the limit permits and
// returns the number, negative for no limit.
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

// queueExceeded reports whether more requests of a home wait than the limit
// permits, so that the home has to be told at once.
func (l *ledger) queueExceeded(r leaseRequest) bool {
	n := l.admitQueued(r.Home, r.Waiting)
	return n >= 0 && n < r.Waiting
}

// othersWait reports whether another home has an open question.
func (l *ledger) othersWait(id holderID) bool {
	return slices.ContainsFunc(l.asks, func(a *ask) bool { return a.home != id })
}

// idle reports whether the books are empty.
func (l *ledger) idle() bool {
	for _, h := range l.holders {
		if h.Held > 0 || h.Queued > 0 {
			return false
		}
	}
	return len(l.asks) == 0
}
