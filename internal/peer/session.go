package peer

import (
	"container/list"
	"context"
	"net"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"
	"github.com/hashicorp/yamux"

	"ibisline/internal/verdict"
)

// protocolVersion is incremented with every incompatible change of the frame
// format. A daemon refuses connections of any other version.
const protocolVersion = 1

const (
	// acceptBacklog is the maximum number of streams waiting to be accepted.
	acceptBacklog = 1024
	// streamWindowBytes is the receive window of a stream: the unread data after
	// which the sender blocks.
	streamWindowBytes = 256 << 10
	// streamCloseTimeout is the time after which a locally closed stream is freed
	// even if the remote side never closes it.
	streamCloseTimeout = 5 * time.Second
)

// hello is the handshake message that both sides send on a new connection. To
// detects that the address now belongs to another daemon.
type hello struct {
	Version int    `msgpack:"v"`
	From    string `msgpack:"f"`
	To      string `msgpack:"t"`
}

// openStream is the first message of a stream and names the method to call.
type openStream struct {
	Method string `msgpack:"m"`
}

// yamuxConfig returns the settings of a multiplexed connection. The keepalive of
// yamux is off because it would also ping idle connections; monitor pings only
// connections that have streams.
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

// yamuxLogger logs yamux messages at debug level, because each broken connection
// is also reported as an error of its streams.
type yamuxLogger struct{ log.Interface }

func (l yamuxLogger) Print(v ...any) { l.Debugf("%v", v) }

func (l yamuxLogger) Printf(format string, v ...any) { l.Debugf(format, v...) }

func (l yamuxLogger) Println(v ...any) { l.Debugf("%v", v) }

// clientHandshake sends the hello of the connecting side and checks the reply.
func (t *Transport) clientHandshake(conn net.Conn, daemon string) error {
	local := hello{Version: protocolVersion, From: t.self, To: daemon}
	if err := t.sendHello(conn, local); err != nil {
		return err
	}
	remote, err := t.recvHello(conn)
	if err != nil {
		return err
	}
	if remote.From != daemon {
		return errors.Errorf("address belongs to daemon %q, not %q", remote.From, daemon)
	}
	return nil
}

// Meet returns the name of the daemon that listens at addr, IP:port. It does a
// handshake only and opens no stream.
func (t *Transport) Meet(ctx context.Context, addr string) (string, error) {
	conn, err := t.dialAddr(ctx, addr)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	release := context.AfterFunc(ctx, func() { conn.Close() })
	defer release()
	if err := t.sendHello(conn, hello{Version: protocolVersion, From: t.self}); err != nil {
		return "", err
	}
	remote, err := t.recvHello(conn)
	return remote.From, err
}

// serverHandshake checks the hello of an accepted connection and replies to it. It
// returns the name of the connecting daemon.
func (t *Transport) serverHandshake(conn net.Conn) (string, error) {
	remote, err := t.recvHello(conn)
	if err != nil {
		return "", err
	}
	// Reply even if the hello is addressed to another daemon, so that the
	// connecting side can report the mismatch.
	local := hello{Version: protocolVersion, From: t.self, To: remote.From}
	if err := t.sendHello(conn, local); err != nil {
		return "", err
	}
	if remote.To != t.self {
		return "", errors.Errorf("hello is addressed to daemon %q", remote.To)
	}
	return remote.From, nil
}

func (t *Transport) sendHello(conn net.Conn, h hello) error {
	encoded, err := encodeFrame(frameHello, h, t.config.MaxFrameBytes)
	if err != nil {
		return err
	}
	_, err = conn.Write(encoded)
	return err
}

// helloMaxBytes limits the first frame of a connection, whose peer is not yet
// identified.
const helloMaxBytes = 4 << 10

func (t *Transport) recvHello(conn net.Conn) (hello, error) {
	var h hello
	f, err := readFrame(conn, helloMaxBytes)
	if err != nil {
		return h, err
	}
	if f.kind != frameHello {
		return h, errors.Errorf("first frame of the connection has kind %d, want hello", f.kind)
	}
	if err := f.decode(&h); err != nil {
		return h, err
	}
	if h.Version != protocolVersion {
		return h, errors.Errorf("unsupported protocol version %d, this daemon uses version %d", h.Version, protocolVersion)
	}
	return h, nil
}

