package home

import (
	"github.com/VictoriaMetrics/metrics"

	"ibisline/internal/verdict"
)

// counters are the metric counters of a home.
type counters struct {
	claims         *metrics.Counter
	drops          *metrics.Counter
	turns          *metrics.Counter
	turnsFailed    *metrics.Counter
	calls          *metrics.Counter
	outcomeUnknown *metrics.Counter
	gaps           *metrics.Counter
	releases       *metrics.Counter
}

// newCounters registers the metrics of h in set.
func newCounters(set *metrics.Set, h *Home) *counters {
	set.GetOrCreateGauge("ibisline_home_shards", func() float64 { return float64(len(h.heldShards())) })
	set.GetOrCreateGauge("ibisline_home_programs", func() float64 { return float64(h.openPrograms()) })
	return &counters{
		claims:         set.GetOrCreateCounter("ibisline_home_claims_total"),
		drops:          set.GetOrCreateCounter("ibisline_home_drops_total"),
		turns:          set.GetOrCreateCounter(`ibisline_home_turns_total{result="answered"}`),
		turnsFailed:    set.GetOrCreateCounter(`ibisline_home_turns_total{result="failed"}`),
		calls:          set.GetOrCreateCounter(`ibisline_home_orders_total{result="ran"}`),
		outcomeUnknown: set.GetOrCreateCounter(`ibisline_home_orders_total{result="may_have_run"}`),
		gaps:           set.GetOrCreateCounter("ibisline_home_history_gaps_total"),
		releases:       set.GetOrCreateCounter("ibisline_home_releases_confirmed_total"),
	}
}

// openPrograms returns the number of programs in the held shards that have not ended.
func (h *Home) openPrograms() int {
	n := 0
	for _, sh := range h.heldShards() {
		n += sh.openPrograms()
	}
	return n
}

// countOrder counts the end of a non-repeatable call: as run, or as one with an unknown
// outcome. Calls that did not run are not counted.
func (c *counters) countOrder(err error) {
	switch {
	case err == nil:
		c.calls.Inc()
	case !verdict.Is(err, verdict.NotRun):
		c.outcomeUnknown.Inc()
	}
}
