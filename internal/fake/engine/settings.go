// Package engine simulates a model engine over HTTP: continuous batching in steps,
// a prefix cache in limited memory, delayed load reports and cache events, and
// faults that tests inject at run time. Its answers are a function of the prompt,
// so that a caller can check each of them.
package engine

import "time"

// Settings configure one engine. Durations are multiplied by Scale.
type Settings struct {
	Name   string
	Models []string
	// KVTokens is the capacity of the KV memory in tokens.
	KVTokens int
	// MaxBatch bounds the sequences of one step.
	MaxBatch int
	// TokensPerStep is the number of tokens that a sequence generates in a step.
	TokensPerStep int
	// StepBase is the duration of a step without sequences. Each decoding sequence
	// adds StepPerSequence, and each prefilled prompt token PrefillPerToken.
	StepBase        time.Duration
	StepPerSequence time.Duration
	PrefillPerToken time.Duration
	// PrefillChunk bounds the prompt tokens prefilled in one step.
	PrefillChunk int
	// ImportRate is the rate at which KV cache is imported, in tokens a second;
	// 0 means that the engine neither imports nor exports.
	ImportRate float64
	// LoadLag is the age of load reports, EventLag the age of cache events.
	LoadLag  time.Duration
	EventLag time.Duration
	// EventGap is the interval of lost cache events: each EventGap-th event is
	// lost; 0 loses none.
	EventGap int
	// Fences makes the engine reject orders with an old fencing number.
	Fences bool
	// CrashMarker in the content of a message crashes the engine that runs it.
	CrashMarker string
	// RestartAfter is the time that a crashed engine stays down.
	RestartAfter time.Duration
	// Scale multiplies every duration; below 1 the engine runs faster.
	Scale float64
}

// DefaultSettings returns the settings of a typical engine: steps of 20 ms that
// double at 40 sequences, and prefill at 8,000 tokens per second.
func DefaultSettings() Settings {
	return Settings{
		Name:            "engine-1",
		Models:          []string{"base"},
		KVTokens:        64_000,
		MaxBatch:        64,
		TokensPerStep:   1,
		StepBase:        20 * time.Millisecond,
		StepPerSequence: 500 * time.Microsecond,
		PrefillPerToken: 125 * time.Microsecond,
		PrefillChunk:    512,
		LoadLag:         2 * time.Second,
		EventLag:        time.Second,
		EventGap:        7,
		Fences:          true,
		CrashMarker:     "[crash-engine]",
		RestartAfter:    500 * time.Millisecond,
		Scale:           1,
	}
}

// scaled multiplies d by Scale.
func (s Settings) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * s.Scale)
}

// Faults are the failures that the engine simulates. The zero value simulates none.
type Faults struct {
	// Speed multiplies the speed of the engine; 0 means 1.
	Speed float64 `json:"speed"`
	// Leaving rejects new requests with status 503.
	Leaving bool `json:"leaving"`
	// AcceptLeaving makes a leaving engine run new requests and count them.
	AcceptLeaving bool `json:"accept_leaving"`
	// Hang stops all steps.
	Hang bool `json:"hang"`
	// RefuseRelease is the number of upcoming release requests that fail.
	RefuseRelease int `json:"refuse_release"`
	// HangExport makes exports of KV cache hang until the caller gives up.
	HangExport bool `json:"hang_export"`
	// IgnoreFence makes the engine accept orders with any fencing number.
	IgnoreFence bool `json:"ignore_fence"`
	// Crash crashes the engine once, when the faults are set.
	Crash bool `json:"crash"`
}

// Counts holds the engine's counters since its creation; a crash does not reset
// them.
type Counts struct {
	// Requests counts chat requests by X-Request-Id.
	Requests map[string]int `json:"requests"`
	// Executions counts requests that reached the batch, by program and prompt:
	// "PROGRAM#<prompt hash>".
	Executions map[string]int `json:"executions"`
	Finished   int            `json:"finished"`
	Canceled   int            `json:"canceled"`
	Crashes    int            `json:"crashes"`
	// LeavingRefused and LeavingRun count requests that arrived while the engine
	// was leaving, LeavingLate those that arrived more than LeavingGrace after it
	// began to leave.
	LeavingRefused int `json:"leaving_refused"`
	LeavingRun     int `json:"leaving_run"`
	LeavingLate    int `json:"leaving_late"`
	PromptTokens   int `json:"prompt_tokens"`
	CachedTokens   int `json:"cached_tokens"`
	OutputTokens   int `json:"output_tokens"`
	// TotalTokens is the sum of PromptTokens and OutputTokens.
	TotalTokens int `json:"total_tokens"`
	Evictions   int `json:"evictions"`
	Released    int `json:"released"`
	// Exports counts the requested exports.
	Exports int `json:"exports"`
	// Imports and ImportedTokens count the KV caches imported from other engines.
	Imports        int `json:"imports"`
	ImportedTokens int `json:"imported_tokens"`
	OrdersTaken    int `json:"orders_taken"`
	OrdersRefused  int `json:"orders_refused"`
	// Steps counts all steps, LateSteps those that ended more than
	// lateStepThreshold after their planned time because the machine was busy.
	Steps     int `json:"steps"`
	LateSteps int `json:"late_steps"`
	// Running and Waiting are the current numbers of sequences, KVUsed is the
	// memory in use in tokens.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	KVUsed  int `json:"kv_used"`
}

// lateStepThreshold is the delay beyond which a step counts as late.
const lateStepThreshold = 5 * time.Millisecond

// LeavingGrace is the time within which callers must detect that an engine is
// leaving.
const LeavingGrace = 3 * time.Second
