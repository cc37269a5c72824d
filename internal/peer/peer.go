// Package peer carries typed messages between daemons: one TCP connection for a
// pair and direction, opened on demand, multiplexed with yamux (credit for each
// stream), with length-prefixed msgpack frames inside a stream.
package peer

import "context"

// Stream is one exchange. Frames arrive in order. A stream is used by one
// goroutine for sending and one for receiving.
type Stream interface {
	// Send encodes and writes one frame.
	Send(message any) error
	// Recv reads one frame into message; io.EOF after the peer's CloseSend. An
	// error sent by the handler comes back as *verdict.Error.
	Recv(message any) error
	// CloseSend ends this direction.
	CloseSend() error
	// Close ends both directions; the handler's context is canceled.
	Close() error
}

// Handler serves one stream. A returned error is sent to the caller as
// *verdict.Error; nil ends the stream with io.EOF. ctx ends when the caller
// closes the stream or its connection breaks.
type Handler func(ctx context.Context, s Stream) error

// Mux registers handlers by method name, before the transport starts.
type Mux interface {
	Handle(method string, h Handler)
}

// BackgroundMux is a Mux that also serves streams which last as long as the
// connection, such as heartbeats. They are not work under way.
type BackgroundMux interface {
	Mux
	HandleBackground(method string, h Handler)
}

// HandleBackground registers h for streams that are not work under way, if mux
// tells them apart.
func HandleBackground(mux Mux, method string, h Handler) {
	if background, ok := mux.(BackgroundMux); ok {
		background.HandleBackground(method, h)
		return
	}
	mux.Handle(method, h)
}

// Dialer opens streams to daemons by their instance name. Errors from Open are
// *verdict.Error with reason PeerLost and verdict NotRun: nothing was sent.
// Errors of a broken stream carry PeerLost and MayHaveRun.
type Dialer interface {
	Open(ctx context.Context, daemon, method string) (Stream, error)
}

// Call opens a stream, sends one request and receives one reply.
func Call(ctx context.Context, d Dialer, daemon, method string, request, reply any) error {
	s, err := d.Open(ctx, daemon, method)
	if err != nil {
		return err
	}
	defer s.Close()
	if err := s.Send(request); err != nil {
		return err
	}
	return s.Recv(reply)
}
