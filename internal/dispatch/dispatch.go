// Package dispatch sends work to backend servers: the router picks a server for
// a request, and the dispatcher that owns the server queues and admits it.
package dispatch

import (
	"context"

	"ibisline/internal/structs"
)

// Router is what a home asks for. All errors are *verdict.Error.
type Router interface {
	// Generate runs a model call and hands each piece of text to emit, in order
	// and without gaps or repeats, also when the call moves to another engine.
	Generate(ctx context.Context, request structs.GenerateRequest, emit func(text string) error) (structs.Generated, error)
	// AcquireSlot waits for a slot at a plain service. The caller opens the
	// connection itself and must call ReleaseSlot. Errors carry NotRun.
	AcquireSlot(ctx context.Context, request structs.SlotRequest) (structs.Slot, error)
	ReleaseSlot(slot structs.Slot)
	// Forget asks the engine to release the KV memory of a program. It returns
	// nil only when the engine confirmed it or is gone.
	Forget(ctx context.Context, engine, program string) error
}

// Sender sends one call to a plain service, once: no redirects followed, no
// retries, on a connection that the HTTP client never sends again on. The error
// is *verdict.Error: NotRun only if no byte was handed to a connection.
type Sender interface {
	Send(ctx context.Context, server structs.Server, request structs.CallRequest) (structs.CallReply, error)
	// Settle asks a service that offers look-ups for the outcome of a key. ok is
	// false when the service does not know.
	Settle(ctx context.Context, server structs.Server, key string) (reply structs.CallReply, ok bool, err error)
}
