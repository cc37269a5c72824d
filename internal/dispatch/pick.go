package dispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ibisline/internal/policy/placement"
	"ibisline/internal/structs"
)

const (
	// maxTrackedPrograms is the maximum number of programs whose last engine and
	// first call are tracked.
	maxTrackedPrograms = 10_000
	// minCurrentCandidates is the number of candidates with a current status
	// below which all candidates are considered.
	minCurrentCandidates = 8
	// staleIntervals is the number of status intervals after which a status is
	// stale. Stale candidates are ignored if there are enough current ones.
	staleIntervals = 5
)

// lastRun is the engine on which a program ran last and the number of tokens
// that the run left in its cache.
type lastRun struct {
	engine     string
	tokens     int
	finishedAt time.Time
	// source is that engine as a source of KV cache. It is determined for each
	// request and not stored.
	source kvSource
}

// programAge returns the time since a root program made its first call through
// this daemon. It restarts when the program's home moves to another daemon.
func (d *Dispatcher) programAge(root string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	firstCall, ok := d.firstCalls.get(root)
	if !ok {
		firstCall = time.Now()
		d.firstCalls.set(root, firstCall)
	}
	return time.Since(firstCall)
}

// recordRun records the engine and the token counts of a finished call.
func (d *Dispatcher) recordRun(request structs.GenerateRequest, generated structs.GenerateResult) {
	d.lengths.observePrompt(&request, generated.Usage.PromptTokens)
	d.lengths.observeOutput(&request, generated.Usage.OutputTokens)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastRuns.set(request.Program, lastRun{
		engine:     generated.Engine,
		tokens:     generated.Usage.PromptTokens + generated.Usage.OutputTokens,
		finishedAt: time.Now(),
	})
}

// hasListedEngine reports whether the platform's list contains an engine for the
// model that is not leaving.
func (d *Dispatcher) hasListedEngine(model string) bool {
	servers := d.deps.View.Servers()
	for i := range servers {
		if serves(&servers[i], model) {
			return true
		}
	}
	return false
}

func serves(server *structs.Server, model string) bool {
	if server.Kind != structs.KindEngine || server.State == structs.StateLeaving {
		return false
	}
	return slices.Contains(server.Models, model)
}

// candidate is an engine that may run a call, with its last known status.
type candidate struct {
	server *structs.Server
	status *statusEntry
}

func (d *Dispatcher) candidateOf(server *structs.Server) candidate {
	return candidate{server: server, status: d.statusCache.get(server.Name)}
}

// usable reports whether the engine accepts calls for a model.
func (c candidate) usable(model string) bool {
	return serves(c.server, model) && !c.status.Leaving && !c.status.Down
}

// pickEngine selects the engine for the next attempt.
func (d *Dispatcher) pickEngine(call *routedCall) (structs.Server, bool) {
	candidates := d.candidates(call.request.Model, call.excluded)
	if len(candidates) == 0 {
		return structs.Server{}, false
	}
	if d.config.Placement == PlacementRoundRobin {
		n := d.roundRobin.Add(1)
		return *candidates[n%uint64(len(candidates))].server, true
	}
	return *d.choose(&call.request, candidates).server, true
}

// candidates returns the engines that accept calls for a model, without the
// excluded ones. Engines of other regions are returned only if this region has no
// usable engine, excluded ones included, so that a full region does not send its
// load over the paid links.
func (d *Dispatcher) candidates(model string, excluded map[string]bool) []candidate {
	servers := d.deps.View.Servers()
	sameRegion := make([]candidate, 0, len(servers))
	var otherRegions []candidate
	for i := range servers {
		c := d.candidateOf(&servers[i])
		switch {
		case !c.usable(model):
		case c.server.Region == d.deps.Region:
			sameRegion = append(sameRegion, c)
		default:
			otherRegions = append(otherRegions, c)
		}
	}
	if len(sameRegion) == 0 {
		sameRegion = otherRegions
	}
	return slices.DeleteFunc(sameRegion, func(c candidate) bool { return excluded[c.server.Name] })
}

