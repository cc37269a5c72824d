package quota

import (
	"math"
	"time"
)

const (
	// rateMemory is the time constant of the rates of admitted requests.
	rateMemory = 3 * time.Second
	// silentGrace is the time after which an issuer that does not answer counts as cut off. Until then a
	// gateway uses its part of what the issuer had left: that has most likely just ended, and the
	// membership will name another one.
	silentGrace = 1500 * time.Millisecond
	// ownShareFactor is the part of a quota that all gateways together use without their issuer, as
	// that may still grant the quota to others.
	ownShareFactor = 0.5
	// ownBurst is the time over which unused requests of a share accumulate.
	ownBurst = 750 * time.Millisecond
	// partSmoothing is the time constant of a gateway's part of the use of a quota, and partMemory the time for which
	// that is known without an issuer.
	partSmoothing = time.Second
	partMemory    = 2 * time.Second
)

// usageRate is a smoothed rate of requests.
type usageRate struct {
	perSecond float64
	at        time.Time
}

// count includes n requests.
func (r *usageRate) count(n int, now time.Time) {
	*r = usageRate{perSecond: r.rate(now) + float64(n)/rateMemory.Seconds(), at: now}
}

// rate returns the requests a second.
func (r *usageRate) rate(now time.Time) float64 {
	return r.perSecond * math.Exp(-max(now.Sub(r.at), 0).Seconds()/rateMemory.Seconds())
}

// share is what one gateway knows of the quota of a team. It is a state machine without I/O, and is not
// safe for concurrent use.
type share struct {
	// pending is the number of admitted requests that the issuer has not been told of. It is negative
	// after requests that did not run.
	pending int
	// said is the last standing, as of toldAt, which is zero if there is none.
	said   standing
	toldAt time.Time
	// part is the smoothed part of the team's requests that this gateway admits.
	part float64
	// usage is the rate of admitted requests, and recent their numbers.
	usage  usageRate
	recent recent
	// silentSince is the time since which the issuer does not answer, zero while it does.
	silentSince time.Time
	// own limits what is admitted while the issuer is silent, nil while it answers.
	own *allowance
	// programs holds the programs that got permits through this gateway.
	programs programSet
}

func newShare() *share { return &share{said: standing{Fraction: 1}, programs: programSet{}} }

// count includes one admitted request.
func (s *share) count(now time.Time, at step) {
	s.usage.count(1, now)
	s.recent.add(at, 1)
}

// applyStanding applies what the issuer has said.
func (s *share) applyStanding(said standing, now time.Time) {
	if said.PerSecond > 0 {
		weight := 1.0
		if !s.toldAt.IsZero() {
			weight = 1 - math.Exp(-now.Sub(s.toldAt).Seconds()/partSmoothing.Seconds())
		}
		s.part += weight * (min(s.usage.rate(now)/said.PerSecond, 1) - s.part)
	}
	s.said, s.toldAt = said, now
	s.silentSince, s.own = time.Time{}, nil
}

// forget drops what the issuer has said: each request needs a permit until it says more.
func (s *share) forget() {
	s.said, s.toldAt = standing{Tight: true, Fraction: 1}, time.Time{}
}

// isTight reports whether the issuer has said that requests need permits.
func (s *share) isTight() bool { return s.said.Tight && !s.toldAt.IsZero() }

// hasBegun reports whether a program has had requests.
func (s *share) hasBegun(p Program, now time.Time) bool {
	return p.Begun || s.programs.has(p.Rank, now)
}

// refusesNew reports whether a program may not begin, as far as the issuer has said lately.
func (s *share) refusesNew(p Program, now time.Time) bool {
	return !s.hasBegun(p, now) && now.Sub(s.toldAt) < min(s.said.RoomIn, reportInterval)
}

// markSilent records that the issuer does not answer.
func (s *share) markSilent(now time.Time) {
	if s.silentSince.IsZero() {
		s.silentSince = now
	}
}

// isCutOff reports whether the issuer has been silent for so long that it may still grant the quota to others.
func (s *share) isCutOff(now time.Time) bool {
	return !s.silentSince.IsZero() && now.Sub(s.silentSince) >= silentGrace
}

// takeOwn takes a request from this gateway's share of a quota, one of the given number of gateways,
// and returns false if that is used up. The offset, from 0 to 1, differs between the gateways, so that together
// they use fractions of a request too.
func (s *share) takeOwn(of limit, gateways int, offset float64, now time.Time) bool {
	part := s.part
	if s.toldAt.IsZero() || s.silentSince.Sub(s.toldAt) > partMemory {
		part = 1 / float64(gateways)
	}
	perSecond := of.perSecond * ownShareFactor / float64(gateways)
	if !s.isCutOff(now) {
		perSecond = max(perSecond, of.perSecond*part)
	}
	if s.own == nil {
		left := s.said.Left
		if s.said.Tight {
			left = min(left, 0)
		}
		s.own = &allowance{level: offset + left*part - float64(max(s.pending, 0)), at: now}
	}
	return s.own.take(perSecond, now)
}

// allowance is a number of requests that grows with time.
type allowance struct {
	level float64
	at    time.Time
}

// take takes a request, and returns false if there is none. What accumulates is at most what arrives in ownBurst and one
// request, unless there was more before.
func (a *allowance) take(perSecond float64, now time.Time) bool {
	grown := a.level + perSecond*max(now.Sub(a.at), 0).Seconds()
	a.level, a.at = min(grown, max(a.level, 1+perSecond*ownBurst.Seconds())), now
	if a.level < 1 {
		return false
	}
	a.level--
	return true
}
