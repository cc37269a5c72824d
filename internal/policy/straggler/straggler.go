// Package straggler detects engines that are slower than their peers of the same
// model. It uses the time between tokens observed on the streams, because the load
// reports of the engines show a slowdown too late.
package straggler

import (
	"slices"
	"time"
)

const (
	// slowRatio and recoveredRatio are thresholds of an engine's gap relative to
	// the median of its peers. They differ so that an engine whose ratio is near
	// a single threshold does not alternate between slow and normal.
	slowRatio      = 2.0
	recoveredRatio = 1.4
	// minTargetRatio is the minimum ratio of the gap of a slow engine to the
	// target. Below it the engine is loaded rather than a straggler.
	minTargetRatio = 1.25
	minPeers       = 2
)

// Detector tracks whether one engine is slow. The zero value is an engine that is
// not slow.
type Detector struct {
	slow bool
}

// Slow returns the result of the last call of Judge.
func (d *Detector) Slow() bool { return d.slow }

// Judge compares the mean time between tokens of an engine with those of its peers
// and reports whether the engine is slow. Gaps of 0 are unknown and ignored. An
// engine is not slow if its own gap or the gaps of too many peers are unknown.
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
	d.slow = ratio > slowRatio && float64(own) > minTargetRatio*float64(target)
	return d.slow
}

// medianOf returns the lower median of the known gaps, or false if fewer than
// minPeers are known.
func medianOf(gaps []time.Duration) (time.Duration, bool) {
	known := slices.DeleteFunc(slices.Clone(gaps), func(gap time.Duration) bool { return gap == 0 })
	if len(known) < minPeers {
		return 0, false
	}
	slices.Sort(known)
	return known[(len(known)-1)/2], true
}
