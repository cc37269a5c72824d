// Package retrybudget limits the requests that are sent a second time, such as
// retries, to a fraction of all requests, so that they cannot amplify an overload.
package retrybudget

import "time"

const (
	// Ratio is the number of retries allowed per request.
	Ratio = 0.1
	// maxTokens is the capacity of the token bucket, in retries.
	maxTokens = 30.0
	// refillPerSecond is the number of retries per second allowed without new
	// requests, so that a site with little traffic can retry at all.
	refillPerSecond = 0.1
)

// Budget is a token bucket in which one token allows one retry. It is not safe for
// concurrent use.
type Budget struct {
	tokens     float64
	lastRefill time.Time
}

// New returns a full budget.
func New(now time.Time) *Budget { return &Budget{tokens: maxTokens, lastRefill: now} }

// RecordRequest adds the retry allowance of a request that is sent for the first
// time.
func (b *Budget) RecordRequest() { b.tokens = min(b.tokens+Ratio, maxTokens) }

// Spend takes one retry from the budget. It returns false when the budget is
// exhausted.
func (b *Budget) Spend(now time.Time) bool {
	b.tokens = min(b.tokens+refillPerSecond*max(now.Sub(b.lastRefill).Seconds(), 0), maxTokens)
	b.lastRefill = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
