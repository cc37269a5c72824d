// Package placement chooses the engine for a model call by the estimated time
// to its end: the wait for a slot, the computation of the uncached part of the
// prompt, the generation at the engine's present pace, and the way to another
// region. The engine that holds the program's cache is preferred exactly as far
// as the cache saves time.
package placement

import (
	"cmp"
	"slices"
	"time"
)

// Engine is what is known of a candidate.
type Engine struct {
	Name    string
	Window  int
	Running int
	Waiting int
	// Prefilling is the number of prompt tokens still to be computed.
	Prefilling int
	// Service is the mean time that a request is under way.
	Service time.Duration
	// Gap is the mean time between the tokens of a stream.
	Gap time.Duration
	// PrefillRate is in tokens a second.
	PrefillRate float64
	// Cached is the part of the prompt believed to be held, in tokens.
	Cached int
	// KVFree is the KV memory that no request and no idle program uses.
	KVFree int
	// Far is set for an engine in another region.
	Far bool
}

// Request is what is known of the call.
type Request struct {
	PromptTokens int
	OutputTokens int
}

// Defaults used while an engine was not observed.
const (
	defaultGap         = 25 * time.Millisecond
	defaultPrefillRate = 8000.0
	defaultService     = 2 * time.Second
)

const (
	// farDelay is charged for another region: its latency and its paid bytes.
	farDelay = 2 * time.Second
	// resolution is the difference below which estimates count as equal.
	resolution = 20 * time.Millisecond
	// evictionReuse is the chance that an evicted prefix would have been used.
	evictionReuse = 0.5
)

// Estimate is the expected time from now to the end of the call.
func Estimate(request Request, engine Engine) time.Duration {
	return FirstToken(request, engine) + Generation(request, engine) + delayOfOthers(request, engine)
}

// delayOfOthers is what the computation of the uncached part costs the streams
// under way, all of which wait for it.
func delayOfOthers(request Request, engine Engine) time.Duration {
	uncached := float64(max(request.PromptTokens-engine.Cached, 0))
	seconds := uncached / cmp.Or(engine.PrefillRate, defaultPrefillRate)
	return time.Duration(float64(engine.Running) * seconds * float64(time.Second))
}

// Generation is the expected time from the first token to the end.
func Generation(request Request, engine Engine) time.Duration {
	return time.Duration(request.OutputTokens) * cmp.Or(engine.Gap, defaultGap)
}

// FirstToken is the expected time from now to the first token.
func FirstToken(request Request, engine Engine) time.Duration {
	total := Wait(engine) + prefill(request, engine)
	if engine.Far {
		total += farDelay
	}
	return total
}

// Wait is the expected time until a slot is free.
func Wait(engine Engine) time.Duration {
	ahead := engine.Running + engine.Waiting - engine.Window + 1
	if ahead <= 0 {
		return 0
	}
	service := cmp.Or(engine.Service, defaultService)
	return time.Duration(float64(service) * float64(ahead) / float64(max(engine.Window, 1)))
}

// prefill is the time to compute the prompts ahead and the uncached part of
// this one, and to make good for what has to be evicted for it.
func prefill(request Request, engine Engine) time.Duration {
	rate := cmp.Or(engine.PrefillRate, defaultPrefillRate)
	uncached := max(request.PromptTokens-engine.Cached, 0)
	tokens := float64(engine.Prefilling + uncached)
	evicted := uncached + request.OutputTokens - engine.KVFree
	tokens += evictionReuse * float64(max(evicted, 0))
	return time.Duration(tokens / rate * float64(time.Second))
}

// Choose returns the index of the engine with the least estimate. Equal ones
// are told apart by what is under way, then by the given tie-break order, which
// differs from daemon to daemon so that they do not all pick the same engine.
func Choose(request Request, engines []Engine, tieBreak func(i int) uint64) int {
	order := make([]int, len(engines))
	estimates := make([]time.Duration, len(engines))
	for i, engine := range engines {
		order[i] = i
		estimates[i] = Estimate(request, engine).Round(resolution)
	}
	return slices.MinFunc(order, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(estimates[a], estimates[b]),
			cmp.Compare(engines[a].Running+engines[a].Waiting, engines[b].Running+engines[b].Waiting),
			cmp.Compare(tieBreak(a), tieBreak(b)),
		)
	})
}
