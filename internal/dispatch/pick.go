package dispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ibisline/internal/policy/placement"
	"ibisline/internal/structs"
)

const (
	// maxLastRuns bounds the programs whose last engine and first call are
	// remembered.
	maxLastRuns = 10_000
	// minKnown is the number of candidates with a current status below which
	// the others are considered too.
	minKnown = 8
	// staleIntervals is the number of status intervals after which a status is
	// not relied on while there are newer ones.
	staleIntervals = 5
)

// lastRun is where a program ran last and what it left in the cache there.
type lastRun struct {
	engine string
	tokens int
	at     time.Time
	// source is the same place as a source of KV cache; it is found for each
	// request anew.
	source kvSource
}

// ageOf returns the time since a root program made its first call here. After a
// move of the program's home it starts anew.
func (d *Dispatcher) ageOf(root string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	begun, ok := d.begun.get(root)
	if !ok {
		begun = time.Now()
		d.begun.set(root, begun)
	}
	return time.Since(begun)
}

// learn remembers where a program ran.
func (d *Dispatcher) learn(request structs.GenerateRequest, generated structs.Generated) {
	d.lengths.observePrompt(&request, generated.Usage.PromptTokens)
	d.lengths.observeOutput(&request, generated.Usage.OutputTokens)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastRuns.set(request.Program, lastRun{
		engine: generated.Engine,
		tokens: generated.Usage.PromptTokens + generated.Usage.OutputTokens,
		at:     time.Now(),
	})
}

// listed reports whether the platform's list has a live engine with the model.
func (d *Dispatcher) listed(model string) bool {
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

// candidate is an engine that may run a call, with what is known of it.
type candidate struct {
	server *structs.Server
	status *boardEntry
}

func (d *Dispatcher) candidateOf(server *structs.Server) candidate {
	return candidate{server: server, status: d.board.get(server.Name)}
}

// usable reports whether the engine takes calls of a model.
func (c candidate) usable(model string) bool {
	return serves(c.server, model) && !c.status.Leaving && !c.status.Down
}

// pickEngine chooses the engine for the next try.
func (d *Dispatcher) pickEngine(g *generation) (structs.Server, bool) {
	candidates := d.candidates(g.request.Model, g.excluded)
	if len(candidates) == 0 {
		return structs.Server{}, false
	}
	if d.config.Placement == PlacementRoundRobin {
		turn := d.turns.Add(1)
		return *candidates[turn%uint64(len(candidates))].server, true
	}
	return *d.choose(&g.request, candidates).server, true
}

// candidates returns the engines that take calls of a model, without excluded
// ones: those of this region, or of other regions when it has none at all. A
// full region does not send its load over the paid links.
func (d *Dispatcher) candidates(model string, excluded map[string]bool) []candidate {
	servers := d.deps.View.Servers()
	near := make([]candidate, 0, len(servers))
	var far []candidate
	for i := range servers {
		c := d.candidateOf(&servers[i])
		switch {
		case !c.usable(model):
		case c.server.Region == d.deps.Region:
			near = append(near, c)
		default:
			far = append(far, c)
		}
	}
	if len(near) == 0 {
		near = far
	}
	return slices.DeleteFunc(near, func(c candidate) bool { return excluded[c.server.Name] })
}

// choose returns the candidate with the least estimate, among those whose status
// is current.
func (d *Dispatcher) choose(request *structs.GenerateRequest, candidates []candidate) candidate {
	considered := d.current(request, candidates)
	request = d.lengths.expected(request)
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

// current returns the candidates of which was heard lately and the program's
// last engine, or all candidates when these are few.
func (d *Dispatcher) current(request *structs.GenerateRequest, candidates []candidate) []candidate {
	since := time.Now().Add(-staleIntervals * d.config.StatusInterval)
	known := make([]candidate, 0, len(candidates))
	for _, c := range candidates {
		if c.status.heard.After(since) || c.server.Name == request.LastEngine {
			known = append(known, c)
		}
	}
	if len(known) < min(minKnown, len(candidates)) {
		return candidates
	}
	return known
}

func (d *Dispatcher) placementRequest(request *structs.GenerateRequest) placement.Request {
	return placement.Request{
		PromptTokens: request.PromptTokens,
		OutputTokens: d.lengths.output(request),
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
		Transfer:      run.source.offer(c),
	}
	if status.heard.IsZero() {
		engine.Window = d.config.FixedWindow
		engine.KVFreeTokens = c.server.KVTokens
	}
	return engine
}

// lastRun returns where a program ran last as far as this daemon knows. Without
// tokens it is only known from the request.
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

// uncachedAt estimates the part of the prompt that an engine has to compute. A
// prefix older than the age at which the engine evicts is taken to be gone.
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
		return guessUncached(request.PromptTokens)
	}
	if age := c.status.CacheAge; age > 0 && time.Since(run.at) > age {
		return request.PromptTokens
	}
	return max(request.PromptTokens-run.tokens, 0)
}
