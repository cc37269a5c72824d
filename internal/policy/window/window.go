// Package window limits the concurrent requests of an engine. The limit adapts to
// the time between tokens observed on the streams, because the engine's own load
// report is late. It shrinks at once and grows slowly. Within the limit, admission
// is also bounded by KV memory and by the prompt tokens not computed yet, so that
// no queue builds up inside the engine, which has no request priorities.
package window

import "time"

// Config sets the bounds of a window. A zero value disables a bound, except for
// Limit.
type Config struct {
	// Limit is the initial limit of concurrent requests.
	Limit int
	// Fixed disables adaptation and all bounds but Limit.
	Fixed bool
	// MaxLimit is the upper bound of an adaptive limit.
	MaxLimit int
	// GapTarget is the target for the time between two tokens of a stream.
	GapTarget time.Duration
	// FirstTokenTarget is the target for the time to the first token.
	FirstTokenTarget time.Duration
	// KVTokens is the engine's KV memory in tokens.
	KVTokens int
}

const (
	minLimit = 1
	// decodeSamplesPerStream is the number of tokens per stream required before
	// decodeGap may lower the limit.
	decodeSamplesPerStream = 4
	// gapSamplesPerStream is the number of tokens per stream over which gap is
	// averaged.
	gapSamplesPerStream = 64
	// shrinkThreshold and growThreshold are fractions of GapTarget.
	shrinkThreshold = 1.05
	growThreshold   = 0.9
	// minShrinkFactor is the lower bound of the factor of one step down.
	minShrinkFactor = 0.5
	growFraction    = 0.05
	// searchGrowFraction applies until the capacity of the engine is known.
	searchGrowFraction = 0.5
	growInterval       = time.Second
	// maxQueuedFraction is the highest ratio of waiting to running sequences
	// inside an engine that the arrivals of one engine step explain.
	maxQueuedFraction = 0.125
	// gapStaleAfter is the time without tokens after which a gap is outdated.
	gapStaleAfter          = 10 * time.Second
	growthPauseAfterShrink = 3 * time.Second
	// prefillFraction is the fraction of FirstTokenTarget available for the
	// prefill of the admitted prompts.
	prefillFraction = 0.75
	// DefaultPrefillRate is the prefill rate assumed before the first observation,
	// in tokens per second.
	DefaultPrefillRate = 8000.0
	rateWeight         = 0.125
	// minRateTokens is the minimum prompt length for an estimate of the rate.
	minRateTokens = 256
)

// Need is the estimated resource demand of one request.
type Need struct {
	// KVTokens is the maximum KV memory of the request in tokens.
	KVTokens int
	// PrefillTokens is the estimated number of uncached prompt tokens.
	PrefillTokens int
}

// Window is the admission state of one engine. It is not safe for concurrent use.
type Window struct {
	config        Config
	limit         float64
	running       int
	kvTokens      int
	prefillTokens int
	streams       int
	// gap is a moving average in nanoseconds over all tokens. decodeGap is a
	// shorter moving average over the tokens that arrived while no admitted
	// prompt was being computed.
	gap           float64
	decodeGap     float64
	decodeSamples int
	prefillRate   float64
	lastTokenAt   time.Time
	shrunkAt      time.Time
	grownAt       time.Time
	// reportedRunning and reportedWaiting are from the latest load report.
	reportedRunning int
	reportedWaiting int
}

// New returns a window without requests.
func New(config Config) *Window {
	return &Window{config: config, limit: float64(max(config.Limit, minLimit)), prefillRate: DefaultPrefillRate}
}

// Limit returns the limit of concurrent requests.
func (w *Window) Limit() int { return max(int(w.limit), minLimit) }

// SetLimit replaces the limit of a fixed window.
func (w *Window) SetLimit(limit int) { w.limit = float64(limit) }

// Running returns the number of requests in flight.
func (w *Window) Running() int { return w.running }

// PrefillTokens returns the number of admitted prompt tokens not computed yet.
func (w *Window) PrefillTokens() int { return w.prefillTokens }

// Gap returns the mean time between tokens, or 0 before the first observation.
// While streams are open it is at least the time since the last token.
func (w *Window) Gap(now time.Time) time.Duration {
	if w.streams == 0 {
		return time.Duration(w.gap)
	}
	return max(time.Duration(w.gap), now.Sub(w.lastTokenAt))
}

// PrefillRate returns the estimated prefill rate in tokens per second.
func (w *Window) PrefillRate() float64 { return w.prefillRate }

// Admits reports whether a request may start now. An empty engine admits any
// request, because one that exceeds the bounds would otherwise wait forever.
func (w *Window) Admits(need Need) bool {
	if w.running >= w.Limit() {
		return false
	}
	if w.running == 0 || w.config.Fixed {
		return true
	}
	return w.kvFits(need) && w.prefillFits(need)
}

func (w *Window) kvFits(need Need) bool {
	return w.config.KVTokens == 0 || w.kvTokens+need.KVTokens <= w.config.KVTokens
}

func (w *Window) prefillFits(need Need) bool {
	if w.config.FirstTokenTarget == 0 || w.prefillTokens == 0 {
		return true
	}
	budget := w.config.FirstTokenTarget.Seconds() * prefillFraction * w.prefillRate
	return float64(w.prefillTokens+need.PrefillTokens) <= budget
}

// Begin adds an admitted request.
func (w *Window) Begin(need Need) {
	w.running++
	w.kvTokens += need.KVTokens
	w.prefillTokens += need.PrefillTokens
}

// AddPrefill adds prompt tokens to a request in flight and returns its new need.
func (w *Window) AddPrefill(need Need, prefillTokens int) Need {
	w.prefillTokens += prefillTokens
	need.PrefillTokens += prefillTokens
	return need
}

