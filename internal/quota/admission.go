package quota

import (
	"math"
	"time"
)

const (
	// targetLevel is the level that is kept while a team asks for more than its quota: requests then wait
	// for a quarter of maxPermitWait. Waits beyond that limit are denied to all programs alike.
	targetLevel = 0.35
	// emptyLevel is the level below which the fraction falls at once.
	emptyLevel = 0.15
	// integralGain and proportionalGain set how the logarithm of the fraction follows the level. With a
	// burst of about a second of the quota, the loop is damped by half and settles within 2 s.
	integralGain     = 4.0
	proportionalGain = 2.0
	emptyRate        = 2.0
	// maxLevel limits how fast the fraction rises.
	maxLevel = 0.8
	// minAdmitted keeps some programs running, so that the fraction can rise again.
	minAdmitted = 0.005
	// maxStep limits the time that one update accounts for: what lies before the last report of a gateway
	// is not known, and a single empty moment must not shed most programs of a small team.
	maxStep = reportInterval
)

// admission is the fraction of a team's programs that may wait for permits, controlled by the level of its
// bucket: 0 if requests have to wait for maxPermitWait, 1 if the bucket is full. It is a state machine
// without a clock.
type admission struct {
	base      float64
	updatedAt time.Time
}

func newAdmission(now time.Time) admission { return admission{base: 1, updatedAt: now} }

// update moves the fraction according to the level since the last update.
func (a *admission) update(level float64, now time.Time) {
	step := min(max(now.Sub(a.updatedAt), 0), maxStep).Seconds()
	a.updatedAt = now
	change := integralGain * (min(level, maxLevel) - targetLevel)
	switch {
	case level < emptyLevel:
		change = -emptyRate
	case a.base == 1:
		// A team that comes close to its quota for a moment is not beyond it.
		return
	}
	a.base = min(max(a.base*math.Exp(change*step), minAdmitted), 1)
}

// fraction returns the fraction at a level.
func (a *admission) fraction(level float64) float64 {
	if a.base == 1 {
		return 1
	}
	return min(a.base*math.Exp(proportionalGain*(min(level, maxLevel)-targetLevel)), 1)
}
