// Package home runs the programs of the shards that this daemon owns: their
// order, history, budget and non-repeatable calls.
package home

import (
	"context"

	"ibisline/internal/structs"
)

// Service is what a front asks of a home, here or on another daemon. All errors
// are *verdict.Error. A daemon that does not own the program's shard answers
// with reason NotHome. Every method may be called again after any error: turns
// and calls are identified by program and turn or key.
type Service interface {
	Open(ctx context.Context, request structs.OpenRequest) (structs.OpenReply, error)
	// Turn runs the turn, or joins or replays it when it is known, and delivers
	// its events from the first. The turn goes on when ctx ends.
	Turn(ctx context.Context, request structs.TurnRequest, sink structs.Sink) error
	// Resume delivers the events of a known turn after request.After.
	Resume(ctx context.Context, request structs.ResumeRequest, sink structs.Sink) error
	Call(ctx context.Context, request structs.CallRequest) (structs.CallReply, error)
	State(ctx context.Context, program string) (structs.ProgramState, error)
	End(ctx context.Context, program string) error
}

// Methods under which a home is served to peers.
const (
	MethodOpen   = "home.open"
	MethodTurn   = "home.turn"
	MethodResume = "home.resume"
	MethodCall   = "home.call"
	MethodState  = "home.state"
	MethodEnd    = "home.end"
)
