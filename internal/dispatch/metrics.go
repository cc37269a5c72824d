package dispatch

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"ibisline/internal/policy/fairshare"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// dispatchMetrics holds the dispatcher's metrics.
type dispatchMetrics struct {
	set                     *metrics.Set
	moves                   *metrics.Counter
	retries                 *metrics.Counter
	retriesRefused          *metrics.Counter
	crashes                 *metrics.Counter
	sweptPrograms           *metrics.Counter
	promptTokens            *metrics.Counter
	cachedTokens            *metrics.Counter
	outputTokens            *metrics.Counter
	crossRegionPromptTokens *metrics.Counter
	firstToken              *metrics.Histogram
	// transfers counts KV cache transfers, transferredTokens their tokens.
	transfers         *metrics.Counter
	transferredTokens *metrics.Counter
	transferFailures  *metrics.Counter
	transferDuration  *metrics.Histogram
}

func newDispatchMetrics(set *metrics.Set) *dispatchMetrics {
	return &dispatchMetrics{
		set:                     set,
		moves:                   set.GetOrCreateCounter("ibisline_dispatch_moves_total"),
		retries:                 set.GetOrCreateCounter("ibisline_dispatch_retries_total"),
		retriesRefused:          set.GetOrCreateCounter("ibisline_dispatch_retries_refused_total"),
		crashes:                 set.GetOrCreateCounter("ibisline_dispatch_engine_crashes_total"),
		sweptPrograms:           set.GetOrCreateCounter("ibisline_dispatch_swept_programs_total"),
		promptTokens:            set.GetOrCreateCounter("ibisline_dispatch_prompt_tokens_total"),
		cachedTokens:            set.GetOrCreateCounter("ibisline_dispatch_cached_tokens_total"),
		outputTokens:            set.GetOrCreateCounter("ibisline_dispatch_output_tokens_total"),
		crossRegionPromptTokens: set.GetOrCreateCounter("ibisline_dispatch_far_prompt_tokens_total"),
		firstToken:              set.GetOrCreateHistogram("ibisline_dispatch_first_token_seconds"),

		transfers:         set.GetOrCreateCounter("ibisline_dispatch_kv_transfers_total"),
		transferredTokens: set.GetOrCreateCounter("ibisline_dispatch_kv_transferred_tokens_total"),
		transferFailures:  set.GetOrCreateCounter("ibisline_dispatch_kv_transfer_failures_total"),
		transferDuration:  set.GetOrCreateHistogram("ibisline_dispatch_kv_transfer_seconds"),
	}
}

// countTokens adds the token usage of a finished request.
func (m *dispatchMetrics) countTokens(usage structs.Usage) {
	m.promptTokens.Add(usage.PromptTokens)
	m.cachedTokens.Add(usage.CachedTokens)
	m.outputTokens.Add(usage.OutputTokens)
}

// countTransfer counts a KV cache transfer.
func (m *dispatchMetrics) countTransfer(tokens int, took time.Duration) {
	m.transfers.Inc()
	m.transferredTokens.Add(tokens)
	m.transferDuration.Update(took.Seconds())
}

// observeWait records the time that a request of a class waited for a slot.
func (m *dispatchMetrics) observeWait(class string, wait time.Duration) {
	name := fmt.Sprintf("ibisline_dispatch_wait_seconds{class=%q}", classLabel(class))
	m.set.GetOrCreateHistogram(name).Update(wait.Seconds())
}

// countFailure counts a call that ended with an error.
func (m *dispatchMetrics) countFailure(err error) {
	failed := verdict.From(err)
	name := fmt.Sprintf("ibisline_dispatch_failures_total{reason=%q,verdict=%q}", failed.Reason, failed.Verdict)
	m.set.GetOrCreateCounter(name).Inc()
}

// classLabel limits the values of the class label to the known classes.
func classLabel(class string) string {
	switch class {
	case fairshare.Interactive, fairshare.Batch:
		return class
	default:
		return fairshare.Standard
	}
}
