package member_test

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"ibisline/internal/peer"
	"ibisline/internal/verdict"
)

// network is an in-memory network with fault injection. Its streams behave like
// those of the transport.
type network struct {
	mu     sync.Mutex
	hosts  map[string]*host
	cuts   map[[2]string]bool
	random *rand.Rand
	// delayedShare is the share of messages delayed by a retransmission.
	delayedShare float64
	// messages is the number of messages sent, bytes their total size.
	messages int
	bytes    int
}

// host is the Mux and Dialer of one daemon.
type host struct {
	net      *network
	name     string
	handlers map[string]peer.Handler
	up       bool
	paused   chan struct{} // closed at the end of the pause
	ctx      context.Context
	stop     context.CancelFunc
}

const (
	netLatency    = time.Millisecond
	netRetransmit = 300 * time.Millisecond
	netDialLimit  = time.Second
)

func newNetwork(seed uint64) *network {
	return &network{
		hosts:  map[string]*host{},
		cuts:   map[[2]string]bool{},
		random: rand.New(rand.NewPCG(seed, seed)),
	}
}

// host adds a running daemon, or replaces the one of the same name.
func (n *network) host(name string) *host {
	n.mu.Lock()
	defer n.mu.Unlock()
	ctx, stop := context.WithCancel(context.Background())
	h := &host{net: n, name: name, handlers: map[string]peer.Handler{}, up: true, ctx: ctx, stop: stop}
	n.hosts[name] = h
	return h
}

// kill ends a daemon: its streams break and its address refuses connections.
func (n *network) kill(name string) {
	n.mu.Lock()
	h := n.hosts[name]
	h.up = false
	n.mu.Unlock()
	h.stop()
}

// pause blocks everything that a daemon sends or receives until resume.
func (n *network) pause(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[name].paused = make(chan struct{})
}

func (n *network) resume(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.hosts[name].paused)
	n.hosts[name].paused = nil
}

// cut drops the messages, in both directions, of the streams that daemon from has opened
// to daemon to, and makes attempts to open new ones time out.
func (n *network) cut(from, to string) { n.setCut(from, to, true) }

func (n *network) heal(from, to string) { n.setCut(from, to, false) }

func (n *network) setCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{from, to}] = cut
}

func (n *network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[[2]string{from, to}]
}

// delay returns the latency of the next message.
func (n *network) delay(size int) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.messages++
	n.bytes += size
	if n.random.Float64() < n.delayedShare {
		return netRetransmit
	}
	return netLatency
}

// traffic returns the messages and bytes sent so far.
func (n *network) traffic() (messages, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.messages, n.bytes
}

// waitWhilePaused blocks while the daemon is paused.
func (h *host) waitWhilePaused(ctx context.Context) error {
	for {
		h.net.mu.Lock()
		paused := h.paused
		h.net.mu.Unlock()
		if paused == nil {
			return ctx.Err()
		}
		select {
		case <-paused:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (h *host) Handle(method string, handler peer.Handler) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	h.handlers[method] = handler
}

func (h *host) Open(ctx context.Context, daemon, method string) (peer.Stream, error) {
	if err := h.waitWhilePaused(ctx); err != nil {
		return nil, notOpened(err)
	}
	h.net.mu.Lock()
	to := h.net.hosts[daemon]
	h.net.mu.Unlock()
	if to == nil || h.net.isCut(h.name, daemon) {
		sleep(ctx, netDialLimit)
		return nil, notOpened(context.DeadlineExceeded)
	}
	h.net.mu.Lock()
	up := to.up
	handler := to.handlers[method]
	h.net.mu.Unlock()
	// A daemon opens its port only after its services have registered.
	if !up || handler == nil {
		return nil, notOpened(syscall.ECONNREFUSED)
	}
	near, far := h.net.streams(ctx, h, to)
	go func() {
		defer far.Close()
		if err := handler(far.ctx, far); err != nil {
			far.end = verdict.From(err)
		}
		close(far.out)
	}()
	return near, nil
}

func notOpened(err error) error {
	return verdict.Wrap(err, verdict.NotRun, verdict.PeerLost, "not opened")
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// memStream is one end of a stream.
type memStream struct {
	net    *network
	opener string
	other  string
	host   *host
	ctx    context.Context
	cancel context.CancelFunc
	in     chan []byte
	out    chan []byte
	peer   *memStream
	end    *verdict.Error
}

// streams returns the two ends of a stream that from opens to to.
func (n *network) streams(ctx context.Context, from, to *host) (near, far *memStream) {
	a, b := make(chan []byte, 8), make(chan []byte, 8)
	nearCtx, nearCancel := context.WithCancel(ctx)
	farCtx, farCancel := context.WithCancel(to.ctx)
	near = &memStream{net: n, opener: from.name, other: to.name, host: from, ctx: nearCtx, in: b, out: a}
	far = &memStream{net: n, opener: from.name, other: to.name, host: to, ctx: farCtx, in: a, out: b}
	near.peer, far.peer = far, near
	cancelBoth := func() {
		nearCancel()
		farCancel()
	}
	near.cancel, far.cancel = cancelBoth, farCancel
	// The death of either daemon breaks the stream.
	context.AfterFunc(from.ctx, cancelBoth)
	context.AfterFunc(to.ctx, cancelBoth)
	context.AfterFunc(nearCtx, cancelBoth)
	return near, far
}

func (s *memStream) lost(err error) error {
	return verdict.Wrap(err, verdict.MayHaveRun, verdict.PeerLost, "stream broke")
}

func (s *memStream) Send(message any) error {
	encoded, err := msgpack.Marshal(message)
	if err != nil {
		return err
	}
	if err := s.host.waitWhilePaused(s.ctx); err != nil {
		return s.lost(err)
	}
	sleep(s.ctx, s.net.delay(len(encoded)))
	if s.net.isCut(s.opener, s.other) {
		return nil
	}
	select {
	case s.out <- encoded:
		return nil
	case <-s.ctx.Done():
		return s.lost(s.ctx.Err())
	}
}

func (s *memStream) Recv(message any) error {
	select {
	case encoded, ok := <-s.in:
		if !ok {
			return s.ended()
		}
		if err := s.host.waitWhilePaused(s.ctx); err != nil {
			return s.lost(err)
		}
		return msgpack.Unmarshal(encoded, message)
	case <-s.ctx.Done():
		return s.lost(s.ctx.Err())
	}
}

func (s *memStream) ended() error {
	if s.peer.end != nil {
		return s.peer.end
	}
	return io.EOF
}

func (s *memStream) CloseSend() error { return nil }

func (s *memStream) Close() error {
	s.cancel()
	return nil
}
