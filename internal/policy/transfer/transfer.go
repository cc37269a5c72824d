// Package transfer remembers how quickly an engine imports KV cache from each
// other engine, and which imports failed, so that they are not tried again at
// once.
package transfer

import (
	"slices"
	"time"
)

const (
	// rateWeight is the weight of one import in the mean rate.
	rateWeight = 0.25
	// rateLife is the time after which an observed rate is forgotten, so that a
	// link that was slow is tried again.
	rateLife = time.Minute
	// firstPause follows a failure; each further one doubles it up to maxPause.
	firstPause = 5 * time.Second
	maxPause   = 5 * time.Minute
)

// History is what one engine's imports showed. It is not safe for concurrent
// use.
type History struct {
	rate     float64
	observed time.Time
	sources  map[string]*source
}

// source is another engine whose last import failed.
type source struct {
	pause time.Duration
	until time.Time
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{sources: map[string]*source{}} }

// Imported records an import of so many tokens.
func (h *History) Imported(from string, tokens int, took time.Duration, now time.Time) {
	delete(h.sources, from)
	if tokens <= 0 || took <= 0 {
		return
	}
	rate := float64(tokens) / took.Seconds()
	if h.Rate(now) == 0 {
		h.rate = rate
	}
	h.rate += rateWeight * (rate - h.rate)
	h.observed = now
}

// Failed records an import that failed or took too long. Those that were under
// way together count once.
func (h *History) Failed(from string, now time.Time) {
	s := h.sources[from]
	if s == nil {
		s = &source{pause: firstPause}
		h.sources[from] = s
	} else if now.After(s.until) {
		s.pause = min(2*s.pause, maxPause)
	}
	s.until = now.Add(s.pause)
}

// Rate is the mean rate in tokens a second, 0 while none was observed lately.
func (h *History) Rate(now time.Time) float64 {
	if now.Sub(h.observed) > rateLife {
		return 0
	}
	return h.rate
}

// Avoided lists the engines from which nothing is to be imported now, sorted.
func (h *History) Avoided(now time.Time) []string {
	var names []string
	for name, s := range h.sources {
		if now.Before(s.until) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
