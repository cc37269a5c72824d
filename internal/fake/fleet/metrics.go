package fleet

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// Names of the process metrics of a daemon.
const (
	MetricCPUSeconds    = "process_cpu_seconds_total"
	MetricResidentBytes = "process_resident_memory_bytes"
)

// Metrics returns the values of a daemon's metrics without labels, by metric name.
func (f *Fleet) Metrics(ctx context.Context, daemon string) (map[string]float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.Addr(daemon)+"/metrics", nil)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	response, err := f.http.Do(request)
	if err != nil {
		return nil, errors.Wrapf(err, "read metrics of %s", daemon)
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
