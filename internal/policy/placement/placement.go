// Package placement chooses the engine for a model call by the estimated completion
// time: the wait for a slot, the prefill of the uncached part of the prompt or the
// transfer of its KV cache, the generation at the engine's current token rate, and
// the latency to another region. An engine that holds the program's KV cache is
// preferred only by the time that the cache saves.
package placement

import (
	"cmp"
	"slices"
	"time"
)

// Engine is the known state of a candidate engine.
type Engine struct {
	Name string
	// Window is the limit of concurrent requests.
	Window  int
	Running int
	Waiting int
	// PrefillTokens is the number of admitted prompt tokens not computed yet.
	PrefillTokens int
	// ServiceTime is the mean duration of a request.
	ServiceTime time.Duration
	// TokenGap is the mean time between two tokens of a stream.
	TokenGap time.Duration
	// PrefillRate is in tokens per second.
	PrefillRate float64
	// CachedTokens is the estimated number of prompt tokens in the KV cache.
	CachedTokens int
	// Transfer is the KV cache that the engine could import instead of computing it.
	Transfer Transfer
	// KVFreeTokens is the KV memory in tokens that neither a request nor an idle program
	// uses.
	KVFreeTokens int
	// OtherRegion is set for an engine in another region.
	OtherRegion bool
}

// Transfer describes the KV cache of the program on another engine of the region.
// The zero value means that there is none.
type Transfer struct {
	// Tokens is the estimated number of prompt tokens cached there.
	Tokens int
	// Rate is the transfer rate in tokens per second, or 0 while unknown.
	Rate float64
}

// Request is the estimated size of the call.
type Request struct {
	PromptTokens int
	OutputTokens int
}

// Defaults for engines without observations.
const (
	defaultTokenGap    = 25 * time.Millisecond
	defaultPrefillRate = 8000.0
	defaultServiceTime = 2 * time.Second
	// defaultTransferRate is in tokens per second.
	defaultTransferRate = 20_000.0
)

const (
	// otherRegionDelay accounts for the latency to another region and the cost of
	// the traffic.
	otherRegionDelay = 2 * time.Second
	// estimateResolution is the step to which estimates are rounded for comparison.
	estimateResolution = 20 * time.Millisecond
	// evictedReuseProbability is the probability that an evicted prefix would have
	// been used again.
	evictedReuseProbability = 0.5
	// transferLatency is the fixed part of the transfer time.
	transferLatency    = 50 * time.Millisecond
	minTransferTimeout = 4 * transferLatency
)

// prefixPlan describes how an engine obtains the KV cache of a prompt: by an import
// that takes transferTime, if any, and then by computing computeTokens tokens.
type prefixPlan struct {
	transferTime  time.Duration
	computeTokens int
}

// planPrefix returns the cheaper plan: computing everything that is not cached, or
// importing a part of it first.
func planPrefix(request Request, engine Engine) prefixPlan {
	recompute := prefixPlan{computeTokens: max(request.PromptTokens-engine.CachedTokens, 0)}
	if engine.OtherRegion || engine.Transfer.Tokens <= engine.CachedTokens {
		return recompute
	}
	imported := prefixPlan{
		transferTime:  engine.Transfer.time(),
		computeTokens: max(request.PromptTokens-engine.Transfer.Tokens, 0),
	}
	if imported.cost(engine)+estimateResolution < recompute.cost(engine) {
		return imported
	}
	return recompute
}

// time returns the expected duration of the transfer.
func (t Transfer) time() time.Duration {
	return transferLatency + seconds(float64(t.Tokens)/cmp.Or(t.Rate, defaultTransferRate))
}

// cost returns the time added to the call and to the running streams. A prefill
// delays the running streams, an import does not.
func (p prefixPlan) cost(engine Engine) time.Duration {
	return p.transferTime + time.Duration(engine.Running+1)*prefillTime(engine, float64(p.computeTokens))
}

// prefillTime returns the time to compute the given number of prompt tokens.
func prefillTime(engine Engine, tokens float64) time.Duration {
	return seconds(tokens / cmp.Or(engine.PrefillRate, defaultPrefillRate))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// PrefersTransfer reports whether importing the KV cache is expected to cost less
// time than computing it, including the delay of the running streams.
func PrefersTransfer(request Request, engine Engine) bool {
	return planPrefix(request, engine).transferTime > 0
}

// TransferTimeout returns the timeout of an import: the prefill time that the import
// is meant to save, so that a failed import at most doubles that time. It is at
// least minTransferTimeout.
func TransferTimeout(engine Engine) time.Duration {
	return max(prefillTime(engine, float64(engine.Transfer.Tokens-engine.CachedTokens)), minTransferTimeout)
}

// Estimate returns the cost of a placement as a time: the expected time from now to
// the end of the call plus the delay that it causes to the running streams.
func Estimate(request Request, engine Engine) time.Duration {
	return TimeToFirstToken(request, engine) + GenerationTime(request, engine) + delayOfRunning(request, engine)
}

// delayOfRunning returns the total delay of the running streams, all of which wait
// for the prefill of the uncached part.
func delayOfRunning(request Request, engine Engine) time.Duration {
	return time.Duration(engine.Running) * prefillTime(engine, float64(planPrefix(request, engine).computeTokens))
}

// GenerationTime returns the expected time from the first token to the end.
func GenerationTime(request Request, engine Engine) time.Duration {
	return time.Duration(request.OutputTokens) * cmp.Or(engine.TokenGap, defaultTokenGap)
}

// TimeToFirstToken returns the expected time from now to the first token.
func TimeToFirstToken(request Request, engine Engine) time.Duration {
	total := SlotWait(engine) + timeToPrefill(request, engine)
	if engine.OtherRegion {
		total += otherRegionDelay
	}
	return total
}

// SlotWait returns the expected time until a slot is free.
func SlotWait(engine Engine) time.Duration {
	ahead := engine.Running + engine.Waiting - engine.Window + 1
	if ahead <= 0 {
		return 0
	}
	service := cmp.Or(engine.ServiceTime, defaultServiceTime)
	return time.Duration(float64(service) * float64(ahead) / float64(max(engine.Window, 1)))
}

// timeToPrefill returns the time to compute the prompts ahead, to import or compute
// the uncached part of this one, and to recompute later what is evicted for it.
// The import runs concurrently with the prefill of the prompts ahead.
func timeToPrefill(request Request, engine Engine) time.Duration {
	own := planPrefix(request, engine)
	ahead := prefillTime(engine, float64(engine.PrefillTokens))
	evicted := max(request.PromptTokens-engine.CachedTokens, 0) + request.OutputTokens - engine.KVFreeTokens
	tokens := float64(own.computeTokens) + evictedReuseProbability*float64(max(evicted, 0))
	return max(ahead, own.transferTime) + prefillTime(engine, tokens)
}

// Choose returns the index of the engine with the lowest estimate. It panics if
// engines is empty. Ties are broken by the number of running and waiting requests
// and then by tieBreak, whose order should differ between daemons so that they do
// not all choose the same engine.
func Choose(request Request, engines []Engine, tieBreak func(i int) uint64) int {
	order := make([]int, len(engines))
	estimates := make([]time.Duration, len(engines))
	for i, engine := range engines {
		order[i] = i
		estimates[i] = Estimate(request, engine).Round(estimateResolution)
	}
	return slices.MinFunc(order, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(estimates[a], estimates[b]),
			cmp.Compare(engines[a].Running+engines[a].Waiting, engines[b].Running+engines[b].Waiting),
			cmp.Compare(tieBreak(a), tieBreak(b)),
		)
	})
}
