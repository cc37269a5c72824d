package engines

import (
	"maps"
	"time"

	"ibisline/internal/backend"
	"ibisline/internal/structs"
)

// What an engine does until a test changes it.
const (
	defaultTokens = 3
	defaultGap    = 10 * time.Millisecond
	// never as Engine.FailAfter lets all answers end well.
	never = -1
)

// Engine is one scripted engine and what it has seen.
type Engine struct {
	Script
	Seen
	// KV is the KV cache that the engine holds, in tokens by program.
	KV map[string]int
	// Orders is what the engine reports of its orders.
	Orders backend.OrderState

	// crashed is closed when the engine crashes.
	crashed chan struct{}
}

// Script is how an engine behaves; tests set it.
type Script struct {
	// Tokens is the number of pieces of an answer, one each Gap.
	Tokens int
	Gap    time.Duration
	// FailAfter ends an answer with Failure after so many pieces; -1 never.
	FailAfter int
	Failure   error
	// Hang holds each request before its first piece until its context ends.
	Hang bool
	// Leaving refuses requests with backend.ErrLeaving, Down all connections
	// with Unreachable.
	Leaving bool
	Down    bool
	// Usage is what an answer reports; when zero, what it used.
	Usage structs.Usage
	// LoseOrders is the number of coming orders whose reply is lost; LoseEffect
	// loses the order itself.
	LoseOrders int
	LoseEffect bool
	// Importing is the time that an import takes, HangExport keeps imports from
	// this engine from ending.
	Importing  time.Duration
	HangExport bool
}

// Seen is what an engine counted and recorded.
type Seen struct {
	// Offered is the number of requests that arrived, Started of those that ran.
	Offered int
	Started int
	// Running is the number of requests that run now, Peak the most at once.
	Running int
	Peak    int
	// Crashes, Imports and OrdersTaken are numbers of events.
	Crashes     int
	Imports     int
	OrdersTaken int
	// Order is the programs of the requests that ran, in order.
	Order []string
	// Released is the programs whose KV cache was released, in order.
	Released []string
}

func newEngine() *Engine {
	return &Engine{
		Script:  Script{Tokens: defaultTokens, Gap: defaultGap, FailAfter: never},
		KV:      map[string]int{},
		crashed: make(chan struct{}),
	}
}

// clone returns a copy that later events leave alone.
func (e *Engine) clone() Engine {
	copied := *e
	copied.KV = maps.Clone(e.KV)
	return copied
}

// crash ends all requests and loses the KV cache.
func (e *Engine) crash() {
	e.Crashes++
	e.Down = true
	e.KV = map[string]int{}
	close(e.crashed)
	e.crashed = make(chan struct{})
}
