package main

import (
	"context"

	"ibisline/internal/fake/fleet"
)

// readCounters reads the counters of all daemons.
func (t *testFleet) readCounters(ctx context.Context) ([]daemonCounters, error) {
	var all []daemonCounters
	for _, daemon := range t.daemons {
		values, err := t.Metrics(ctx, daemon)
		if err != nil {
			return nil, err
		}
		all = append(all, daemonCounters{
			cpuSeconds: values[fleet.MetricCPUSeconds],
			rssBytes:   values[fleet.MetricResidentBytes],
			peerBytes:  values["ibisline_peer_sent_bytes_total"] + values["ibisline_peer_received_bytes_total"],
		})
	}
	return all, nil
}