// choose returns the candidate with the lowest estimated duration among those
// with a current status.
func (d *Dispatcher) choose(request *structs.GenerateRequest, candidates []candidate) candidate {
	considered := d.withCurrentStatus(request, candidates)
	request = d.lengths.withExpectedPrompt(request)
	run := d.lastRun(request)
	engines := make([]placement.Engine, len(considered))
	for i, c := range considered {
		engines[i] = d.placementEngine(c, request, run)
	}
	best := placement.Choose(d.placementRequest(request), engines, func(i int) uint64 {
		return xxhash.Sum64String(d.deps.Self + request.Program + engines[i].Name)
	})
	return considered[best]
}

// withCurrentStatus returns the candidates with a current status and the
// program's last engine, or all candidates if these are too few.
func (d *Dispatcher) withCurrentStatus(request *structs.GenerateRequest, candidates []candidate) []candidate {
	since := time.Now().Add(-staleIntervals * d.config.StatusInterval)
	known := make([]candidate, 0, len(candidates))
	for _, c := range candidates {
		if c.status.receivedAt.After(since) || c.server.Name == request.LastEngine {
			known = append(known, c)
		}
	}
	if len(known) < min(minCurrentCandidates, len(candidates)) {
		return candidates
	}
	return known
}

func (d *Dispatcher) placementRequest(request *structs.GenerateRequest) placement.Request {
	return placement.Request{
		PromptTokens: request.PromptTokens,
		OutputTokens: d.lengths.expectedOutput(request),
	}
}

// placementEngine describes a candidate to the placement policy.
func (d *Dispatcher) placementEngine(c candidate, request *structs.GenerateRequest, run lastRun) placement.Engine {
	status := c.status
	engine := placement.Engine{
		Name:          c.server.Name,
		Window:        status.Window,
		Running:       status.Running,
		Waiting:       status.Waiting,
		PrefillTokens: status.Prefilling,
		ServiceTime:   status.Service,
		TokenGap:      status.Gap,
		PrefillRate:   status.PrefillRate,
		CachedTokens:  request.PromptTokens - d.uncachedAt(c, request, run),
		KVFreeTokens:  status.KVFree,
		OtherRegion:   c.server.Region != d.deps.Region,
		Transfer:      run.source.transferTo(c),
	}
	if status.receivedAt.IsZero() {
		engine.Window = d.config.FixedWindow
		engine.KVFreeTokens = c.server.KVTokens
	}
	return engine
}

// lastRun returns the last run of a program known to this daemon. Its tokens are
// 0 if only the engine is known, from the request.
func (d *Dispatcher) lastRun(request *structs.GenerateRequest) lastRun {
	run := d.knownRun(request)
	run.source = d.kvSource(request, run)
	return run
}

func (d *Dispatcher) knownRun(request *structs.GenerateRequest) lastRun {
	d.mu.Lock()
	defer d.mu.Unlock()
	if run, ok := d.lastRuns.get(request.Program); ok {
		return run
	}
	return lastRun{engine: request.LastEngine}
}

// uncachedAt estimates the number of prompt tokens that an engine has to compute.
// A prefix older than the engine's mean eviction age is assumed to be evicted.
func (d *Dispatcher) uncachedAt(c candidate, request *structs.GenerateRequest, run lastRun) int {
	name := c.server.Name
	if name != run.engine && name != request.LastEngine {
		return request.PromptTokens
	}
	if e := d.knownEngine(name); e != nil {
		return e.cache.uncached(request, name)
	}
	if name != run.engine {
		return request.PromptTokens
	}
	if run.tokens == 0 {
		return assumeUncached(request.PromptTokens)
	}
	if age := c.status.CacheAge; age > 0 && time.Since(run.finishedAt) > age {
		return request.PromptTokens
	}
	return max(request.PromptTokens-run.tokens, 0)
}
