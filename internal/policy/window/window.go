// Package window decides how many requests an engine may have under way. The
// limit follows the time between tokens that is observed on the streams, because
// the engine's own load report is late; it shrinks at once and grows slowly.
// Within the limit, KV memory and the prompt tokens still to be computed bound
// what is admitted, so that an engine has no queue of its own, in which it would
// know no priorities.
package window

import "time"

// Config bounds a window. Zero values switch a bound off, except for Limit.
type Config struct {
	// Limit is the first limit, or the only one when Fixed is set.
	Limit int
	Fixed bool
	// MaxLimit bounds growth.
	MaxLimit int
	// GapTarget is the time between the tokens of a stream to be kept.
	GapTarget time.Duration
	// FirstTokenTarget is the time to the first token to be kept.
	FirstTokenTarget time.Duration
	// KVTokens is the engine's KV memory in tokens.
	KVTokens int
}

const (
	minLimit = 1
	// streamSamples is the number of tokens of each stream after which a mean
	// gap is acted on.
	streamSamples = 4
	// paceSamples is the number of tokens of each stream over which the mean of
	// all gaps is taken.
	paceSamples = 64
	// shrinkAt and growAt are fractions of GapTarget.
	shrinkAt = 1.05
	growAt   = 0.9
	// shrinkMost bounds one step down.
	shrinkMost   = 0.5
	growFraction = 0.05
	// searchFraction is the step up until the bound of the engine is known.
	searchFraction = 0.5
	growInterval   = time.Second
	// queuedFraction is the part of the running sequences beyond which those that
	// wait inside an engine are more than the arrivals of one step.
	queuedFraction = 0.125
	// staleAfter is the time without tokens after which a gap says nothing.
	staleAfter = 10 * time.Second
	// holdAfterShrink is the time without growth after a step down.
	holdAfterShrink = 3 * time.Second
	// prefillFraction is the part of FirstTokenTarget that admitted prompts may
	// take to compute.
	prefillFraction = 0.75
	// DefaultPrefillRate is the rate assumed before one was observed, in tokens
	// a second.
	DefaultPrefillRate = 8000.0
	rateWeight         = 0.125
	// minRateTokens is the least prompt from which a rate is estimated.
	minRateTokens = 256
)

// Need is what one request takes up.
type Need struct {
	// KVTokens is the most KV memory that the request can use.
	KVTokens int
	// PrefillTokens is the estimated uncached part of its prompt.
	PrefillTokens int
}

// Window is the state of one engine's admission. It is not safe for concurrent
// use.
type Window struct {
	config     Config
	limit      float64
	running    int
	kv         int
	prefilling int
	streaming  int
	// gap is the mean over all tokens of the last seconds, decodeGap a quicker
	// mean over those that came while no admitted prompt was being computed.
	gap         float64
	decodeGap   float64
	samples     int
	prefillRate float64
	lastToken   time.Time
	shrunk      time.Time
	grown       time.Time
	// reportedRunning and reportedWaiting are of the last load report.
	reportedRunning int
	reportedWaiting int
}

// New returns an open window.
func New(config Config) *Window {
	return &Window{config: config, limit: float64(max(config.Limit, minLimit)), prefillRate: DefaultPrefillRate}
}

// Limit is the number of requests allowed under way.
func (w *Window) Limit() int { return max(int(w.limit), minLimit) }

// SetLimit replaces the limit of a fixed window.
func (w *Window) SetLimit(limit int) { w.limit = float64(limit) }

// Running is the number of requests under way.
func (w *Window) Running() int { return w.running }

// Prefilling is the number of admitted prompt tokens still to be computed.
func (w *Window) Prefilling() int { return w.prefilling }

// Gap is the mean time between tokens, 0 before any was observed. While streams
// are open and nothing comes, it is at least the time since the last token.
func (w *Window) Gap(now time.Time) time.Duration {
	if w.streaming == 0 {
		return time.Duration(w.gap)
	}
	return max(time.Duration(w.gap), now.Sub(w.lastToken))
}

// PrefillRate is the estimated rate at which prompts are computed, in tokens a
// second.
func (w *Window) PrefillRate() float64 { return w.prefillRate }

// Admits reports whether a request may begin now. An empty engine admits any
// request, or one that is too large for the bounds would wait for ever.
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
	return w.config.KVTokens == 0 || w.kv+need.KVTokens <= w.config.KVTokens
}

func (w *Window) prefillFits(need Need) bool {
	if w.config.FirstTokenTarget == 0 || w.prefilling == 0 {
		return true
	}
	budget := w.config.FirstTokenTarget.Seconds() * prefillFraction * w.prefillRate
	return float64(w.prefilling+need.PrefillTokens) <= budget
}

// Begin counts an admitted request.
func (w *Window) Begin(need Need) {
	w.running++
	w.kv += need.KVTokens
	w.prefilling += need.PrefillTokens
}

// Add raises the prompt tokens of a request under way and returns its new need.
func (w *Window) Add(need Need, prefillTokens int) Need {
	w.prefilling += prefillTokens
	need.PrefillTokens += prefillTokens
	return need
}

