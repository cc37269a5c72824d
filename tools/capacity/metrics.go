package main

import (
	"context"

	"ibisline/internal/fake/fleet"
)

// samples reads the counters of all daemons.
func (s *site) samples(ctx context.Context) ([]sample, error) {
	var all []sample
	for _, daemon := range s.daemons {
		values, err := s.Metrics(ctx, daemon)
		if err != nil {
			return nil, err
		}
		all = append(all, sample{
			cpuSeconds: values[fleet.MetricCPUSeconds],
			rss:        values[fleet.MetricResidentBytes],
			peerBytes:  values["ibisline_peer_sent_bytes_total"] + values["ibisline_peer_received_bytes_total"],
		})
	}
	return all, nil
}
