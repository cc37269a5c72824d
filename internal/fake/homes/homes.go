// Package homes is a stand-in for a home's service, of which a test sets the
// methods that it needs.
package homes

import (
	"context"

	"ibisline/internal/home"
	"ibisline/internal/structs"
)

// Stub is a home.Service. A call of a method whose function is nil panics.
type Stub struct {
	OnTurn   func(context.Context, structs.TurnRequest, structs.Sink) error
	OnResume func(context.Context, structs.ResumeRequest, structs.Sink) error
	OnCall   func(context.Context, structs.CallRequest) (structs.CallReply, error)
}

var _ home.Service = (*Stub)(nil)

// Open implements home.Service: it accepts every program under the name asked for.
func (s *Stub) Open(_ context.Context, r structs.OpenRequest) (structs.OpenReply, error) {
	return structs.OpenReply{Program: r.Program}, nil
}

// Turn implements home.Service.
func (s *Stub) Turn(ctx context.Context, r structs.TurnRequest, sink structs.Sink) error {
	return s.OnTurn(ctx, r, sink)
}

// Resume implements home.Service.
func (s *Stub) Resume(ctx context.Context, r structs.ResumeRequest, sink structs.Sink) error {
	return s.OnResume(ctx, r, sink)
}

// Call implements home.Service.
func (s *Stub) Call(ctx context.Context, r structs.CallRequest) (structs.CallReply, error) {
	return s.OnCall(ctx, r)
}

// State implements home.Service: it knows every program by its name only.
func (s *Stub) State(_ context.Context, program string) (structs.ProgramState, error) {
	return structs.ProgramState{Program: program}, nil
}

// End implements home.Service.
func (s *Stub) End(context.Context, string) error { return nil }
