// Package transfer tracks the KV cache imports of an engine: the mean transfer rate,
// and the source engines to avoid for some time after a failed import.
package transfer

import (
	"slices"
	"time"
)

const (
	// rateWeight is the weight of one import in the moving average of the rate.
	rateWeight = 0.25
	// rateTTL is the lifetime of an observed rate. It expires so that a link that
	// was slow is tried again.
	rateTTL = time.Minute
	// initialBackoff follows a failure; each further one doubles it up to
	// maxBackoff.
	initialBackoff = 5 * time.Second
	maxBackoff     = 5 * time.Minute
)

// History is the import history of one engine. It is not safe for concurrent use.
type History struct {
	meanRate   float64
	observedAt time.Time
	sources    map[string]*failedSource
}

// failedSource is another engine whose last import failed.
type failedSource struct {
	backoff time.Duration
	retryAt time.Time
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{sources: map[string]*failedSource{}} }

// RecordImport records a successful import and resets the backoff of its source.
func (h *History) RecordImport(from string, tokens int, took time.Duration, now time.Time) {
	delete(h.sources, from)
	if tokens <= 0 || took <= 0 {
		return
	}
	rate := float64(tokens) / took.Seconds()
	if h.Rate(now) == 0 {
		h.meanRate = rate
	}
	h.meanRate += rateWeight * (rate - h.meanRate)
	h.observedAt = now
}

// RecordFailure records an import that failed or timed out. Failures during the
// backoff count as one, because the imports ran concurrently.
func (h *History) RecordFailure(from string, now time.Time) {
	s := h.sources[from]
	if s == nil {
		s = &failedSource{backoff: initialBackoff}
		h.sources[from] = s
	} else if now.After(s.retryAt) {
		s.backoff = min(2*s.backoff, maxBackoff)
	}
	s.retryAt = now.Add(s.backoff)
}

// Rate returns the mean rate in tokens per second, or 0 if none was observed within
// rateTTL.
func (h *History) Rate(now time.Time) float64 {
	if now.Sub(h.observedAt) > rateTTL {
		return 0
	}
	return h.meanRate
}

// Avoided returns the sorted names of the engines from which nothing should be
// imported now.
func (h *History) Avoided(now time.Time) []string {
	var names []string
	for name, s := range h.sources {
		if now.Before(s.retryAt) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
