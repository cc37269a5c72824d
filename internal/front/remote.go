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

// programRequest is the request of methods whose only argument is a program identifier.
type programRequest struct {
	Program string `msgpack:"p"`
}

// emptyReply is the reply of methods that return no value.
type emptyReply struct{}

// remoteHome is a home.Service client for the home on another daemon.
type remoteHome struct {
	dialer peer.Dialer
	daemon string
}

var _ home.Service = remoteHome{}

func (r remoteHome) Open(ctx context.Context, request structs.OpenRequest) (structs.OpenReply, error) {
	var reply structs.OpenReply
	err := peer.Call(ctx, r.dialer, r.daemon, home.MethodOpen, request, &reply)
	return reply, unaryError(err)
}

func (r remoteHome) Turn(ctx context.Context, request structs.TurnRequest, sink structs.Sink) error {
	return r.streamEvents(ctx, home.MethodTurn, request, sink)
}

func (r remoteHome) Resume(ctx context.Context, request structs.ResumeRequest, sink structs.Sink) error {
	return r.streamEvents(ctx, home.MethodResume, request, sink)
}

// streamEvents sends request and passes each event of the reply stream to sink.
func (r remoteHome) streamEvents(ctx context.Context, method string, request any, sink structs.Sink) error {
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
			return streamError(err)
		}
		if err := sink(event); err != nil {
			return err
		}
	}
}

// streamError maps the orderly end of an event stream, io.EOF, to nil.
func streamError(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// unaryError maps a stream that ended before its reply to a PeerLost failure.
func unaryError(err error) error {
	if errors.Is(err, io.EOF) {
		return verdict.New(verdict.MayHaveRun, verdict.PeerLost, "stream ended without an answer")
	}
	return err
}

func (r remoteHome) Call(ctx context.Context, request structs.CallRequest) (structs.CallReply, error) {
	var reply structs.CallReply
	err := peer.Call(ctx, r.dialer, r.daemon, home.MethodCall, request, &reply)
	return reply, unaryError(err)
}

func (r remoteHome) State(ctx context.Context, program string) (structs.ProgramState, error) {
	var state structs.ProgramState
	err := peer.Call(ctx, r.dialer, r.daemon, home.MethodState, programRequest{Program: program}, &state)
	return state, unaryError(err)
}

func (r remoteHome) End(ctx context.Context, program string) error {
	err := peer.Call(ctx, r.dialer, r.daemon, home.MethodEnd, programRequest{Program: program}, &emptyReply{})
	return unaryError(err)
}
