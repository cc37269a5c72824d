package front

import (
	"context"
	"io"

	"github.com/go-faster/errors"

	"ibisline/internal/home"
	"ibisline/internal/peer"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// programRequest is the message of methods that only name a program.
type programRequest struct {
	Program string `msgpack:"p"`
}

// done answers a method that returns nothing.
type done struct{}

// remote implements home.Service by the home of another daemon.
type remote struct {
	dialer peer.Dialer
	daemon string
}

var _ home.Service = remote{}

// Open implements home.Service.
func (r remote) Open(ctx context.Context, request structs.OpenRequest) (structs.OpenReply, error) {
	var reply structs.OpenReply
	err := peer.Call(ctx, r.dialer, r.daemon, home.MethodOpen, request, &reply)
	return reply, answered(err)
}

// Turn implements home.Service.
func (r remote) Turn(ctx context.Context, request structs.TurnRequest, sink structs.Sink) error {
	return r.events(ctx, home.MethodTurn, request, sink)
}

// Resume implements home.Service.
func (r remote) Resume(ctx context.Context, request structs.ResumeRequest, sink structs.Sink) error {
	return r.events(ctx, home.MethodResume, request, sink)
}

// events sends a request and hands the events that answer it to sink.
func (r remote) events(ctx context.Context, method string, request any, sink structs.Sink) error {
	s, err := r.dialer.Open(ctx, r.daemon, method)
	if err != nil {
		return err
	}
	defer s.Close()
	if err := s.Send(request); err != nil {
		return err
	}
	for {
		var event structs.Event
		if err := s.Recv(&event); err != nil {
			return endOfStream(err)
		}
		if err := sink(event); err != nil {
			return err
		}
	}
}

// endOfStream returns nil for the orderly end of a stream.
func endOfStream(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// answered turns the end of a stream before its answer into a lost peer.
func answered(err error) error {
	if errors.Is(err, io.EOF) {
		return verdict.New(verdict.MayHaveRun, verdict.PeerLost, "stream ended without an answer")
	}
	return err
}

// Call implements home.Service.
func (r remote) Call(ctx context.Context, request structs.CallRequest) (structs.CallReply, error) {
	var reply structs.CallReply
	err := peer.Call(ctx, r.dialer, r.daemon, home.MethodCall, request, &reply)
	return reply, answered(err)
}

// State implements home.Service.
func (r remote) State(ctx context.Context, program string) (structs.ProgramState, error) {
	var state structs.ProgramState
	err := peer.Call(ctx, r.dialer, r.daemon, home.MethodState, programRequest{Program: program}, &state)
	return state, answered(err)
}

// End implements home.Service.
func (r remote) End(ctx context.Context, program string) error {
	err := peer.Call(ctx, r.dialer, r.daemon, home.MethodEnd, programRequest{Program: program}, &done{})
	return answered(err)
}
