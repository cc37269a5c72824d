package home

import (
	"github.com/VictoriaMetrics/metrics"

	"ibisline/internal/verdict"
)

// counters are the metrics of a home.
type counters struct {
	claims      *metrics.Counter
	drops       *metrics.Counter
	turns       *metrics.Counter
	turnsFailed *metrics.Counter
	calls       *metrics.Counter
	unsettled   *metrics.Counter
	gaps        *metrics.Counter
	releases    *metrics.Counter
}

// newCounters registers the metrics of h in set.
func newCounters(set *metrics.Set, h *Home) *counters {
	set.GetOrCreateGauge("ibisline_home_shards", func() float64 { return float64(len(h.held())) })
	set.GetOrCreateGauge("ibisline_home_programs", func() float64 { return float64(h.openPrograms()) })
	return &counters{
		claims:      set.GetOrCreateCounter("ibisline_home_claims_total"),
		drops:       set.GetOrCreateCounter("ibisline_home_drops_total"),
		turns:       set.GetOrCreateCounter(`ibisline_home_turns_total{result="answered"}`),
		turnsFailed: set.GetOrCreateCounter(`ibisline_home_turns_total{result="failed"}`),
		calls:       set.GetOrCreateCounter(`ibisline_home_orders_total{result="ran"}`),
		unsettled:   set.GetOrCreateCounter(`ibisline_home_orders_total{result="may_have_run"}`),
		gaps:        set.GetOrCreateCounter("ibisline_home_history_gaps_total"),
		releases:    set.GetOrCreateCounter("ibisline_home_releases_confirmed_total"),
	}
}

// openPrograms counts the programs of the held shards that have not ended.
func (h *Home) openPrograms() int {
	n := 0
	for _, sh := range h.held() {
		n += sh.openPrograms()
	}
	return n
}

// countOrder counts the end of a non-repeatable call that reached its send.
func (c *counters) countOrder(err error) {
	switch {
	case err == nil:
		c.calls.Inc()
	case !verdict.Is(err, verdict.NotRun):
		c.unsettled.Inc()
	}
}