// FirstToken records that a request's prompt was computed.
func (w *Window) FirstToken(need Need, now time.Time) {
	w.prefilling -= need.PrefillTokens
	w.streaming++
	w.lastToken = now
}

// End counts a request out. started says whether FirstToken was called for it.
func (w *Window) End(need Need, started bool) {
	w.running--
	w.kv -= need.KVTokens
	if started {
		w.streaming--
		return
	}
	w.prefilling -= need.PrefillTokens
}

// Prefilled records that so many prompt tokens took so long to compute.
func (w *Window) Prefilled(tokens int, took time.Duration) {
	if tokens < minRateTokens || took <= 0 {
		return
	}
	w.prefillRate += rateWeight * (float64(tokens)/took.Seconds() - w.prefillRate)
}

// Token records the time between two tokens of a stream and adapts the limit.
// The limit follows the gaps beside no prompt only: a prompt that is computed
// delays the tokens of all streams whatever their number, so that a smaller
// limit would cost throughput and not help.
func (w *Window) Token(gap time.Duration, now time.Time) {
	w.lastToken = now
	need := streamSamples * max(w.running, 1)
	if w.gap == 0 {
		w.gap = float64(gap)
	}
	w.gap += (float64(gap) - w.gap) / float64(paceSamples*max(w.running, 1))
	if w.prefilling > 0 {
		return
	}
	w.decodeGap += (float64(gap) - w.decodeGap) / float64(min(w.samples+1, need))
	w.samples++
	if w.config.Fixed || w.config.GapTarget == 0 || w.samples < need {
		return
	}
	if w.decodeGap > shrinkAt*float64(w.config.GapTarget) {
		w.shrinkTo(float64(w.config.GapTarget)/w.decodeGap, now)
	}
}

// shrinkTo lowers the limit to a fraction of what is under way. The samples
// start anew, so that the next step follows from what this one brought.
func (w *Window) shrinkTo(fraction float64, now time.Time) {
	target := float64(w.running) * max(fraction, shrinkMost)
	w.limit = max(min(w.limit, target), minLimit)
	w.samples = 0
	w.shrunk = now
}

// Shrink lowers the limit of an engine that was found to be slow.
func (w *Window) Shrink(fraction float64, now time.Time) {
	if !w.config.Fixed {
		w.shrinkTo(fraction, now)
	}
}

// Forget drops what was observed too long ago, so that an engine that was slow
// is tried again.
func (w *Window) Forget(now time.Time) {
	if w.streaming == 0 && now.Sub(w.lastToken) >= staleAfter {
		w.gap = 0
		w.decodeGap = 0
		w.samples = 0
	}
}

// DecodeGap is the mean time between tokens beside no prompt, 0 while unknown.
// Like Gap it grows while open streams get nothing.
func (w *Window) DecodeGap(now time.Time) time.Duration {
	if w.streaming == 0 || w.prefilling > 0 {
		return time.Duration(w.decodeGap)
	}
	return max(time.Duration(w.decodeGap), now.Sub(w.lastToken))
}

// Wanted tells that requests wait although the limit is used up; it grows by a
// small step when the gap allows.
func (w *Window) Wanted(now time.Time) {
	if w.config.Fixed || w.running < w.Limit() || w.Limit() >= w.config.MaxLimit {
		return
	}
	if w.samples > 0 && w.decodeGap > growAt*float64(w.config.GapTarget) {
		return
	}
	if now.Sub(w.shrunk) < holdAfterShrink || now.Sub(w.grown) < growInterval {
		return
	}
	w.limit = min(w.limit+max(1, w.limit*w.growth()), float64(w.config.MaxLimit))
	w.grown = now
}

// growth is the fraction of one step up: large until a first step down has shown
// where the engine's bound lies, or while the limit is below its first value.
func (w *Window) growth() float64 {
	if w.shrunk.IsZero() || w.limit < float64(w.config.Limit) {
		return searchFraction
	}
	return growFraction
}

// Reported takes over the sequences that run and wait inside the engine by its
// last load report.
func (w *Window) Reported(running, waiting int) {
	w.reportedRunning = running
	w.reportedWaiting = waiting
}

// Queued records that a request's first token came much later than its prompt
// and those ahead take to compute, while so many streams were open. If the load
// report, which is late, shows a queue inside the engine too, in which no order
// of ours holds, the limit falls to what the engine really runs. Without it the
// prompts were only longer than expected.
func (w *Window) Queued(streams int, now time.Time) {
	if w.config.Fixed || now.Sub(w.shrunk) < holdAfterShrink {
		return
	}
	if float64(w.reportedWaiting) <= queuedFraction*float64(w.reportedRunning) {
		return
	}
	target := float64(max(streams, w.reportedRunning))
	w.limit = max(min(w.limit, target), minLimit)
	w.shrunk = now
}

// Streams is the number of requests whose first token has come.
func (w *Window) Streams() int { return w.streaming }
