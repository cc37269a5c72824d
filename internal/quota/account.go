package quota

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// sureFraction is the part of the burst that must be left before permits are not needed any more in a new account,
	// with a new quota, or after a pause.
	sureFraction = 0.9
	// usePause is the time without any message after which gateways may have been cut off and not have reported.
	usePause = 2 * reportInterval
	// admissionMemory is the time for which a new account goes on with the fraction of the programs that the one before
	// has let wait.
	admissionMemory = 5 * time.Second
	// tightFraction is the part of the burst below which gateways need a permit for each request, and
	// looseFraction that above which they need none. The difference keeps them from changing often.
	tightFraction = 0.5
	looseFraction = 0.65
	// tightMargin lowers both levels, in requests: a small team whose gateways report a few requests
	// late stays well within what a quota tolerates.
	tightMargin = 5
	// newProgramFraction is the part of the burst below which no program begins: what is left is for those
	// that have begun.
	newProgramFraction = 0.25
	// programMemory is the time for which a program counts as begun after its last request, and maxPrograms
	// limits the programs that are remembered.
	programMemory = 20 * time.Second
	maxPrograms   = 1024
)

// limit is the quota of a team that one issuer grants.
type limit struct {
	perSecond float64
	burst     int
}

// account is what the issuer of a team's quota knows of it. It is a state machine without I/O, and is
// not safe for concurrent use.
//
// The load pattern: one team sends several times its quota for seconds, through all gateways, while the
// other teams stay within theirs. Requests are admitted without a message as long as the team has
// used little of its quota lately; then each needs a permit, and the team's programs are served whole
// or not at all.
type account struct {
	limit  limit
	bucket *rate.Limiter
	tight  bool
	// waiting is the fraction of the team's programs that may wait for permits.
	waiting admission
	// programs holds the programs that got permits.
	programs programSet
	// usage is the rate of the requests that were granted or reported.
	usage usageRate
	// unsure is set while gateways may have admitted requests that they have not reported, or may be above the quota:
	// what they admit without permits until they hear of that is then all the more.
	unsure bool
	usedAt time.Time
}

// newAccount returns the account of a team that had an amount of its quota left at a time.
func newAccount(of limit, left float64, at, now time.Time) *account {
	a := &account{
		limit: of, bucket: rate.NewLimiter(rate.Limit(of.perSecond), of.burst),
		waiting: newAdmission(now), programs: programSet{}, unsure: true, usedAt: now,
	}
	a.reserve(int(math.Ceil(float64(of.burst)-left)), at)
	a.update(now)
	return a
}

// use records that a gateway has reported, or asked for a permit.
func (a *account) use(now time.Time) {
	if now.Sub(a.usedAt) > usePause {
		a.unsure = true
	}
	a.usedAt = now
}

// follow takes over what an earlier account knows of the team's programs.
func (a *account) follow(earlier *account, now time.Time) {
	a.programs = earlier.programs
	if now.Sub(earlier.usedAt) < admissionMemory {
		a.waiting.base = earlier.waiting.base
	}
}

// setLimit changes the quota. If that is lowered, because another part of it is issued elsewhere, what is left is lowered
// alike.
func (a *account) setLimit(to limit, now time.Time) {
	if a.limit == to {
		return
	}
	if left := a.bucket.TokensAt(now); left > 0 && to.burst < a.limit.burst {
		a.reserve(int(math.Ceil(left*(1-float64(to.burst)/float64(a.limit.burst)))), now)
	}
	a.limit, a.unsure = to, true
	a.bucket.SetLimitAt(now, rate.Limit(to.perSecond))
	a.bucket.SetBurstAt(now, to.burst)
}

// charge takes requests that have been admitted already. Later ones wait for them.
func (a *account) charge(requests int, now time.Time) {
	if requests > 0 {
		a.usage.count(requests, now)
		a.reserve(requests, now)
	}
	a.update(now)
}

// reserve takes requests from the bucket.
func (a *account) reserve(requests int, at time.Time) {
	for requests > 0 {
		n := min(requests, a.limit.burst)
		a.bucket.ReserveN(at, n)
		requests -= n
	}
}

// take takes one request of a program. It returns after which time the request may be sent, and false if
// the quota is used up, then with the time after which there may be room.
//
// A program that has begun may wait for its permit, and a new one is refused before the permits run out:
// callers lose what a program has done when it fails halfway, and little when it begins later. If the
// programs that have begun need more than the quota, those of high ranks count as new ones.
func (a *account) take(p Program, maxWait time.Duration, now time.Time) (after time.Duration, granted bool) {
	defer func() {
		if granted {
			a.programs.add(p.Rank, now)
			a.usage.count(1, now)
		}
		a.update(now)
	}()
	if p.Rank >= a.fraction(now) || (!p.Begun && !a.programs.has(p.Rank, now)) {
		if roomIn := a.roomIn(now); roomIn > 0 {
			return roomIn, false
		}
		return 0, a.bucket.AllowN(now, 1)
	}
	reservation := a.bucket.ReserveN(now, 1)
	after = reservation.DelayFrom(now)
	if after > maxWait {
		reservation.CancelAt(now)
		return after, false
	}
	return after, true
}

// update sets whether permits are needed.
func (a *account) update(now time.Time) {
	level, burst := a.bucket.TokensAt(now)+tightMargin, float64(a.limit.burst)
	a.unsure = a.unsure && level-tightMargin < sureFraction*burst
	switch {
	case level < tightFraction*burst, a.unsure:
		a.tight = true
	case level > looseFraction*burst && a.fraction(now) == 1:
		a.tight = false
	}
	a.waiting.update(a.level(now), now)
}

// fraction returns the fraction of the team's programs that may wait for permits.
func (a *account) fraction(now time.Time) float64 { return a.waiting.fraction(a.level(now)) }

// level returns the level of the bucket, from 0 if requests have to wait for maxPermitWait to 1 if it is
// full.
func (a *account) level(now time.Time) float64 {
	debt := a.limit.perSecond * maxPermitWait.Seconds()
	return max(a.bucket.TokensAt(now)+debt, 0) / (float64(a.limit.burst) + debt)
}

// roomIn returns the time until programs may begin, 0 if they may now.
func (a *account) roomIn(now time.Time) time.Duration {
	missing := 1 + newProgramFraction*float64(a.limit.burst) - a.bucket.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	if a.limit.perSecond <= 0 {
		return maxRetryAfter
	}
	return time.Duration(missing / a.limit.perSecond * float64(time.Second))
}

// standing returns what the issuer tells the gateways.
func (a *account) standing(now time.Time) standing {
	return standing{
		Tight: a.tight, Fraction: a.fraction(now), RoomIn: a.roomIn(now),
		Left: a.bucket.TokensAt(now), Burst: a.limit.burst,
		PerSecond: max(a.limit.perSecond, a.usage.rate(now)),
	}
}
