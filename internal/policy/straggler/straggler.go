// Package straggler finds engines that are slower than their peers of the same
// model, from the time between tokens observed on the streams. The load reports
// of the engines show it too late.
package straggler

import (
	"slices"
	"time"
)

const (
	// slowRatio and recoveredRatio compare an engine with the median of its
	// peers. They differ so that an engine in between does not alternate.
	slowRatio      = 2.0
	recoveredRatio = 1.4
	// targetRatio is how far beyond the target a gap must be as well: below it
	// a loaded engine is no straggler.
	targetRatio = 1.25
	minPeers    = 2
)

// Detector judges one engine. The zero value takes it for a normal one.
type Detector struct {
	slow bool
}

// Slow tells the last judgement.
func (d *Detector) Slow() bool { return d.slow }

// Judge compares an engine's gap with those of its peers. Gaps of 0 are unknown
// and left out; an engine whose gap is unknown is not slow.
func (d *Detector) Judge(own time.Duration, peers []time.Duration, target time.Duration) bool {
	median, ok := medianOf(peers)
	if own == 0 || !ok {
		d.slow = false
		return false
	}
	ratio := float64(own) / float64(median)
	if d.slow {
		d.slow = ratio > recoveredRatio
		return d.slow
	}
	d.slow = ratio > slowRatio && float64(own) > targetRatio*float64(target)
	return d.slow
}

// medianOf returns the lower median of the known gaps.
func medianOf(gaps []time.Duration) (time.Duration, bool) {
	known := slices.DeleteFunc(slices.Clone(gaps), func(gap time.Duration) bool { return gap == 0 })
	if len(known) < minPeers {
		return 0, false
	}
	slices.Sort(known)
	return known[(len(known)-1)/2], true
}
