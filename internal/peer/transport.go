package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/go-faster/errors"
	"github.com/hashicorp/yamux"

	"ibisline/internal/verdict"
)

// Resolver returns the peer address, IP:port, of a daemon by its instance name.
type Resolver func(daemon string) (addr string, ok bool)

// Transport implements Mux and Dialer over TCP. Register handlers, call Listen,
// then Run.
type Transport struct {
	config   Config
	self     string
	logger   log.Interface
	handlers map[string]route
	listener net.Listener
	resolve  atomic.Pointer[Resolver]

	// ctx bounds connections and handlers; stop ends it.
	ctx   context.Context
	stop  context.CancelFunc
	group tasks

	mu    sync.Mutex
	links map[string]*link

	active    atomic.Int64
	broken    *metrics.Counter
	refused   *metrics.Counter
	badFrames *metrics.Counter
	dials     *metrics.Counter
	sent      *metrics.Counter
	received  *metrics.Counter
	writes    *metrics.Counter
}

var (
	_ BackgroundMux = (*Transport)(nil)
	_ Dialer        = (*Transport)(nil)
)

// route is a registered method. The streams of a background method are not
// counted as work under way.
type route struct {
	handler    Handler
	background bool
}

// link is the outgoing connection to one daemon, or the attempt to make it.
type link struct {
	ready   chan struct{} // closed when session or err is set
	session *yamux.Session
	conn    *meteredConn
	err     error
}

// NewTransport returns a transport for the daemon named self. resolve may be
// nil until SetResolver is called.
func NewTransport(config Config, self string, resolve Resolver, set *metrics.Set, logger log.Interface) *Transport {
	ctx, stop := context.WithCancel(context.Background())
	t := &Transport{
		config:    config.withDefaults(),
		self:      self,
		logger:    logger,
		handlers:  map[string]route{},
		ctx:       ctx,
		stop:      stop,
		links:     map[string]*link{},
		broken:    set.GetOrCreateCounter("ibisline_peer_connections_broken_total"),
		refused:   set.GetOrCreateCounter("ibisline_peer_connections_refused_total"),
		badFrames: set.GetOrCreateCounter("ibisline_peer_bad_frames_total"),
		dials:     set.GetOrCreateCounter("ibisline_peer_dials_total"),
		sent:      set.GetOrCreateCounter("ibisline_peer_sent_bytes_total"),
		received:  set.GetOrCreateCounter("ibisline_peer_received_bytes_total"),
		writes:    set.GetOrCreateCounter("ibisline_peer_writes_total"),
	}
	set.GetOrCreateGauge("ibisline_peer_streams_served", func() float64 { return float64(t.active.Load()) })
	if resolve != nil {
		t.SetResolver(resolve)
	}
	return t
}

// SetResolver sets the function that finds the addresses of daemons.
func (t *Transport) SetResolver(resolve Resolver) { t.resolve.Store(&resolve) }

// Handle implements Mux. It must not be called after Run.
func (t *Transport) Handle(method string, h Handler) { t.handlers[method] = route{handler: h} }

// HandleBackground implements BackgroundMux. It must not be called after Run.
func (t *Transport) HandleBackground(method string, h Handler) {
	t.handlers[method] = route{handler: h, background: true}
}

// Listen binds the listening address.
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

// Run accepts connections until ctx ends, then closes everything and waits for
// the handlers.
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
			t.logger.WithError(err).Warn("accept failed")
			if !pause(ctx, acceptRetry) {
				return nil
			}
			continue
		}
		t.group.Go(func() { t.accept(t.ctx, conn) })
	}
}

// acceptRetry is the wait after a failed accept, such as one for lack of file
// descriptors.
const acceptRetry = 50 * time.Millisecond

// pause waits for d and returns false when ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// Close breaks all connections and waits for the handlers. It may be called
// more than once.
func (t *Transport) Close() error {
	t.stop()
	if t.listener != nil {
		t.listener.Close()
	}
	t.group.Wait()
	return nil
}

