package dispatch

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/backend"
	"ibisline/internal/policy/placement"
	"ibisline/internal/policy/transfer"
	"ibisline/internal/structs"
)

// HolderRecords notes which engines may hold KV memory of a program.
type HolderRecords interface {
	// MayHold records the engine, so that the end of the program releases its
	// memory there. After an error nothing may be asked of the engine.
	MayHold(program, engine string) error
}

// SetHolders sets where engines are recorded before they import KV cache. It
// must be called before Run; without it nothing is imported.
func (d *Dispatcher) SetHolders(holders HolderRecords) { d.holders = holders }

// kvSource is an engine that exports the KV cache of a program. Its zero value
// offers nothing.
type kvSource struct {
	server *structs.Server
	tokens int
}

// kvSource returns the engine of the program's last run as a source. One that is
// leaving is a source too; one that is down is none.
func (d *Dispatcher) kvSource(request *structs.GenerateRequest, run lastRun) kvSource {
	name := cmp.Or(request.LastEngine, run.engine)
	if !d.config.KVTransfer || d.holders == nil || name == "" {
		return kvSource{}
	}
	servers := d.deps.View.Servers()
	i := slices.IndexFunc(servers, func(s structs.Server) bool { return s.Name == name })
	if i < 0 || !servers[i].KVTransfer || !slices.Contains(servers[i].Models, request.Model) {
		return kvSource{}
	}
	from := d.candidateOf(&servers[i])
	if from.status.Down {
		return kvSource{}
	}
	return kvSource{server: from.server, tokens: request.PromptTokens - d.uncachedAt(from, request, run)}
}

// offer is what a candidate could import. Nothing is moved between regions.
func (s kvSource) offer(to candidate) placement.Transfer {
	if s.server == nil || !to.server.KVTransfer || to.server.Region != s.server.Region || to.server.Name == s.server.Name {
		return placement.Transfer{}
	}
	if slices.Contains(to.status.TransferAvoid, s.server.Name) {
		return placement.Transfer{}
	}
	rate := to.status.TransferRate
	if rate == 0 {
		rate = to.server.KVTransferRate
	}
	return placement.Transfer{Tokens: s.tokens, Rate: rate}
}

// sourceFor returns where the chosen engine is to import the cache from, if that
// is expected to be faster. The engine is recorded as a holder first. After an
// engine failed a try of the call the cache is computed: it may be the source.
func (d *Dispatcher) sourceFor(g *generation, server *structs.Server) structs.KVSource {
	if g.broke {
		return structs.KVSource{}
	}
	request := d.lengths.expected(&g.request)
	run := d.lastRun(request)
	chosen := d.placementEngine(d.candidateOf(server), request, run)
	if !placement.PrefersTransfer(d.placementRequest(request), chosen) {
		return structs.KVSource{}
	}
	if err := d.holders.MayHold(request.Program, server.Name); err != nil {
		return structs.KVSource{}
	}
	return structs.KVSource{
		Engine: run.source.server.Name,
		Addr:   run.source.server.Addr,
		Tokens: chosen.Transfer.Tokens,
		Limit:  placement.TransferTimeout(chosen),
	}
}

// imports is the history of one engine's imports. It is safe for concurrent use.
type imports struct {
	mu      sync.Mutex
	history *transfer.History
}

func newImports() *imports { return &imports{history: transfer.NewHistory()} }

func (i *imports) rate() float64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.history.Rate(time.Now())
}

func (i *imports) avoided() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.history.Avoided(time.Now())
}

func (i *imports) imported(from string, tokens int, took time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.history.RecordImport(from, tokens, took, time.Now())
}

func (i *imports) failed(from string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.history.RecordFailure(from, time.Now())
}

// uncachedAfterImport is the part of the prompt to be computed when the import
// that the router ordered succeeds.
func (e *engine) uncachedAfterImport(request *structs.GenerateRequest) int {
	return min(e.cache.uncached(request, e.name), max(request.PromptTokens-request.Source.Tokens, 0))
}

// prepare imports the KV cache when the router ordered it. The import itself
// never fails the call. An engine that closed meanwhile gets no call: the error
// is NotRun then.
func (e *engine) prepare(ctx context.Context, grant *grant, request *structs.GenerateRequest) error {
	grant.sent = time.Now()
	expected := e.lengths.expected(request)
	planned := e.uncachedAfterImport(expected)
	if e.cache.uncached(expected, e.name) <= planned {
		return nil
	}
	e.importCache(ctx, request)
	grant.recompute(max(e.cache.uncached(expected, e.name)-planned, 0))
	grant.sent = time.Now()
	if refusal := e.refusal(); refusal != nil {
		return refusal
	}
	return nil
}

// importCache lets the engine pull the cache, for as long as the limit allows.
// What was not imported is computed.
func (e *engine) importCache(ctx context.Context, request *structs.GenerateRequest) {
	source := request.Source
	begun := time.Now()
	limited, cancel := context.WithTimeout(ctx, source.Limit)
	defer cancel()
	tokens, err := e.client.ImportKV(limited, e.description(), request.Program, source.Addr)
	switch {
	case err == nil:
		e.imports.imported(source.Engine, tokens, time.Since(begun))
		e.measures.imported(tokens, time.Since(begun))
		e.cache.stored(request.Program, tokens, time.Now())
	case ctx.Err() != nil:
		// The caller is gone, which says nothing about the engines.
	case errors.Is(err, backend.ErrNotHeld):
		e.measures.transferFails.Inc()
	default:
		e.measures.transferFails.Inc()
		e.imports.failed(source.Engine)
	}
}
