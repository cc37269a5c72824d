package peer

import (
	"container/list"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/go-faster/errors"
	"github.com/hashicorp/yamux"

	"ibisline/internal/timers"
	"ibisline/internal/verdict"
)

// Resolver returns the peer address, IP:port, of the daemon with the given
// instance name, and false if the address is unknown.
type Resolver func(daemon string) (addr string, ok bool)

// Transport implements BackgroundMux and Dialer over TCP. Register the handlers,
// then call Listen and Run.
type Transport struct {
	config   Config
	self     string
	logger   log.Interface
	handlers map[string]route
	listener net.Listener
	resolve  atomic.Pointer[Resolver]

	// ctx is the parent context of connections and handlers; stop cancels it.
	ctx   context.Context
	stop  context.CancelFunc
	group tasks
	// unidentified are the accepted connections whose daemon is not known yet.
	unidentified unidentifiedConns

	mu    sync.Mutex
	links map[string]*link

	activeStreams atomic.Int64
	brokenConns   *metrics.Counter
	refusedConns  *metrics.Counter
	badFrames     *metrics.Counter
	dials         *metrics.Counter
	sentBytes     *metrics.Counter
	receivedBytes *metrics.Counter
	writes        *metrics.Counter
}

var (
	_ BackgroundMux = (*Transport)(nil)
	_ Dialer        = (*Transport)(nil)
)

// route is a registered method. Streams of background methods are not counted in
// activeStreams.
type route struct {
	handler    Handler
	background bool
}

// link is the outgoing connection to one daemon, established or in progress.
type link struct {
	ready   chan struct{} // closed once session or err is set
	session *yamux.Session
	conn    *meteredConn
	err     error
	// usedAt is the time at which the link was last wanted for a stream, or seen with one. It is
	// protected by Transport.mu.
	usedAt time.Time
}

// NewTransport returns a transport for the daemon named self. resolve may be
// nil until SetResolver is called.
func NewTransport(config Config, self string, resolve Resolver, set *metrics.Set, logger log.Interface) *Transport {
	ctx, stop := context.WithCancel(context.Background())
	t := &Transport{
		config:        config.withDefaults(),
		self:          self,
		logger:        logger,
		handlers:      map[string]route{},
		ctx:           ctx,
		stop:          stop,
		links:         map[string]*link{},
		unidentified:  unidentifiedConns{conns: list.New()},
		brokenConns:   set.GetOrCreateCounter("ibisline_peer_connections_broken_total"),
		refusedConns:  set.GetOrCreateCounter("ibisline_peer_connections_refused_total"),
		badFrames:     set.GetOrCreateCounter("ibisline_peer_bad_frames_total"),
		dials:         set.GetOrCreateCounter("ibisline_peer_dials_total"),
		sentBytes:     set.GetOrCreateCounter("ibisline_peer_sent_bytes_total"),
		receivedBytes: set.GetOrCreateCounter("ibisline_peer_received_bytes_total"),
		writes:        set.GetOrCreateCounter("ibisline_peer_writes_total"),
	}
	set.GetOrCreateGauge("ibisline_peer_streams_served", func() float64 { return float64(t.activeStreams.Load()) })
	if resolve != nil {
		t.SetResolver(resolve)
	}
	return t
}

// SetResolver sets the function that resolves instance names to addresses.
func (t *Transport) SetResolver(resolve Resolver) { t.resolve.Store(&resolve) }

// Handle registers a method. It must not be called after Run.
func (t *Transport) Handle(method string, h Handler) { t.handlers[method] = route{handler: h} }

// HandleBackground registers a background method. It must not be called after Run.
func (t *Transport) HandleBackground(method string, h Handler) {
	t.handlers[method] = route{handler: h, background: true}
}

// Listen binds the configured address.
func (t *Transport) Listen() error {
	listener, err := net.Listen("tcp", t.config.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	t.listener = listener
	return nil
}

// Addr returns the address bound by Listen.
func (t *Transport) Addr() string { return t.listener.Addr().String() }

// Run accepts connections until ctx ends. It then closes all connections and waits
// for the handlers to return.
func (t *Transport) Run(ctx context.Context) error {
	release := context.AfterFunc(ctx, func() { t.listener.Close() })
	defer release()
	defer t.Close()
	for {
		conn, err := t.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			t.logger.WithError(err).Warn("failed to accept a peer connection")
			if !timers.Sleep(ctx, acceptRetryDelay) {
				return nil
			}
			continue
		}
		t.group.Go(func() { t.accept(t.ctx, conn) })
	}
}

// acceptRetryDelay is the wait after a failed accept, for example when the process
// is out of file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// Close closes the listener and all connections and waits for the handlers to
// return. It may be called more than once.
func (t *Transport) Close() error {
	t.stop()
	if t.listener != nil {
		t.listener.Close()
	}
	t.group.Wait()
	return nil
}

