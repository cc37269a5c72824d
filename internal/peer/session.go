package peer

import (
	"context"
	"net"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"
	"github.com/hashicorp/yamux"

	"ibisline/internal/verdict"
)

// protocolVersion changes with every incompatible change of the frames. A
// daemon refuses a connection of another version.
const protocolVersion = 1

const (
	// acceptBacklog bounds the streams that wait to be accepted.
	acceptBacklog = 1024
	// streamWindowBytes is the credit of a stream: what a slow reader may leave
	// unread before its sender waits.
	streamWindowBytes = 256 << 10
	// streamCloseTimeout frees a closed stream whose other side never closes.
	streamCloseTimeout = 5 * time.Second
)

// hello opens a connection. Both sides send one. To guards against an address
// that another daemon has taken over.
type hello struct {
	Version int    `msgpack:"v"`
	From    string `msgpack:"f"`
	To      string `msgpack:"t"`
}

// openStream names the method that serves a stream.
type openStream struct {
	Method string `msgpack:"m"`
}

// yamuxConfig returns the settings of a multiplexed connection. Its own
// keepalive is off because idle connections are not worth the bytes; see watch.
func (c Config) yamuxConfig(logger log.Interface) *yamux.Config {
	config := yamux.DefaultConfig()
	config.AcceptBacklog = acceptBacklog
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = c.PingTimeout
	config.MaxStreamWindowSize = streamWindowBytes
	config.StreamCloseTimeout = streamCloseTimeout
	config.StreamOpenTimeout = c.DialTimeout + c.PingTimeout
	config.LogOutput = nil
	config.Logger = yamuxLogger{logger}
	return config
}

// yamuxLogger writes yamux's messages to the daemon's log at debug level, since
// every broken connection is also reported by the streams that it carried.
type yamuxLogger struct{ log.Interface }

// Print implements yamux.Logger.
func (l yamuxLogger) Print(v ...any) { l.Debugf("%v", v) }

// Printf implements yamux.Logger.
func (l yamuxLogger) Printf(format string, v ...any) { l.Debugf(format, v...) }

// Println implements yamux.Logger.
func (l yamuxLogger) Println(v ...any) { l.Debugf("%v", v) }

// greet sends the hello of the connecting side and checks the answer.
func (t *Transport) greet(conn net.Conn, daemon string) error {
	mine := hello{Version: protocolVersion, From: t.self, To: daemon}
	if err := t.sendHello(conn, mine); err != nil {
		return err
	}
	theirs, err := t.recvHello(conn)
	if err != nil {
		return err
	}
	if theirs.From != daemon {
		return errors.Errorf("address belongs to daemon %q, not %q", theirs.From, daemon)
	}
	return nil
}

// Meet returns the name of the daemon that listens at addr, IP:port. No stream is
// opened to it.
func (t *Transport) Meet(ctx context.Context, addr string) (string, error) {
	conn, err := t.connectTo(ctx, addr)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	release := context.AfterFunc(ctx, func() { conn.Close() })
	defer release()
	if err := t.sendHello(conn, hello{Version: protocolVersion, From: t.self}); err != nil {
		return "", err
	}
	theirs, err := t.recvHello(conn)
	return theirs.From, err
}

// welcome checks the hello of an accepted connection and answers it.
func (t *Transport) welcome(conn net.Conn) (string, error) {
	theirs, err := t.recvHello(conn)
	if err != nil {
		return "", err
	}
	// The answer names this daemon also when another one was meant, so that the
	// other side learns why it is refused.
	mine := hello{Version: protocolVersion, From: t.self, To: theirs.From}
	if err := t.sendHello(conn, mine); err != nil {
		return "", err
	}
	if theirs.To != t.self {
		return "", errors.Errorf("connection was meant for daemon %q", theirs.To)
	}
	return theirs.From, nil
}

func (t *Transport) sendHello(conn net.Conn, h hello) error {
	encoded, err := encodeFrame(frameHello, h, t.config.MaxFrameBytes)
	if err != nil {
		return err
	}
	_, err = conn.Write(encoded)
	return err
}

// helloMaxBytes bounds the first frame of a connection that is not yet known.
const helloMaxBytes = 4 << 10

