package quota

import (
	"math"
	"time"
)

const (
	// recentStep is the resolution in which a gateway remembers what it has admitted, and recentSteps the number of
	// steps. They cover the time in which the largest bursts fill up again, and a quota window twice.
	recentStep  = 250 * time.Millisecond
	recentSteps = 40
)

// step is a time in units of recentStep since the process started.
type step int64

// recent counts the admitted requests of one team in the last recentSteps.
type recent struct {
	counts [recentSteps]int32
	newest step
}

// advance forgets steps that lie too far back.
func (r *recent) advance(to step) {
	if to-r.newest > recentSteps {
		r.newest = to - recentSteps
	}
	for r.newest < to {
		r.newest++
		r.counts[r.newest%recentSteps] = 0
	}
}

// add counts n requests, which is negative for those that did not run.
func (r *recent) add(at step, n int32) {
	r.advance(at)
	count := &r.counts[r.newest%recentSteps]
	*count = max(*count+n, 0)
}

// list returns the counts, the newest first, without zeros at the end.
func (r *recent) list(to step) []int {
	r.advance(to)
	var counts []int
	for i := range step(recentSteps) {
		if r.newest < i {
			break
		}
		if n := r.counts[(r.newest-i)%recentSteps]; n > 0 {
			counts = append(counts, make([]int, int(i)-len(counts))...)
			counts = append(counts, int(n))
		}
	}
	return counts
}

// usageRecord is what several gateways know of the use of one team's quota before a term began. Its first step is
// the one before that time.
type usageRecord struct {
	counts [recentSteps]int
	// left holds the least part of the burst that an issuer had left in each step, 1 if none said so.
	left [recentSteps]float64
}

func newUsageRecord() *usageRecord {
	r := &usageRecord{}
	for i := range r.left {
		r.left[i] = 1
	}
	return r
}

// add includes what a gateway has said the given number of steps after the term began.
func (r *usageRecord) add(said teamUsage, after int) {
	for i, n := range said.Counts {
		if i-after < recentSteps {
			r.counts[max(i-after, 0)] += n
		}
	}
	if heard := int(said.HeardAgo/recentStep) - after; said.Heard && heard >= 0 && heard < recentSteps {
		r.left[heard] = min(r.left[heard], said.Left)
	}
}

// coverage is the number of gateways that know what they have admitted, in each step.
type coverage [recentSteps]int

// add includes a gateway that knows its last steps.
func (c *coverage) add(steps int) {
	for i := range min(max(steps, 0), recentSteps) {
		c[i]++
	}
}

// level returns how much of a quota is left after the recorded use of it by a number of gateways. Those of
// which a step is not known count as the average of the others; what lies further back than any gateway knows has
// left the level before.
func (r *usageRecord) level(of limit, gateways int, known coverage, before float64) float64 {
	burst, perStep := float64(of.burst), of.perSecond*recentStep.Seconds()
	level := burst
	if known[recentSteps-1] == 0 {
		level = min(before, burst)
	}
	for i := recentSteps - 1; i >= 0; i-- {
		level = min(level, r.left[i]*burst)
		if known[i] == 0 {
			continue
		}
		if i > 0 {
			level = min(level+perStep, burst)
		}
		level -= float64(r.counts[i])
		unknown := float64(r.counts[i]*max(gateways-known[i], 0)) / float64(known[i])
		level = max(level-unknown, min(level, 0))
	}
	return level
}

// rate returns the rate of the recorded requests at the end.
func (r *usageRecord) rate(gateways int, known coverage, at time.Time) usageRate {
	rate := usageRate{at: at}
	for i, n := range r.counts {
		if known[i] == 0 {
			continue
		}
		scaled := float64(n) * max(float64(gateways)/float64(known[i]), 1)
		age := float64(i) * recentStep.Seconds()
		rate.perSecond += scaled / rateMemory.Seconds() * math.Exp(-age/rateMemory.Seconds())
	}
	return rate
}