// RecordFirstToken records the first token of a request: its prompt has been
// computed.
func (w *Window) RecordFirstToken(need Need, now time.Time) {
	w.prefillTokens -= need.PrefillTokens
	w.streams++
	w.lastTokenAt = now
}

// End removes a request. started reports whether RecordFirstToken was called for it.
func (w *Window) End(need Need, started bool) {
	w.running--
	w.kvTokens -= need.KVTokens
	if started {
		w.streams--
		return
	}
	w.prefillTokens -= need.PrefillTokens
}

// RecordPrefill records the time taken to compute prompt tokens.
func (w *Window) RecordPrefill(tokens int, took time.Duration) {
	if tokens < minRateTokens || took <= 0 {
		return
	}
	w.prefillRate += rateWeight * (float64(tokens)/took.Seconds() - w.prefillRate)
}

// RecordTokenGap records the time between two tokens of a stream and adapts the
// limit. The limit depends only on gaps observed while no prompt is computed: a
// prefill delays the tokens of all streams regardless of their number, so that a
// lower limit would reduce throughput without reducing the gap.
func (w *Window) RecordTokenGap(gap time.Duration, now time.Time) {
	w.lastTokenAt = now
	need := decodeSamplesPerStream * max(w.running, 1)
	if w.gap == 0 {
		w.gap = float64(gap)
	}
	w.gap += (float64(gap) - w.gap) / float64(gapSamplesPerStream*max(w.running, 1))
	if w.prefillTokens > 0 {
		return
	}
	w.decodeGap += (float64(gap) - w.decodeGap) / float64(min(w.decodeSamples+1, need))
	w.decodeSamples++
	if w.config.Fixed || w.config.GapTarget == 0 || w.decodeSamples < need {
		return
	}
	if w.decodeGap > shrinkThreshold*float64(w.config.GapTarget) {
		w.shrinkTo(float64(w.config.GapTarget)/w.decodeGap, now)
	}
}

// shrinkTo lowers the limit to a fraction of the requests in flight. It resets the
// samples, so that the next step depends only on the effect of this one.
func (w *Window) shrinkTo(fraction float64, now time.Time) {
	target := float64(w.running) * max(fraction, minShrinkFactor)
	w.limit = max(min(w.limit, target), minLimit)
	w.decodeSamples = 0
	w.shrunkAt = now
}

// Shrink lowers the limit of a slow engine to a fraction of the requests in flight.
func (w *Window) Shrink(fraction float64, now time.Time) {
	if !w.config.Fixed {
		w.shrinkTo(fraction, now)
	}
}

// ExpireGaps resets the gaps of an engine without recent tokens, so that an
// engine that was slow is tried again.
func (w *Window) ExpireGaps(now time.Time) {
	if w.streams == 0 && now.Sub(w.lastTokenAt) >= gapStaleAfter {
		w.gap = 0
		w.decodeGap = 0
		w.decodeSamples = 0
	}
}

// DecodeGap returns the mean time between tokens while no prompt is computed, or 0
// while unknown. Like Gap it grows while open streams receive no tokens.
func (w *Window) DecodeGap(now time.Time) time.Duration {
	if w.streams == 0 || w.prefillTokens > 0 {
		return time.Duration(w.decodeGap)
	}
	return max(time.Duration(w.decodeGap), now.Sub(w.lastTokenAt))
}

// RecordDemand records that requests wait while the limit is reached. It raises
// the limit by one step when the observed gap and the pauses between steps
// permit.
func (w *Window) RecordDemand(now time.Time) {
	if w.config.Fixed || w.running < w.Limit() || w.Limit() >= w.config.MaxLimit {
		return
	}
	if w.decodeSamples > 0 && w.decodeGap > growThreshold*float64(w.config.GapTarget) {
		return
	}
	if now.Sub(w.shrunkAt) < growthPauseAfterShrink || now.Sub(w.grownAt) < growInterval {
		return
	}
	w.limit = min(w.limit+max(1, w.limit*w.growth()), float64(w.config.MaxLimit))
	w.grownAt = now
}

// growth returns the relative size of one step up. Steps are large until the first
// step down has shown the capacity of the engine, and while the limit is below its
// initial value.
func (w *Window) growth() float64 {
	if w.shrunkAt.IsZero() || w.limit < float64(w.config.Limit) {
		return searchGrowFraction
	}
	return growFraction
}

// RecordLoadReport records the numbers of sequences that run and wait inside the
// engine according to its latest load report.
func (w *Window) RecordLoadReport(running, waiting int) {
	w.reportedRunning = running
	w.reportedWaiting = waiting
}

// RecordLateFirstToken records that the first token of a request arrived much
// later than the prefill of its prompt and of those ahead explains, while the
// given number of streams was open. If the load report also shows a queue inside
// the engine, where the scheduler's order does not apply, the limit is lowered to
// the number of requests that the engine runs. Without a reported queue the
// prompts were only longer than expected. The report is late, so that it is not
// used on its own.
func (w *Window) RecordLateFirstToken(streams int, now time.Time) {
	if w.config.Fixed || now.Sub(w.shrunkAt) < growthPauseAfterShrink {
		return
	}
	if float64(w.reportedWaiting) <= maxQueuedFraction*float64(w.reportedRunning) {
		return
	}
	target := float64(max(streams, w.reportedRunning))
	w.limit = max(min(w.limit, target), minLimit)
	w.shrunkAt = now
}

// Streams returns the number of requests whose first token has arrived.
func (w *Window) Streams() int { return w.streams }
