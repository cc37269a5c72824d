package quota

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// startFraction is the part of the burst in a new account. Its predecessor, at another gateway or in
	// another process, may have granted requests a moment ago.
	startFraction = 0.4
	// tightFraction is the part of the burst below which gateways need a permit for each request, and
	// looseFraction that above which they need none. The difference keeps them from changing often.
	tightFraction = 0.5
	looseFraction = 0.65
	// tightMargin lowers both levels, in requests: a small team whose gateways report a few requests
	// late stays well within what a quota tolerates.
	tightMargin = 5
	// reserveFraction is the part of the burst that programs with the highest admitted rank leave to the
	// others.
	reserveFraction = 0.05
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
	// admitted is the fraction of the team's programs that may run while permits are short.
	admitted  admission
	createdAt time.Time
}

// newAccount returns the account of a team whose quota has been granted by this issuer only for a time.
func newAccount(of limit, issuedFor time.Duration, now time.Time) *account {
	a := &account{limit: of, bucket: rate.NewLimiter(rate.Limit(of.perSecond), of.burst), admitted: newAdmission(now), createdAt: now}
	start := startFraction*float64(of.burst) + issuedFor.Seconds()*of.perSecond
	a.bucket.AllowN(now, max(of.burst-int(start), 0))
	a.update(now)
	return a
}

// setLimit changes the quota.
func (a *account) setLimit(to limit, now time.Time) {
	if a.limit == to {
		return
	}
	a.limit = to
	a.bucket.SetLimitAt(now, rate.Limit(to.perSecond))
	a.bucket.SetBurstAt(now, to.burst)
}

// chargeSilent takes requests that gateways have admitted while their issuer did not answer. The low
// level of a new account stands for them already.
func (a *account) chargeSilent(requests int, now time.Time) {
	if now.Sub(a.createdAt) > silentGrace {
		a.charge(requests, now)
	}
}

// charge takes requests that have been admitted already. Later ones wait for them.
func (a *account) charge(requests int, now time.Time) {
	for requests > 0 {
		n := min(requests, a.limit.burst)
		a.bucket.ReserveN(now, n)
		requests -= n
	}
	a.update(now)
}

// take takes one request of a program with a rank, and returns false if the quota is used up. The last
// permits are kept for low ranks: those programs are served whole whatever the fraction becomes.
func (a *account) take(rank float64, now time.Time) bool {
	reserve := reserveFraction * float64(a.limit.burst) * min(rank/a.fraction(now), 1)
	granted := a.bucket.TokensAt(now) >= 1+reserve && a.bucket.AllowN(now, 1)
	a.update(now)
	return granted
}

// update sets whether permits are needed.
func (a *account) update(now time.Time) {
	level, burst := a.bucket.TokensAt(now)+tightMargin, float64(a.limit.burst)
	switch {
	case level < tightFraction*burst:
		a.tight = true
	case level > looseFraction*burst && a.fraction(now) == 1:
		a.tight = false
	}
	a.admitted.update(a.level(now), now)
}

// level returns the part of the burst that is left, at most 1.
func (a *account) level(now time.Time) float64 {
	return a.bucket.TokensAt(now) / float64(a.limit.burst)
}

// fraction returns the fraction of the team's programs that may run.
func (a *account) fraction(now time.Time) float64 { return a.admitted.fraction(a.level(now)) }

// untilNext returns the time until the next request may be granted.
func (a *account) untilNext(now time.Time) time.Duration {
	missing := 1 - a.bucket.TokensAt(now)
	if missing <= 0 || a.limit.perSecond <= 0 {
		return 0
	}
	return time.Duration(missing / a.limit.perSecond * float64(time.Second))
}
