// Package retrybudget bounds the requests that are sent a second time to a
// fraction of all requests, so that retries and moves cannot add to an overload.
package retrybudget

import "time"

const (
	// Ratio is the fraction of requests that may be sent again.
	Ratio = 0.1
	// burst is the most that is saved up, in retries.
	burst = 30.0
	// trickle is the number of retries a second that are allowed without any
	// new requests, so that a quiet site can retry at all.
	trickle = 0.1
)

// Budget counts retries against requests. It is not safe for concurrent use.
type Budget struct {
	saved float64
	last  time.Time
}

// New returns a full budget.
func New(now time.Time) *Budget { return &Budget{saved: burst, last: now} }

// Request counts a request that is sent for the first time.
func (b *Budget) Request() { b.saved = min(b.saved+Ratio, burst) }

// Spend takes one retry out of the budget, or returns false when it is used up.
func (b *Budget) Spend(now time.Time) bool {
	b.saved = min(b.saved+trickle*max(now.Sub(b.last).Seconds(), 0), burst)
	b.last = now
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
