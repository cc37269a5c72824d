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

// frameBuffer is the number of frames that a stream holds unread.
const frameBuffer = 64

// Open implements peer.Dialer.
func (n *Node) Open(ctx context.Context, daemon, method string) (peer.Stream, error) {
	other := n.network.node(daemon)
	if other == nil {
		return nil, verdict.Refuse(verdict.PeerLost, "daemon %s is unknown", daemon)
	}
	handle, up, ok := other.handler(method)
	if !ok {
		return nil, verdict.Refuse(verdict.PeerLost, "daemon %s is not reachable", daemon)
	}
	serveCtx, cancel := context.WithCancel(ctx)
	served := context.AfterFunc(up, cancel)
	there := make(chan frame, frameBuffer)
	back := make(chan frame, frameBuffer)
	local := &stream{ctx: serveCtx, cancel: cancel, network: n.network, from: n.self, to: other.self, out: there, in: back}
	remote := &stream{ctx: serveCtx, cancel: func() {}, network: n.network, from: other.self, to: n.self, out: back, in: there}
	go func() {
		defer served()
		remote.finish(handle(serveCtx, remote))
	}()
	return local, nil
}

// frame is one message on its way.
type frame struct {
	body  []byte
	err   *verdict.Error
	ready time.Time
}

// stream is one end of an exchange.
type stream struct {
	ctx      context.Context
	cancel   context.CancelFunc
	network  *Network
	from, to structs.Instance
	out      chan<- frame
	in       <-chan frame
	closing  sync.Once
}

// lost is the error of a stream that broke.
func (s *stream) lost() error {
	return verdict.New(verdict.MayHaveRun, verdict.PeerLost, "stream between %s and %s broke", s.from.Name, s.to.Name)
}

// Send implements peer.Stream.
func (s *stream) Send(message any) error {
	body, err := msgpack.Marshal(message)
	if err != nil {
		return err
	}
	return s.put(frame{body: body})
}

// put hands over a frame, or loses it on a cut link.
func (s *stream) put(f frame) error {
	delay, ok := s.network.send(s.from, s.to, len(f.body))
	if !ok {
		return nil
	}
	f.ready = time.Now().Add(delay)
	select {
	case s.out <- f:
		return nil
	case <-s.ctx.Done():
		return s.lost()
	}
}

// Recv implements peer.Stream.
func (s *stream) Recv(message any) error {
	select {
	case <-s.ctx.Done():
		return s.lost()
	case f, ok := <-s.in:
		if !ok {
			return io.EOF
		}
		return s.open(f, message)
	}
}

// open waits until a frame has arrived and decodes it.
func (s *stream) open(f frame, message any) error {
	if !s.await(f.ready) {
		return s.lost()
	}
	if f.err != nil {
		return f.err
	}
	return msgpack.Unmarshal(f.body, message)
}

// await waits until a time and returns false when the stream broke before. It
// starts no timer for a time that is past: under the race detector, timers that
// fire at once in a synctest bubble can crash the runtime.
func (s *stream) await(ready time.Time) bool {
	delay := time.Until(ready)
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

// finish ends the handler's side with its error, if any.
func (s *stream) finish(err error) {
	if err != nil {
		_ = s.put(frame{err: verdict.From(err)})
	}
	_ = s.CloseSend()
}

// CloseSend implements peer.Stream. On a cut link the end vanishes too.
func (s *stream) CloseSend() error {
	s.closing.Do(func() {
		if _, ok := s.network.send(s.from, s.to, 0); ok {
			close(s.out)
		}
	})
	return nil
}

// Close implements peer.Stream.
func (s *stream) Close() error {
	s.cancel()
	return nil
}
