// Package peer is the messaging layer between daemons. Each daemon opens one TCP
// connection to a peer on demand and multiplexes streams over it with yamux, which
// has flow control per stream. A stream carries length-prefixed msgpack frames.
package peer

import "context"

// Stream is a bidirectional, ordered sequence of messages. At most one goroutine
// may send and at most one may receive at a time.
type Stream interface {
	// Send encodes and writes one message.
	Send(message any) error
	// Recv decodes the next message into message. It returns io.EOF after the
	// peer's CloseSend, and an error of the remote handler as *verdict.Error.
	Recv(message any) error
	// CloseSend ends the sending direction.
	CloseSend() error
	// Close ends both directions and cancels the context of the remote handler.
	Close() error
}

// Handler serves one stream. A returned error is sent to the caller as
// *verdict.Error; nil ends the stream with io.EOF. ctx is canceled when the caller
// closes the stream or the connection breaks.
type Handler func(ctx context.Context, s Stream) error

// Mux registers handlers by method name. Handlers must be registered before the
// transport runs.
type Mux interface {
	Handle(method string, h Handler)
}

// BackgroundMux is a Mux that also accepts background methods. Their streams last
// as long as the connection, such as heartbeats, and do not delay a drain.
type BackgroundMux interface {
	Mux
	HandleBackground(method string, h Handler)
}

// HandleBackground registers h as a background method if mux is a BackgroundMux,
// and as a regular method otherwise.
func HandleBackground(mux Mux, method string, h Handler) {
	if background, ok := mux.(BackgroundMux); ok {
		background.HandleBackground(method, h)
		return
	}
	mux.Handle(method, h)
}

// Dialer opens streams to daemons by instance name. Errors of Open are
// *verdict.Error with reason PeerLost and verdict NotRun, since no message was
// sent. Errors of a broken stream have reason PeerLost and verdict MayHaveRun.
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