// monitor closes the session when the connection is lost, or when retire, which is
// called at intervals, returns true. It pings a connection that has streams but
// received nothing for PingInterval, which detects a network failure that drops
// all packets. Only the connecting side retires idle connections, because only it
// opens streams; retire is nil on the other side.
func (t *Transport) monitor(ctx context.Context, session *yamux.Session, conn *meteredConn, retire func() bool) {
	ticker := time.NewTicker(t.config.PingInterval)
	defer ticker.Stop()
	defer session.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-session.CloseChan():
			return
		case <-ticker.C:
		}
		if retire != nil && retire() {
			return
		}
		if session.NumStreams() == 0 {
			continue
		}
		if conn.readWithin(t.config.PingInterval) {
			continue
		}
		if _, err := session.Ping(); err != nil {
			t.brokenConns.Inc()
			return
		}
	}
}

// maxUnidentified is the number of accepted connections that may be in their handshake. Anybody on the
// network can open connections and stay silent; several hundred daemons may connect at once after a
// loss of power, each of which takes milliseconds.
const maxUnidentified = 512

// unidentifiedConns are the accepted connections in their handshake, the oldest first. It is safe for
// concurrent use.
type unidentifiedConns struct {
	mu    sync.Mutex
	conns *list.List
}

// add adds a connection and closes the oldest one beyond maxUnidentified: a daemon would have identified
// itself by then. The caller must call the result when the handshake has ended.
func (u *unidentifiedConns) add(conn net.Conn) (remove func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	element := u.conns.PushBack(conn)
	if u.conns.Len() > maxUnidentified {
		oldest := u.conns.Front()
		u.conns.Remove(oldest)
		oldest.Value.(net.Conn).Close()
	}
	return func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.conns.Remove(element)
	}
}

// accept does the handshake of an accepted connection and serves its streams
// until the connection ends.
func (t *Transport) accept(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(t.config.DialTimeout))
	identified := t.unidentified.add(conn)
	daemon, err := t.serverHandshake(conn)
	identified()
	if err != nil {
		t.refusedConns.Inc()
		t.logger.WithError(err).WithField("remote", conn.RemoteAddr().String()).Warn("refused peer connection")
		return
	}
	_ = conn.SetDeadline(time.Time{})
	metered := t.newMeteredConn(conn)
	session, err := yamux.Server(metered, t.config.yamuxConfig(t.logger))
	if err != nil {
		t.logger.WithError(err).Error("failed to start peer session")
		return
	}
	t.group.Go(func() { t.monitor(ctx, session, metered, nil) })
	for {
		raw, err := session.AcceptStream()
		if err != nil {
			return
		}
		t.group.Go(func() { t.serve(ctx, daemon, raw) })
	}
}

// serve runs the handler of one stream and sends its result to the caller.
func (t *Transport) serve(ctx context.Context, daemon string, raw *yamux.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &stream{raw: raw, maxFrameBytes: t.config.MaxFrameBytes, daemon: daemon, ctx: ctx}
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
		t.activeStreams.Add(1)
		defer t.activeStreams.Add(-1)
	}
	if err := t.dispatch(ctx, method, route.handler, s); err != nil {
		_ = s.sendControl(frameError, wireError(err))
		return
	}
	_ = s.sendControl(frameEnd, nil)
}

// recvOpen reads the first frame of a stream and returns the method name.
func (t *Transport) recvOpen(raw *yamux.Stream) (string, error) {
	f, err := readFrame(raw, t.config.MaxFrameBytes)
	if err != nil {
		return "", err
	}
	if f.kind != frameOpen {
		return "", errors.Errorf("first frame of the stream has kind %d, want open", f.kind)
	}
	var open openStream
	if err := f.decode(&open); err != nil {
		return "", err
	}
	return open.Method, nil
}

// dispatch calls the handler. A panic in the handler becomes an error of its
// stream.
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

// wireError returns err as a *verdict.Error for the wire. The cause is not
// encoded, so its text is appended to the message.
func wireError(err error) *verdict.Error {
	out := *verdict.From(err)
	if out.Cause != nil {
		out.Message += ": " + out.Cause.Error()
		out.Cause = nil
	}
	return &out
}
