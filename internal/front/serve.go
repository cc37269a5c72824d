package front

import (
	"context"

	"ibisline/internal/home"
	"ibisline/internal/peer"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// Serve registers the peer methods through which the fronts of other daemons
// reach the home on this daemon.
func Serve(mux peer.Mux, local home.Service) {
	mux.Handle(home.MethodOpen, unary(local.Open))
	mux.Handle(home.MethodCall, unary(local.Call))
	mux.Handle(home.MethodState, unary(func(ctx context.Context, r programRequest) (structs.ProgramState, error) {
		return local.State(ctx, r.Program)
	}))
	mux.Handle(home.MethodEnd, unary(func(ctx context.Context, r programRequest) (emptyReply, error) {
		return emptyReply{}, local.End(ctx, r.Program)
	}))
	mux.Handle(home.MethodTurn, streaming(local.Turn))
	mux.Handle(home.MethodResume, streaming(local.Resume))
}

// unary returns a handler for a method with one request and one reply.
func unary[Request, Reply any](run func(context.Context, Request) (Reply, error)) peer.Handler {
	return func(ctx context.Context, s peer.Stream) error {
		var request Request
		if err := s.Recv(&request); err != nil {
			return receiveError(err)
		}
		reply, err := run(ctx, request)
		if err != nil {
			return err
		}
		return s.Send(reply)
	}
}

// streaming returns a handler for a method that replies with a stream of events.
func streaming[Request any](run func(context.Context, Request, structs.Sink) error) peer.Handler {
	return func(ctx context.Context, s peer.Stream) error {
		var request Request
		if err := s.Recv(&request); err != nil {
			return receiveError(err)
		}
		return run(ctx, request, func(event structs.Event) error { return s.Send(event) })
	}
}

// receiveError refuses a request that was not received in full.
func receiveError(err error) error {
	return verdict.Wrap(err, verdict.NotRun, verdict.PeerLost, "request not received")
}
