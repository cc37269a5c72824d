package catalogue

import (
	"github.com/VictoriaMetrics/metrics"
)

// counters holds the counter metrics of a catalogue.
type counters struct {
	malformed      *metrics.Counter
	refused        *metrics.Counter
	fromPlatform   *metrics.Counter
	fromPeers      *metrics.Counter
	exchangeFailed *metrics.Counter
	pushFailed     *metrics.Counter
}

// newCounters registers the metrics of c in set, gauges included.
func newCounters(set *metrics.Set, c *Catalogue) counters {
	set.GetOrCreateGauge("ibisline_catalogue_revision", func() float64 { return float64(c.Revision()) })
	set.GetOrCreateGauge("ibisline_catalogue_entries", func() float64 { return float64(c.table.Size()) })
	return counters{
		malformed:      set.GetOrCreateCounter("ibisline_catalogue_malformed_total"),
		refused:        set.GetOrCreateCounter("ibisline_catalogue_stale_refusals_total"),
		fromPlatform:   set.GetOrCreateCounter(`ibisline_catalogue_changes_total{source="platform"}`),
		fromPeers:      set.GetOrCreateCounter(`ibisline_catalogue_changes_total{source="peer"}`),
		exchangeFailed: set.GetOrCreateCounter("ibisline_catalogue_exchange_failures_total"),
		pushFailed:     set.GetOrCreateCounter("ibisline_catalogue_push_failures_total"),
	}
}
