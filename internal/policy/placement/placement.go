// Package placement chooses the engine for a model call by the estimated time
// to its end: the wait for a slot, the computation of the uncached part of the
// prompt or the transfer of its KV cache, the generation at the engine's present pace, and the way to another
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
	// Transfer is what the engine could import instead of computing it.
	Transfer Transfer
	// KVFree is the KV memory that no request and no idle program uses.
	KVFree int
	// Far is set for an engine in another region.
	Far bool
}

// Transfer is the KV cache of the program that another engine of the region
// holds. Its zero value offers none.
type Transfer struct {
	// Tokens is the part of the prompt believed to be held there.
	Tokens int
	// Rate is in tokens a second; 0 while it is unknown.
	Rate float64
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
	// defaultTransferRate is in tokens a second.
	defaultTransferRate = 20_000.0
)

const (
	// farDelay is charged for another region: its latency and its paid bytes.
	farDelay = 2 * time.Second
	// resolution is the difference below which estimates count as equal.
	resolution = 20 * time.Millisecond
	// evictionReuse is the chance that an evicted prefix would have been used.
	evictionReuse = 0.5
	// transferLatency is the part of a transfer that does not depend on its size.
	transferLatency = 50 * time.Millisecond
	// minTransferLimit is the least time that a transfer is given.
	minTransferLimit = 4 * transferLatency
)

// prefix is how an engine gets the KV cache of a prompt: transfer is the time of
// an import before compute tokens are computed.
type prefix struct {
	transfer time.Duration
	compute  int
}

// prefixOf is the cheaper way: computing all that is not cached, or importing a
// part of it first.
func prefixOf(request Request, engine Engine) prefix {
	here := prefix{compute: max(request.PromptTokens-engine.Cached, 0)}
	if engine.Far || engine.Transfer.Tokens <= engine.Cached {
		return here
	}
	moved := prefix{
		transfer: engine.Transfer.time(),
		compute:  max(request.PromptTokens-engine.Transfer.Tokens, 0),
	}
	if moved.cost(engine)+resolution < here.cost(engine) {
		return moved
	}
	return here
}

// time is the expected time of the transfer.
func (t Transfer) time() time.Duration {
	return transferLatency + seconds(float64(t.Tokens)/cmp.Or(t.Rate, defaultTransferRate))
}

// cost is the time for the call and for the streams under way, which wait for
// what is computed but not for what is imported.
func (p prefix) cost(engine Engine) time.Duration {
	return p.transfer + time.Duration(engine.Running+1)*computation(engine, float64(p.compute))
}

// computation is the time to compute so many prompt tokens.
func computation(engine Engine, tokens float64) time.Duration {
	return seconds(tokens / cmp.Or(engine.PrefillRate, defaultPrefillRate))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Transfers reports whether the call is expected to end sooner when the engine
// imports the cache than when it computes it.
func Transfers(request Request, engine Engine) bool {
	return prefixOf(request, engine).transfer > 0
}

// TransferLimit is the time after which an import is given up: that of the
// computation it was to save. So a failed one costs that once more at most.
func TransferLimit(engine Engine) time.Duration {
	return max(computation(engine, float64(engine.Transfer.Tokens-engine.Cached)), minTransferLimit)
}

// Estimate is the expected time from now to the end of the call.
func Estimate(request Request, engine Engine) time.Duration {
	return FirstToken(request, engine) + Generation(request, engine) + delayOfOthers(request, engine)
}

// delayOfOthers is what the computation of the uncached part costs the streams
// under way, all of which wait for it.
func delayOfOthers(request Request, engine Engine) time.Duration {
	return time.Duration(engine.Running) * computation(engine, float64(prefixOf(request, engine).compute))
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

// prefill is the time to compute the prompts ahead, to import or compute the
// uncached part of this one, and to make good for what has to be evicted for it.
// The import runs beside the prompts ahead.
func prefill(request Request, engine Engine) time.Duration {
	own := prefixOf(request, engine)
	ahead := computation(engine, float64(engine.Prefilling))
	evicted := max(request.PromptTokens-engine.Cached, 0) + request.OutputTokens - engine.KVFree
	tokens := float64(own.compute) + evictionReuse*float64(max(evicted, 0))
	return max(ahead, own.transfer) + computation(engine, tokens)
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
