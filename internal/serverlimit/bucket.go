package serverlimit

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// minPerSecond is the rate for servers that name a lower one. Without any request nothing would
	// be heard of the end of the limit.
	minPerSecond = 0.25
	// maxPerSecond keeps the arithmetic of higher limits in range.
	maxPerSecond = 1e6
	// burstPeriod is the time over which unused permits accumulate.
	burstPeriod = 500 * time.Millisecond
)

// bucket grants permits for one run of a server at a rate. A new one is empty: its predecessor, at
// another daemon or in another process, may have granted permits a moment ago. It is not safe for
// concurrent use.
type bucket struct {
	limiter *rate.Limiter
}

func newBucket(perSecond float64, now time.Time) *bucket {
	b := &bucket{limiter: rate.NewLimiter(rate.Limit(perSecond), burstOf(perSecond))}
	b.limiter.AllowN(now, b.limiter.Burst())
	return b
}

// burstOf returns the capacity of a bucket, at least 1.
func burstOf(perSecond float64) int { return max(1, int(perSecond*burstPeriod.Seconds())) }

// setRate changes the rate.
func (b *bucket) setRate(perSecond float64, now time.Time) {
	if float64(b.limiter.Limit()) == perSecond {
		return
	}
	b.limiter.SetLimitAt(now, rate.Limit(perSecond))
	b.limiter.SetBurstAt(now, burstOf(perSecond))
}

// take takes up to count permits and returns their number.
func (b *bucket) take(count int, now time.Time) int {
	granted := min(count, int(math.Floor(b.limiter.TokensAt(now))))
	if granted <= 0 || !b.limiter.AllowN(now, granted) {
		return 0
	}
	return granted
}

// charge takes a permit that cannot be denied. Later requests wait for it.
func (b *bucket) charge(now time.Time) { b.limiter.ReserveN(now, 1) }

// untilNext returns the time until a permit is available.
func (b *bucket) untilNext(now time.Time) time.Duration {
	missing := 1 - b.limiter.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / float64(b.limiter.Limit()) * float64(time.Second))
}

// clampRate returns a limit within the range that a bucket can keep.
func clampRate(perSecond float64) float64 { return min(max(perSecond, minPerSecond), maxPerSecond) }
