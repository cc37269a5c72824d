package peers

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"ibisline/internal/peer"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// frameBuffer is the number of unread frames that a stream buffers in each direction.
const frameBuffer = 64

// Open opens a stream to a method of a daemon. Its errors are verdicts with the reason
// PeerLost.
func (n *Node) Open(ctx context.Context, daemon, method string) (peer.Stream, error) {
	other := n.network.node(daemon)
	if other == nil {
		return nil, verdict.Refuse(verdict.PeerLost, "daemon %s is unknown", daemon)
	}
	handle, upCtx, ok := other.handler(method)
	if !ok {
		return nil, verdict.Refuse(verdict.PeerLost, "daemon %s is not reachable", daemon)
	}
	serveCtx, cancel := context.WithCancel(ctx)
	stopCancelOnDown := context.AfterFunc(upCtx, cancel)
	toHandler := make(chan frame, frameBuffer)
	toCaller := make(chan frame, frameBuffer)
	local := &stream{
		ctx: serveCtx, cancel: cancel, network: n.network, from: n.self, to: other.self, out: toHandler, in: toCaller,
	}
	remote := &stream{
		ctx: serveCtx, cancel: func() {}, network: n.network, from: other.self, to: n.self, out: toCaller, in: toHandler,
	}
	go func() {
		defer stopCancelOnDown()
		remote.finish(handle(serveCtx, remote))
	}()
	return local, nil
}

// frame is one message in transit. It is delivered at deliverAt.
type frame struct {
	body      []byte
	err       *verdict.Error
	deliverAt time.Time
}

// stream is one end of a stream.
type stream struct {
	ctx           context.Context
	cancel        context.CancelFunc
	network       *Network
	from, to      structs.Instance
	out           chan<- frame
	in            <-chan frame
	closeSendOnce sync.Once
}

// brokenError returns the error of a broken stream.
func (s *stream) brokenError() error {
	return verdict.New(verdict.MayHaveRun, verdict.PeerLost, "stream between %s and %s broke", s.from.Name, s.to.Name)
}

// Send encodes a message and sends it.
func (s *stream) Send(message any) error {
	body, err := msgpack.Marshal(message)
	if err != nil {
		return err
	}
	return s.sendFrame(frame{body: body})
}

// sendFrame sends a frame. A cut link drops it without an error.
func (s *stream) sendFrame(f frame) error {
	delay, ok := s.network.transmit(s.from, s.to, len(f.body))
	if !ok {
		return nil
	}
	f.deliverAt = time.Now().Add(delay)
	select {
	case s.out <- f:
		return nil
	case <-s.ctx.Done():
		return s.brokenError()
	}
}

// Recv receives and decodes the next message. It returns io.EOF at the end of the
// stream.
func (s *stream) Recv(message any) error {
	select {
	case <-s.ctx.Done():
		return s.brokenError()
	case f, ok := <-s.in:
		if !ok {
			return io.EOF
		}
		return s.decodeFrame(f, message)
	}
}

// decodeFrame waits until a frame has arrived and decodes it into message.
func (s *stream) decodeFrame(f frame, message any) error {
	if !s.waitUntil(f.deliverAt) {
		return s.brokenError()
	}
	if f.err != nil {
		return f.err
	}
	return msgpack.Unmarshal(f.body, message)
}

// waitUntil waits until a point in time. It returns false when the stream breaks
// before. It starts no timer for a time in the past: under the race detector, timers
// that fire immediately in a synctest bubble can crash the runtime.
func (s *stream) waitUntil(deliverAt time.Time) bool {
	delay := time.Until(deliverAt)
	if delay <= 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-s.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// finish sends the handler's error, if any, and closes the handler's end.
func (s *stream) finish(err error) {
	if err != nil {
		_ = s.sendFrame(frame{err: verdict.From(err)})
	}
	_ = s.CloseSend()
}

// CloseSend ends the sending direction. On a cut link the other end does not learn of
// it.
func (s *stream) CloseSend() error {
	s.closeSendOnce.Do(func() {
		if _, ok := s.network.transmit(s.from, s.to, 0); ok {
			close(s.out)
		}
	})
	return nil
}

// Close breaks the stream at both ends.
func (s *stream) Close() error {
	s.cancel()
	return nil
}
