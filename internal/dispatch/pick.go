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
	d.lengths.observeOutput(request, generated.Usage.OutputTokens)
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
	return slices.ContainsFunc(d.deps.View.Servers(), func(server structs.Server) bool {
		return serves(server, model)
	})
}

func serves(server structs.Server, model string) bool {
	if server.Kind != structs.KindEngine || server.State == structs.StateLeaving {
		return false
	}
	return slices.Contains(server.Models, model)
}

// pickEngine chooses the engine for the next try.
func (d *Dispatcher) pickEngine(g *generation) (structs.Server, bool) {
	candidates := d.candidates(g.request.Model, g.excluded)
	if len(candidates) == 0 {
		return structs.Server{}, false
	}
	if d.config.Placement == PlacementRoundRobin {
		turn := d.turns.Add(1)
		return candidates[turn%uint64(len(candidates))], true
	}
	return candidates[d.choose(g.request, candidates)], true
}

// candidates returns the engines that take calls of a model, without excluded
// ones: those of this region, or of other regions when it has none at all. A
// full region does not send its load over the paid links.
func (d *Dispatcher) candidates(model string, excluded map[string]bool) []structs.Server {
	var near, far []structs.Server
	for _, server := range d.deps.View.Servers() {
		switch {
		case !d.usable(server, model):
		case server.Region == d.deps.Region:
			near = append(near, server)
		default:
			far = append(far, server)
		}
	}
	if len(near) == 0 {
		near = far
	}
	return slices.DeleteFunc(near, func(server structs.Server) bool { return excluded[server.Name] })
}

func (d *Dispatcher) usable(server structs.Server, model string) bool {
	if !serves(server, model) {
		return false
	}
	status := d.board.get(server.Name)
	return !status.Leaving && !status.Down
}

// choose returns the index of the candidate with the least estimate, among
// those whose status is current.
func (d *Dispatcher) choose(request structs.GenerateRequest, candidates []structs.Server) int {
	var known []int
	for i, server := range candidates {
		if d.current(server.Name) || server.Name == request.LastEngine {
			known = append(known, i)
		}
	}
	if len(known) < min(minKnown, len(candidates)) {
		known = known[:0]
		for i := range candidates {
			known = append(known, i)
		}
	}
	engines := make([]placement.Engine, len(known))
	for i, index := range known {
		engines[i] = d.placementEngine(candidates[index], request)
	}
	best := placement.Choose(d.placementRequest(request), engines, func(i int) uint64 {
		return xxhash.Sum64String(d.deps.Self + request.Program + engines[i].Name)
	})
	return known[best]
}

// current reports whether the state of an engine was heard of lately.
func (d *Dispatcher) current(engine string) bool {
	return time.Since(d.board.get(engine).heard) < staleIntervals*d.config.StatusInterval
}

func (d *Dispatcher) placementRequest(request structs.GenerateRequest) placement.Request {
	return placement.Request{
		PromptTokens: request.PromptTokens,
		OutputTokens: d.lengths.output(request),
	}
}

// placementEngine describes a candidate to the placement policy.
func (d *Dispatcher) placementEngine(server structs.Server, request structs.GenerateRequest) placement.Engine {
	status := d.board.get(server.Name)
	engine := placement.Engine{
		Name:        server.Name,
		Window:      status.Window,
		Running:     status.Running,
		Waiting:     status.Waiting,
		Prefilling:  status.Prefilling,
		Service:     status.Service,
		Gap:         status.Gap,
		PrefillRate: status.PrefillRate,
		Cached:      request.PromptTokens - d.uncachedAt(server.Name, request),
		KVFree:      status.KVFree,
		Far:         server.Region != d.deps.Region,
	}
	if status.heard.IsZero() {
		engine.Window = d.config.FixedWindow
		engine.KVFree = server.KVTokens
	}
	return engine
}

// uncachedAt estimates the part of the prompt that an engine has to compute. A
// prefix older than the age at which the engine evicts is taken to be gone.
func (d *Dispatcher) uncachedAt(engine string, request structs.GenerateRequest) int {
	if e := d.knownEngine(engine); e != nil {
		return e.cache.uncached(request, engine)
	}
	d.mu.Lock()
	run, ok := d.lastRuns.get(request.Program)
	d.mu.Unlock()
	switch {
	case !ok && request.LastEngine == engine:
		return guessUncached(request.PromptTokens)
	case !ok || run.engine != engine:
		return request.PromptTokens
	}
	age := d.board.get(engine).CacheAge
	if age > 0 && time.Since(run.at) > age {
		return request.PromptTokens
	}
	return max(request.PromptTokens-run.tokens, 0)
}
