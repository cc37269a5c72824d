package dispatch

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"ibisline/internal/policy/fairshare"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// measures are the dispatcher's metrics.
type measures struct {
	set        *metrics.Set
	moves      *metrics.Counter
	retries    *metrics.Counter
	noBudget   *metrics.Counter
	crashes    *metrics.Counter
	swept      *metrics.Counter
	prompt     *metrics.Counter
	cached     *metrics.Counter
	output     *metrics.Counter
	farPrompts *metrics.Counter
	firstToken *metrics.Histogram
	// transfers counts the caches moved, transferred their tokens.
	transfers     *metrics.Counter
	transferred   *metrics.Counter
	transferFails *metrics.Counter
	transferTime  *metrics.Histogram
}

func newMeasures(set *metrics.Set) *measures {
	return &measures{
		set:        set,
		moves:      set.GetOrCreateCounter("ibisline_dispatch_moves_total"),
		retries:    set.GetOrCreateCounter("ibisline_dispatch_retries_total"),
		noBudget:   set.GetOrCreateCounter("ibisline_dispatch_retries_refused_total"),
		crashes:    set.GetOrCreateCounter("ibisline_dispatch_engine_crashes_total"),
		swept:      set.GetOrCreateCounter("ibisline_dispatch_swept_programs_total"),
		prompt:     set.GetOrCreateCounter("ibisline_dispatch_prompt_tokens_total"),
		cached:     set.GetOrCreateCounter("ibisline_dispatch_cached_tokens_total"),
		output:     set.GetOrCreateCounter("ibisline_dispatch_output_tokens_total"),
		farPrompts: set.GetOrCreateCounter("ibisline_dispatch_far_prompt_tokens_total"),
		firstToken: set.GetOrCreateHistogram("ibisline_dispatch_first_token_seconds"),

		transfers:     set.GetOrCreateCounter("ibisline_dispatch_kv_transfers_total"),
		transferred:   set.GetOrCreateCounter("ibisline_dispatch_kv_transferred_tokens_total"),
		transferFails: set.GetOrCreateCounter("ibisline_dispatch_kv_transfer_failures_total"),
		transferTime:  set.GetOrCreateHistogram("ibisline_dispatch_kv_transfer_seconds"),
	}
}

// finished counts the tokens of an answer.
func (m *measures) finished(usage structs.Usage) {
	m.prompt.Add(usage.PromptTokens)
	m.cached.Add(usage.CachedTokens)
	m.output.Add(usage.OutputTokens)
}

// imported counts a cache that was moved.
func (m *measures) imported(tokens int, took time.Duration) {
	m.transfers.Inc()
	m.transferred.Add(tokens)
	m.transferTime.Update(took.Seconds())
}

// waited records the time that a request of a class waited for its slot.
func (m *measures) waited(class string, wait time.Duration) {
	name := fmt.Sprintf("ibisline_dispatch_wait_seconds{class=%q}", knownClass(class))
	m.set.GetOrCreateHistogram(name).Update(wait.Seconds())
}

// refused counts a call that ended with an error.
func (m *measures) refused(err error) {
	failed := verdict.From(err)
	name := fmt.Sprintf("ibisline_dispatch_failures_total{reason=%q,verdict=%q}", failed.Reason, failed.Verdict)
	m.set.GetOrCreateCounter(name).Inc()
}

// knownClass bounds the label values to the classes that make a difference.
func knownClass(class string) string {
	switch class {
	case fairshare.Interactive, fairshare.Batch:
		return class
	default:
		return fairshare.Standard
	}
}
