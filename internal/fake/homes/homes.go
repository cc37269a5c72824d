// Package homes is a stub of home.Service whose methods a test can replace.
package homes

import (
	"context"

	"ibisline/internal/home"
	"ibisline/internal/structs"
)

// Stub implements home.Service. Turn, Resume and Call run the function of their
// name; a call panics when that function is nil.
type Stub struct {
	OnTurn   func(context.Context, structs.TurnRequest, structs.Sink) error
	OnResume func(context.Context, structs.ResumeRequest, structs.Sink) error
	OnCall   func(context.Context, structs.CallRequest) (structs.CallReply, error)
}

var _ home.Service = (*Stub)(nil)

// Open accepts every program under the requested name.
func (s *Stub) Open(_ context.Context, r structs.OpenRequest) (structs.OpenReply, error) {
	return structs.OpenReply{Program: r.Program}, nil
}

// Turn calls OnTurn.
func (s *Stub) Turn(ctx context.Context, r structs.TurnRequest, sink structs.Sink) error {
	return s.OnTurn(ctx, r, sink)
}

// Resume calls OnResume.
func (s *Stub) Resume(ctx context.Context, r structs.ResumeRequest, sink structs.Sink) error {
	return s.OnResume(ctx, r, sink)
}

// Call calls OnCall.
func (s *Stub) Call(ctx context.Context, r structs.CallRequest) (structs.CallReply, error) {
	return s.OnCall(ctx, r)
}

// State returns a state that contains only the program's name.
func (s *Stub) State(_ context.Context, program string) (structs.ProgramState, error) {
	return structs.ProgramState{Program: program}, nil
}

// End accepts every program.
func (s *Stub) End(context.Context, string) error { return nil }