func (t *Transport) recvHello(conn net.Conn) (hello, error) {
	var h hello
	f, err := readFrame(conn, helloMaxBytes)
	if err != nil {
		return h, err
	}
	if f.kind != frameHello {
		return h, errors.Errorf("first frame has kind %d", f.kind)
	}
	if err := f.decode(&h); err != nil {
		return h, err
	}
	if h.Version != protocolVersion {
		return h, errors.Errorf("protocol version %d, this daemon speaks %d", h.Version, protocolVersion)
	}
	return h, nil
}

// watch checks a connection that has streams but was silent for an interval, so
// that a cut is noticed although no packet comes back, and closes it when it was idle for too long.
// Only the connecting side closes an idle connection: it alone opens streams.
func (t *Transport) watch(ctx context.Context, session *yamux.Session, conn *meteredConn, closeIdle bool) {
	ticker := time.NewTicker(t.config.PingInterval)
	defer ticker.Stop()
	defer session.Close()
	used := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-session.CloseChan():
			return
		case <-ticker.C:
		}
		if session.NumStreams() == 0 {
			if closeIdle && time.Since(used) > t.config.IdleTimeout {
				return
			}
			continue
		}
		used = time.Now()
		if conn.heardWithin(t.config.PingInterval) {
			continue
		}
		if _, err := session.Ping(); err != nil {
			t.broken.Inc()
			return
		}
	}
}

// accept serves the streams of one connection until it ends.
func (t *Transport) accept(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(t.config.DialTimeout))
	daemon, err := t.welcome(conn)
	if err != nil {
		t.refused.Inc()
		t.logger.WithError(err).WithField("remote", conn.RemoteAddr().String()).Warn("refused peer connection")
		return
	}
	_ = conn.SetDeadline(time.Time{})
	metered := t.counted(conn)
	session, err := yamux.Server(metered, t.config.yamuxConfig(t.logger))
	if err != nil {
		t.logger.WithError(err).Error("peer session not started")
		return
	}
	t.group.Go(func() { t.watch(ctx, session, metered, false) })
	for {
		raw, err := session.AcceptStream()
		if err != nil {
			return
		}
		t.group.Go(func() { t.serve(ctx, daemon, raw) })
	}
}

// serve runs the handler of one stream and sends its outcome.
func (t *Transport) serve(ctx context.Context, daemon string, raw *yamux.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &stream{raw: raw, limit: t.config.MaxFrameBytes, daemon: daemon, ctx: ctx}
	defer s.Close()
	_ = raw.SetReadDeadline(time.Now().Add(t.config.DialTimeout + t.config.PingTimeout))
	method, err := t.recvOpen(raw)
	if err != nil {
		t.badFrames.Inc()
		return
	}
	_ = raw.SetReadDeadline(time.Time{})
	s.frames = make(chan readResult, 1)
	t.group.Go(func() { s.readAhead(cancel) })
	route := t.handlers[method]
	if !route.background {
		t.active.Add(1)
		defer t.active.Add(-1)
	}
	if err := t.dispatch(ctx, method, route.handler, s); err != nil {
		_ = s.control(frameError, wireError(err))
		return
	}
	_ = s.control(frameEnd, nil)
}

// recvOpen reads the first frame of a stream.
func (t *Transport) recvOpen(raw *yamux.Stream) (string, error) {
	f, err := readFrame(raw, t.config.MaxFrameBytes)
	if err != nil {
		return "", err
	}
	if f.kind != frameOpen {
		return "", errors.Errorf("first frame of a stream has kind %d", f.kind)
	}
	var open openStream
	if err := f.decode(&open); err != nil {
		return "", err
	}
	return open.Method, nil
}

// dispatch calls the handler; a panic in it becomes an error of this stream.
func (t *Transport) dispatch(ctx context.Context, method string, handler Handler, s *stream) (err error) {
	if handler == nil {
		return verdict.Refuse(verdict.BadRequest, "daemon %s serves no method %q", t.self, method)
	}
	defer func() {
		if v := recover(); v != nil {
			t.logger.WithField("method", method).Errorf("handler panicked: %v", v)
			err = verdict.New(verdict.MayHaveRun, verdict.Internal, "handler of %s failed", method)
		}
	}()
	return handler(ctx, s)
}

// wireError returns err as it crosses the wire. The cause stays here, so its
// text is added to the message.
func wireError(err error) *verdict.Error {
	known := *verdict.From(err)
	if known.Cause != nil {
		known.Message += ": " + known.Cause.Error()
		known.Cause = nil
	}
	return &known
}
