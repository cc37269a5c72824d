// Package engine is a stand-in for a model engine: continuous batching in steps,
// a prefix cache in limited memory, late load reports and cache events, and
// faults that are switched on while it runs. Its answers are a function of the
// prompt, so that a caller can check each of them.
package engine

import "time"

// Settings describe one engine. Durations are multiplied by Scale.
type Settings struct {
	Name   string
	Models []string
	// KVTokens is the capacity of the KV memory in tokens.
	KVTokens int
	// MaxBatch bounds the sequences of one step.
	MaxBatch int
	// TokensPerStep is the number of tokens that a sequence gains in a step.
	TokensPerStep int
	// StepBase is the time of a step over an empty batch; each decoding sequence
	// adds StepPerSequence and each prompt token prefilled PrefillPerToken.
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
	// EventGap loses each EventGap-th cache event; 0 loses none.
	EventGap int
	// Fences makes the engine refuse orders with an old fencing number.
	Fences bool
	// CrashMarker in the content of a message crashes the engine that runs it.
	CrashMarker string
	// RestartAfter is the time that a crashed engine stays down.
	RestartAfter time.Duration
	// Scale multiplies every duration; below 1 the engine runs faster.
	Scale float64
}

// DefaultSettings returns an engine of ordinary size: a step of 20 ms that
// doubles at 40 sequences, and prefill at 8,000 tokens a second.
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

// Faults are the failures that the engine plays. The zero value plays none.
type Faults struct {
	// Speed multiplies the speed of the engine; 0 means 1.
	Speed float64 `json:"speed"`
	// Leaving refuses new work with status 503.
	Leaving bool `json:"leaving"`
	// AcceptLeaving lets a leaving engine run new work, and count it.
	AcceptLeaving bool `json:"accept_leaving"`
	// Hang stops all steps.
	Hang bool `json:"hang"`
	// RefuseRelease fails that many coming release orders.
	RefuseRelease int `json:"refuse_release"`
	// HangExport starts exports of KV cache and never ends them.
	HangExport bool `json:"hang_export"`
	// IgnoreFence makes the engine take orders with any fencing number.
	IgnoreFence bool `json:"ignore_fence"`
	// Crash crashes the engine once, at the time of the order.
	Crash bool `json:"crash"`
}

// Counts is what the engine has seen since the start, crashes included.
type Counts struct {
	// Requests counts chat requests by X-Request-Id.
	Requests map[string]int `json:"requests"`
	// Executions counts requests that reached the batch, by program and prompt:
	// "PROGRAM#<prompt hash>".
	Executions map[string]int `json:"executions"`
	Finished   int            `json:"finished"`
	Canceled   int            `json:"canceled"`
	Crashes    int            `json:"crashes"`
	// LeavingRefused and LeavingRun count requests that came while the engine
	// was leaving; LeavingLate those that came more than LeavingGrace after.
	LeavingRefused int `json:"leaving_refused"`
	LeavingRun     int `json:"leaving_run"`
	LeavingLate    int `json:"leaving_late"`
	PromptTokens   int `json:"prompt_tokens"`
	CachedTokens   int `json:"cached_tokens"`
	OutputTokens   int `json:"output_tokens"`
	// TotalTokens are prompt and output tokens together.
	TotalTokens int `json:"total_tokens"`
	Evictions   int `json:"evictions"`
	Released    int `json:"released"`
	// Exports counts the exports asked for.
	Exports int `json:"exports"`
	// Imports and ImportedTokens count the caches pulled from other engines.
	Imports        int `json:"imports"`
	ImportedTokens int `json:"imported_tokens"`
	OrdersTaken    int `json:"orders_taken"`
	OrdersRefused  int `json:"orders_refused"`
	// Steps is the number of steps and LateSteps of those that ended more than
	// lateStep after their time, because the machine was busy with other work.
	Steps     int `json:"steps"`
	LateSteps int `json:"late_steps"`
	// Running and Waiting are the present sequences; KVUsed the present tokens.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	KVUsed  int `json:"kv_used"`
}

// lateStep is the delay of a step beyond which it counts as late.
const lateStep = 5 * time.Millisecond

// LeavingGrace is the time within which callers must have learned that an
// engine is leaving.
const LeavingGrace = 3 * time.Second
