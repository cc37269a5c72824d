package main

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// samples reads the counters of all daemons.
func (s *site) samples(ctx context.Context) ([]sample, error) {
	var all []sample
	for _, daemon := range s.daemons {
		values, err := readMetrics(ctx, s.Addr(daemon))
		if err != nil {
			return nil, errors.Wrapf(err, "metrics of %s", daemon)
		}
		all = append(all, sample{
			cpuSeconds: values["process_cpu_seconds_total"],
			rss:        values["process_resident_memory_bytes"],
			peerBytes:  values["ibisline_peer_sent_bytes_total"] + values["ibisline_peer_received_bytes_total"],
		})
	}
	return all, nil
}

// readMetrics returns the metrics without labels of one daemon, by name.
func readMetrics(ctx context.Context, addr string) (map[string]float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/metrics", nil)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "read metrics")
	}
	defer response.Body.Close()
	values := map[string]float64{}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, text, ok := strings.Cut(lines.Text(), " ")
		if !ok {
			continue
		}
		if value, err := strconv.ParseFloat(text, 64); err == nil {
			values[name] = value
		}
	}
	return values, lines.Err()
}