// Drain waits until no stream is being served, apart from those of background
// methods. It returns an error if ctx ends first.
func (t *Transport) Drain(ctx context.Context) error {
	for t.activeStreams.Load() > 0 {
		if !timers.Sleep(ctx, drainPollInterval) {
			return errors.Errorf("drain: %d streams still served: %w", t.activeStreams.Load(), ctx.Err())
		}
	}
	return nil
}

// drainPollInterval is the time between checks for active streams in Drain.
const drainPollInterval = 10 * time.Millisecond

// ActiveStreams returns the number of streams that are being served, apart from those of
// background methods.
func (t *Transport) ActiveStreams() int { return int(t.activeStreams.Load()) }

// Open opens a stream to the given method of a daemon. The stream is closed when
// ctx ends.
func (t *Transport) Open(ctx context.Context, daemon, method string) (Stream, error) {
	session, err := t.session(ctx, daemon)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.PeerLost, "no connection to daemon "+daemon)
	}
	raw, err := session.OpenStream()
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.PeerLost, "no stream to daemon "+daemon)
	}
	s := &stream{raw: raw, maxFrameBytes: t.config.MaxFrameBytes, daemon: daemon, ctx: ctx}
	release := context.AfterFunc(ctx, func() { s.Close() })
	s.onClose = func() { release() }
	// The handler may already be running after an error here, but it has received no
	// message of the caller, so the verdict is NotRun.
	if err := s.sendControl(frameOpen, openStream{Method: method}); err != nil {
		s.Close()
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.PeerLost, "no stream to daemon "+daemon)
	}
	return s, nil
}

// session returns the session of the connection to a daemon and connects if there
// is none. Concurrent callers share one connection attempt, which continues when
// the context of the caller that started it ends.
func (t *Transport) session(ctx context.Context, daemon string) (*yamux.Session, error) {
	l := t.linkTo(daemon)
	select {
	case <-l.ready:
		return l.session, l.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// linkTo returns the link to a daemon and starts a new one if there is no usable
// one.
func (t *Transport) linkTo(daemon string) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.links[daemon]
	if l != nil && l.usable() {
		l.usedAt = time.Now()
		return l
	}
	l = &link{ready: make(chan struct{}), usedAt: time.Now()}
	t.links[daemon] = l
	t.group.Go(func() { t.connect(daemon, l) })
	return l
}

// usable reports whether the link is established or being established.
func (l *link) usable() bool {
	select {
	case <-l.ready:
		return l.err == nil && !l.session.IsClosed()
	default:
		return true
	}
}

// connect establishes the link and monitors it until it ends.
func (t *Transport) connect(daemon string, l *link) {
	t.dials.Inc()
	l.conn, l.err = t.dial(daemon)
	if l.err == nil {
		l.session, l.err = yamux.Client(l.conn, t.config.yamuxConfig(t.logger))
	}
	close(l.ready)
	if l.err == nil {
		t.monitor(t.ctx, l.session, l.conn, func() bool { return t.retireIdle(daemon, l) })
	}
	t.removeLink(daemon, l)
}

// retireIdle removes l if it was not wanted for IdleTimeout and has no streams, and reports whether it
// did. Nobody can be about to open a stream on it then, as linkTo records the use under the same lock.
func (t *Transport) retireIdle(daemon string, l *link) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l.session.NumStreams() > 0 {
		l.usedAt = time.Now()
	}
	if time.Since(l.usedAt) <= t.config.IdleTimeout {
		return false
	}
	if t.links[daemon] == l {
		delete(t.links, daemon)
	}
	return true
}

// removeLink removes l unless a newer link has replaced it.
func (t *Transport) removeLink(daemon string, l *link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.links[daemon] == l {
		delete(t.links, daemon)
	}
}

// dialAddr connects to addr. It starts a new attempt whenever one has timed out
// after ConnectTimeout, until ctx ends.
func (t *Transport) dialAddr(ctx context.Context, addr string) (net.Conn, error) {
	for {
		attempt, cancel := context.WithTimeout(ctx, t.config.ConnectTimeout)
		conn, err := t.config.Dial(attempt, addr)
		timedOut := attempt.Err() != nil
		cancel()
		if err == nil || ctx.Err() != nil || !timedOut {
			return conn, err
		}
	}
}

// dial connects to a daemon and does the handshake.
func (t *Transport) dial(daemon string) (*meteredConn, error) {
	resolve := t.resolve.Load()
	if resolve == nil {
		return nil, errors.New("no resolver set")
	}
	addr, ok := (*resolve)(daemon)
	if !ok {
		return nil, errors.Errorf("address of daemon %q is unknown", daemon)
	}
	ctx, cancel := context.WithTimeout(t.ctx, t.config.DialTimeout)
	defer cancel()
	conn, err := t.dialAddr(ctx, addr)
	if err != nil {
		return nil, err
	}
	release := context.AfterFunc(ctx, func() { conn.Close() })
	err = t.clientHandshake(conn, daemon)
	if !release() {
		return nil, errors.New("handshake timed out")
	}
	if err != nil {
		conn.Close()
		return nil, errors.Wrap(err, "handshake")
	}
	return t.newMeteredConn(conn), nil
}
