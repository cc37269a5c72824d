// Package shedding decides which programs are served while a service takes fewer requests than are
// asked for. Requests that are shed at random leave hardly any program whole: with 1 in 8 served, a
// program of 11 turns ends with a chance of 1 in 8 billion. Therefore a program is either admitted
// with all its requests or rejected with all of them.
//
// Whether a program is admitted depends on its rank, a hash that all daemons compute alike, and on
// the fraction of programs that this daemon admits. The fraction falls when an admitted request is
// denied, and rises otherwise. The programs that a daemon with a small fraction admits are among
// those of a daemon with a large one, so that a program which changes its daemon is mostly treated
// alike.
package shedding

import (
	"math"
	"time"
)

const (
	// decrease is the factor of the fraction after a denial, at most once per decreaseInterval.
	decrease         = 0.85
	decreaseInterval = 100 * time.Millisecond
	// increasePerSecond is the factor by which the fraction rises in a second.
	increasePerSecond = 1.25
	// minFraction keeps a service in use whose capacity is not known yet.
	minFraction = 0.005
)

// Threshold is the fraction of the programs that are admitted to a service. It is a state machine
// without a clock, and is not safe for concurrent use.
type Threshold struct {
	// fraction is the fraction at updatedAt.
	fraction  float64
	updatedAt time.Time
	deniedAt  time.Time
}

// New returns a Threshold that admits all programs.
func New(now time.Time) *Threshold { return &Threshold{fraction: 1, updatedAt: now} }

// Fraction returns the fraction of the programs that are admitted.
func (t *Threshold) Fraction(now time.Time) float64 {
	seconds := max(now.Sub(t.updatedAt).Seconds(), 0)
	return min(t.fraction*math.Pow(increasePerSecond, seconds), 1)
}

// RecordDenial lowers the fraction after an admitted request was denied.
func (t *Threshold) RecordDenial(now time.Time) {
	if now.Sub(t.deniedAt) < decreaseInterval {
		return
	}
	t.fraction = max(t.Fraction(now)*decrease, minFraction)
	t.updatedAt, t.deniedAt = now, now
}

// Admit reports whether a program with a rank from 0 to 1 is admitted, and otherwise the time after
// which it may be, if nothing is denied until then.
func (t *Threshold) Admit(rank float64, now time.Time) (time.Duration, bool) {
	return Admit(rank, t.Fraction(now))
}

// Admit is Threshold.Admit for a fraction that was derived from that of a Threshold.
func Admit(rank, fraction float64) (time.Duration, bool) {
	if rank < fraction || fraction >= 1 {
		return 0, true
	}
	seconds := math.Log(rank/fraction) / math.Log(increasePerSecond)
	return time.Duration(seconds * float64(time.Second)), false
}
