package scriptedengine

import (
	"maps"
	"time"

	"ibisline/internal/backend"
	"ibisline/internal/structs"
)

// The default script of an engine.
const (
	defaultTokens        = 3
	defaultPieceInterval = 10 * time.Millisecond
	// noFailure as Script.FailAfter makes all answers succeed.
	noFailure = -1
)

// Engine is one scripted engine with its counters.
type Engine struct {
	Script
	Stats
	// KV is the size of the engine's KV caches in tokens, by program.
	KV map[string]int
	// Orders is the order state that the engine reports.
	Orders backend.OrderState

	// crashed is closed when the engine crashes.
	crashed chan struct{}
}

// Script configures the behaviour of an engine.
type Script struct {
	// Tokens is the number of pieces of an answer. PieceInterval is the delay before
	// each of them.
	Tokens        int
	PieceInterval time.Duration
	// FailAfter is the number of pieces after which an answer fails with Failure;
	// -1 disables the failure.
	FailAfter int
	Failure   error
	// Hang blocks each request before its first piece until its context ends.
	Hang bool
	// Leaving rejects requests with backend.ErrLeaving, Down rejects all
	// connections with Unreachable.
	Leaving bool
	Down    bool
	// Usage is the usage that an answer reports; the zero value reports the actual
	// usage.
	Usage structs.Usage
	// LoseOrders is the number of upcoming orders whose reply is lost. With
	// LoseEffect the order itself is lost too.
	LoseOrders int
	LoseEffect bool
	// ImportTime is the duration of an import into this engine. HangExport makes
	// imports from this engine hang.
	ImportTime time.Duration
	HangExport bool
}

// Stats holds the counters and records of an engine.
type Stats struct {
	// Offered is the number of requests that arrived, Started the number of those
	// that ran.
	Offered int
	Started int
	// Running is the number of requests running now, Peak its maximum so far.
	Running     int
	Peak        int
	Crashes     int
	Imports     int
	OrdersTaken int
	// ProgramOrder lists the programs of the requests that ran, in the order of their start.
	ProgramOrder []string
	// Released lists the programs whose KV cache was released, in order.
	Released []string
}

func newEngine() *Engine {
	return &Engine{
		Script:  Script{Tokens: defaultTokens, PieceInterval: defaultPieceInterval, FailAfter: noFailure},
		KV:      map[string]int{},
		crashed: make(chan struct{}),
	}
}

// clone returns a copy that does not change with the engine.
func (e *Engine) clone() Engine {
	copied := *e
	copied.KV = maps.Clone(e.KV)
	return copied
}

// crash aborts all requests and clears the KV cache.
func (e *Engine) crash() {
	e.Crashes++
	e.Down = true
	e.KV = map[string]int{}
	close(e.crashed)
	e.crashed = make(chan struct{})
}