// Drain waits until no stream is served here for a peer, those of background
// methods aside, or ctx ends.
func (t *Transport) Drain(ctx context.Context) error {
	for t.active.Load() > 0 {
		if !pause(ctx, drainPoll) {
			return errors.Errorf("%d streams still served: %w", t.active.Load(), ctx.Err())
		}
	}
	return nil
}

// drainPoll is the time between looks at the open streams while draining.
const drainPoll = 10 * time.Millisecond

// Served returns the number of streams served for peers now, those of background
// methods aside.
func (t *Transport) Served() int { return int(t.active.Load()) }

// Open implements Dialer.
func (t *Transport) Open(ctx context.Context, daemon, method string) (Stream, error) {
	session, err := t.session(ctx, daemon)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.PeerLost, "no connection to daemon "+daemon)
	}
	raw, err := session.OpenStream()
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.PeerLost, "no stream to daemon "+daemon)
	}
	s := &stream{raw: raw, limit: t.config.MaxFrameBytes, daemon: daemon, ctx: ctx}
	release := context.AfterFunc(ctx, func() { s.Close() })
	s.onClose = func() { release() }
	// The handler may start now, but it has no message of the caller yet.
	if err := s.control(frameOpen, openStream{Method: method}); err != nil {
		s.Close()
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.PeerLost, "no stream to daemon "+daemon)
	}
	return s, nil
}

// session returns the connection to a daemon, made now if there is none. The
// attempt is shared by all callers and outlives the one that started it.
func (t *Transport) session(ctx context.Context, daemon string) (*yamux.Session, error) {
	l := t.link(daemon)
	select {
	case <-l.ready:
		return l.session, l.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// link returns the current link of a daemon and starts one when it has none
// that is usable.
func (t *Transport) link(daemon string) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.links[daemon]
	if l != nil && l.usable() {
		return l
	}
	l = &link{ready: make(chan struct{})}
	t.links[daemon] = l
	t.group.Go(func() { t.connect(daemon, l) })
	return l
}

// usable is true while the link is being made or stands.
func (l *link) usable() bool {
	select {
	case <-l.ready:
		return l.err == nil && !l.session.IsClosed()
	default:
		return true
	}
}

// connect makes the link and then watches it until it ends.
func (t *Transport) connect(daemon string, l *link) {
	t.dials.Inc()
	l.conn, l.err = t.dial(daemon)
	if l.err == nil {
		l.session, l.err = yamux.Client(l.conn, t.config.yamuxConfig(t.logger))
	}
	close(l.ready)
	if l.err == nil {
		t.watch(t.ctx, l.session, l.conn, true)
	}
	t.drop(daemon, l)
}

// drop forgets a link unless another has replaced it.
func (t *Transport) drop(daemon string, l *link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.links[daemon] == l {
		delete(t.links, daemon)
	}
}

// connectTo makes a TCP connection, with another attempt whenever one gets no answer
// in time, until ctx ends.
func (t *Transport) connectTo(ctx context.Context, addr string) (net.Conn, error) {
	for {
		attempt, cancel := context.WithTimeout(ctx, t.config.ConnectTimeout)
		conn, err := t.config.Dial(attempt, addr)
		unanswered := attempt.Err() != nil
		cancel()
		if err == nil || ctx.Err() != nil || !unanswered {
			return conn, err
		}
	}
}

// dial connects to a daemon and shakes hands.
func (t *Transport) dial(daemon string) (*meteredConn, error) {
	resolve := t.resolve.Load()
	if resolve == nil {
		return nil, errors.New("no resolver set")
	}
	addr, ok := (*resolve)(daemon)
	if !ok {
		return nil, errors.Errorf("address of daemon %q is not known", daemon)
	}
	ctx, cancel := context.WithTimeout(t.ctx, t.config.DialTimeout)
	defer cancel()
	conn, err := t.connectTo(ctx, addr)
	if err != nil {
		return nil, err
	}
	release := context.AfterFunc(ctx, func() { conn.Close() })
	err = t.greet(conn, daemon)
	if !release() {
		return nil, errors.New("handshake timed out")
	}
	if err != nil {
		conn.Close()
		return nil, errors.Wrap(err, "handshake")
	}
	return t.counted(conn), nil
}
