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

// HolderRecords records which engines may hold KV memory of a program.
type HolderRecords interface {
	// RecordHolder records the engine, so that its memory is released when the
	// program ends. After an error the engine must not be asked to import.
	RecordHolder(program, engine string) error
}

// SetHolders sets the records that an engine is added to before it imports KV
// cache. It must be called before Run; without it nothing is imported.
func (d *Dispatcher) SetHolders(holders HolderRecords) { d.holders = holders }

// kvSource is an engine that can export the KV cache of a program. The zero value
// means that there is none.
type kvSource struct {
	server *structs.Server
	tokens int
}

// kvSource returns the engine of the program's last run as a source. An engine
// that is leaving can still export; one that is down cannot.
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

// transferTo returns the transfer from the source to a candidate, or a zero
// transfer if it is not possible. KV cache is not transferred between regions.
func (s kvSource) transferTo(to candidate) placement.Transfer {
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

// sourceFor returns the engine from which the chosen engine should import the KV
// cache, if that is expected to be faster than computing it. The chosen engine is
// recorded as a holder first. After an attempt failed at an engine nothing is
// imported, because that engine may be the source.
func (d *Dispatcher) sourceFor(call *routedCall, server *structs.Server) structs.KVSource {
	if call.engineFailed {
		return structs.KVSource{}
	}
	request := d.lengths.withExpectedPrompt(&call.request)
	run := d.lastRun(request)
	chosen := d.placementEngine(d.candidateOf(server), request, run)
	if !placement.PrefersTransfer(d.placementRequest(request), chosen) {
		return structs.KVSource{}
	}
	if err := d.holders.RecordHolder(request.Program, server.Name); err != nil {
		return structs.KVSource{}
	}
	return structs.KVSource{
		Engine:  run.source.server.Name,
		Addr:    run.source.server.Addr,
		Tokens:  chosen.Transfer.Tokens,
		Timeout: placement.TransferTimeout(chosen),
	}
}

// importHistory is the history of one engine's KV imports. It is safe for
// concurrent use.
type importHistory struct {
	mu      sync.Mutex
	history *transfer.History
}

func newImportHistory() *importHistory { return &importHistory{history: transfer.NewHistory()} }

func (h *importHistory) rate() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.history.Rate(time.Now())
}

func (h *importHistory) avoided() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.history.Avoided(time.Now())
}

func (h *importHistory) recordSuccess(from string, tokens int, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.history.RecordImport(from, tokens, took, time.Now())
}

func (h *importHistory) recordFailure(from string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.history.RecordFailure(from, time.Now())
}

// uncachedAfterImport is the number of prompt tokens to compute if the import
// requested by the router succeeds.
func (e *engine) uncachedAfterImport(request *structs.GenerateRequest) int {
	return min(e.cache.uncached(request, e.name), max(request.PromptTokens-request.Source.Tokens, 0))
}

// importBeforeRun imports the KV cache if the router requested it. A failed
// import does not fail the call. If the engine stopped accepting requests during
// the import, it returns an error with verdict NotRun.
func (e *engine) importBeforeRun(ctx context.Context, grant *grant, request *structs.GenerateRequest) error {
	grant.sentAt = time.Now()
	expected := e.lengths.withExpectedPrompt(request)
	planned := e.uncachedAfterImport(expected)
	if e.cache.uncached(expected, e.name) <= planned {
		return nil
	}
	e.importCache(ctx, request)
	grant.addPrefill(max(e.cache.uncached(expected, e.name)-planned, 0))
	grant.sentAt = time.Now()
	if refusal := e.refusal(); refusal != nil {
		return refusal
	}
	return nil
}

// importCache makes the engine import the KV cache within the time limit of the
// source. Tokens that were not imported are computed.
func (e *engine) importCache(ctx context.Context, request *structs.GenerateRequest) {
	source := request.Source
	startedAt := time.Now()
	limited, cancel := context.WithTimeout(ctx, source.Timeout)
	defer cancel()
	tokens, err := e.client.ImportKV(limited, e.currentServer(), request.Program, source.Addr)
	switch {
	case err == nil:
		e.imports.recordSuccess(source.Engine, tokens, time.Since(startedAt))
		e.metrics.countTransfer(tokens, time.Since(startedAt))
		e.cache.recordStored(request.Program, tokens, time.Now())
	case ctx.Err() != nil:
		// The caller canceled the request; this is not a failure of the engines.
	case errors.Is(err, backend.ErrNotHeld):
		e.metrics.transferFailures.Inc()
	default:
		e.metrics.transferFailures.Inc()
		e.imports.recordFailure(source.Engine)
	}
}
