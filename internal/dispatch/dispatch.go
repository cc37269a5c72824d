// Package dispatch routes requests to backend servers: the router selects a
// server, and the dispatcher on the daemon that owns the server queues the
// request and admits it.
package dispatch

import (
	"context"

	"ibisline/internal/structs"
)

// Router runs the model calls of programs and reserves slots at plain services.
// All errors are *verdict.Error.
type Router interface {
	// Generate runs a model call and passes each piece of text to emit, in order
	// and without gaps or repetitions, even if the call moves to another engine.
	Generate(
		ctx context.Context, request structs.GenerateRequest, emit func(text string) error,
	) (structs.GenerateResult, error)
	// AcquireSlot waits for a slot at a plain service. The caller opens the
	// connection itself and must call ReleaseSlot. Errors have verdict NotRun.
	AcquireSlot(ctx context.Context, request structs.SlotRequest) (structs.Slot, error)
	ReleaseSlot(slot structs.Slot)
	// ReleaseKV asks the engine to release the KV memory of a program. It returns
	// nil only if the engine confirmed the release or is no longer listed.
	ReleaseKV(ctx context.Context, engine, program string) error
}

// Sender sends a call to a plain service exactly once: it follows no redirects
// and does not retry, and the HTTP client never resends the request on the
// connection. Errors are *verdict.Error, with NotRun only if no byte was written
// to a connection.
type Sender interface {
	Send(ctx context.Context, server structs.Server, request structs.CallRequest) (structs.CallReply, error)
	// LookUpOutcome asks a service for the outcome of the call with the given key.
	// ok is false if the service supports no lookups or does not know the key.
	LookUpOutcome(ctx context.Context, server structs.Server, key string) (reply structs.CallReply, ok bool, err error)
}
