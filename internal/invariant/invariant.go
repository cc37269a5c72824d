// Package invariant checks conditions that must always hold. A violation is counted
// in a metric and logged; in tests it panics.
package invariant

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

var fatal atomic.Bool

// SetFatal sets whether violations panic. Tests enable it.
func SetFatal(on bool) { fatal.Store(on) }

// IsFatal reports whether violations panic, so that checks which are too expensive
// for a production daemon can run in tests only.
func IsFatal() bool { return fatal.Load() }

// Checker counts and logs violations. A nil Checker only panics when Fatal.
type Checker struct {
	set *metrics.Set
	log log.Interface
}

// New returns a Checker that counts violations in set and logs them to logger.
func New(set *metrics.Set, logger log.Interface) *Checker {
	return &Checker{set: set, log: logger}
}

// Check reports a violation of the named invariant if ok is false.
func (c *Checker) Check(ok bool, name, format string, args ...any) {
	if ok {
		return
	}
	text := fmt.Sprintf(format, args...)
	if fatal.Load() {
		panic("invariant " + name + " violated: " + text)
	}
	if c == nil {
		return
	}
	c.set.GetOrCreateCounter(fmt.Sprintf("ibisline_invariant_violations_total{invariant=%q}", name)).Inc()
	c.log.WithField("invariant", name).Error("invariant violated: " + text)
}
