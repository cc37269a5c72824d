package peer_test

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/peer"
	"ibisline/internal/verdict"
)

// relay is a TCP proxy to a fixed address. After isCut is closed it keeps its
// connections open but discards all data, like a failed network link.
type relay struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	isCut    chan struct{}
	conns    []net.Conn
	group    sync.WaitGroup
}

func startRelay(t *testing.T, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &relay{listener: listener, target: target, isCut: make(chan struct{})}
	r.group.Go(r.accept)
	t.Cleanup(func() {
		listener.Close()
		r.mu.Lock()
		for _, c := range r.conns {
			c.Close()
		}
		r.mu.Unlock()
		r.group.Wait()
	})
	return r
}

func (r *relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			in.Close()
			continue
		}
		r.mu.Lock()
		r.conns = append(r.conns, in, out)
		r.mu.Unlock()
		r.group.Go(func() { r.forward(in, out) })
		r.group.Go(func() { r.forward(out, in) })
	}
}

func (r *relay) forward(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-r.isCut:
			if err != nil {
				return
			}
			continue
		default:
		}
		if err != nil {
			to.Close()
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// shortTimeouts makes connections detect a lost peer quickly.
var shortTimeouts = peer.Config{
	PingInterval: 20 * time.Millisecond,
	PingTimeout:  200 * time.Millisecond,
	DialTimeout:  500 * time.Millisecond,
}

// TestSilentLinkLossIsDetected checks that both ends detect a link that drops all
// packets without closing the connection.
func TestSilentLinkLossIsDetected(t *testing.T) {
	canceled := make(chan struct{})
	p := connect(t, shortTimeouts, func(mux peer.Mux) {
		mux.Handle("wait", func(ctx context.Context, s peer.Stream) error {
			if err := s.Recv(&note{}); err != nil {
				return err
			}
			if err := s.Send(note{}); err != nil {
				return err
			}
			<-ctx.Done()
			close(canceled)
			return ctx.Err()
		})
	})
	r := startRelay(t, p.addr)
	p.addr = r.listener.Addr().String()
	s, err := p.a.Open(t.Context(), "b", "wait")
	require.NoError(t, err)
	defer s.Close()
	require.NoError(t, s.Send(note{}))
	require.NoError(t, s.Recv(&note{}))

	start := time.Now()
	close(r.isCut)
	err = s.Recv(&note{})
	t.Logf("caller detected the loss after %v", time.Since(start))
	require.True(t, verdict.HasReason(err, verdict.PeerLost))
	require.True(t, verdict.Is(err, verdict.MayHaveRun))
	select {
	case <-canceled:
	case <-time.After(waitLimit):
		t.Fatal("the handler was not canceled")
	}
}

// TestSlowReaderDoesNotBlockOtherStreams checks that an unread stream blocks only
// its own sender, after a bounded amount of buffered data.
func TestSlowReaderDoesNotBlockOtherStreams(t *testing.T) {
	var mu sync.Mutex
	sent := 0
	blocked := make(chan struct{}, 1)
	p := connect(t, peer.Config{}, func(mux peer.Mux) {
		serveEcho(mux)
		mux.Handle("flood", func(ctx context.Context, s peer.Stream) error {
			text := strings.Repeat("x", 16<<10)
			for {
				written := make(chan error, 1)
				go func() { written <- s.Send(note{Text: text}) }()
				select {
				case err := <-written:
					if err != nil {
						return err
					}
					mu.Lock()
					sent += len(text)
					mu.Unlock()
				case <-time.After(500 * time.Millisecond):
					select {
					case blocked <- struct{}{}:
					default:
					}
					return <-written
				}
			}
		})
	})
	s, err := p.a.Open(t.Context(), "b", "flood")
	require.NoError(t, err)
	select {
	case <-blocked:
	case <-time.After(waitLimit):
		t.Fatal("the sender was never blocked")
	}
	mu.Lock()
	require.Less(t, sent, 2<<20)
	mu.Unlock()
	for i := range 100 {
		var got note
		require.NoError(t, peer.Call(t.Context(), p.a, "b", "echo", note{ID: i}, &got))
		require.Equal(t, i, got.ID)
	}
	s.Close()
}

// TestBadFrameEndsItsStreamOnly checks that an undecodable or oversized message
// fails its own call and leaves other streams of the connection usable.
func TestBadFrameEndsItsStreamOnly(t *testing.T) {
	p := connect(t, peer.Config{MaxFrameBytes: 1 << 10}, func(mux peer.Mux) {
		serveEcho(mux)
		mux.Handle("text", func(_ context.Context, s peer.Stream) error { return s.Send("no note") })
	})
	good, err := p.a.Open(t.Context(), "b", "echo")
	require.NoError(t, err)
	defer good.Close()

	err = peer.Call(t.Context(), p.a, "b", "text", note{}, &note{})
	require.True(t, verdict.Is(err, verdict.MayHaveRun))
	err = peer.Call(t.Context(), p.a, "b", "echo", "no note", &note{})
	require.Error(t, err)

	// An oversized message is rejected before any byte of it is sent, and the stream
	// stays usable.
	err = good.Send(note{Text: strings.Repeat("x", 2<<10)})
	require.True(t, verdict.Is(err, verdict.NotRun))
	require.NoError(t, good.Send(note{ID: 5}))
	var got note
	require.NoError(t, good.Recv(&got))
	require.Equal(t, 5, got.ID)
}

// TestInvalidHandshakeClosesItsConnectionOnly checks that bytes which are not a
// valid handshake close their connection and do not affect others.
func TestInvalidHandshakeClosesItsConnectionOnly(t *testing.T) {
	p := connect(t, shortTimeouts, serveEcho)
	good, err := p.a.Open(t.Context(), "b", "echo")
	require.NoError(t, err)
	defer good.Close()
	for _, garbage := range []string{"GET / HTTP/1.1\r\n\r\n", "\x01\x00\x00\x00\x01\xc0", "\x01\xff\xff\xff\xff", ""} {
		conn, err := net.Dial("tcp", p.b.Addr())
		require.NoError(t, err)
		_, err = conn.Write([]byte(garbage))
		require.NoError(t, err)
		_, err = io.ReadAll(conn)
		if err != nil {
			require.NotErrorIs(t, err, io.ErrUnexpectedEOF)
		}
		conn.Close()
	}
	require.NoError(t, good.Send(note{ID: 6}))
	var got note
	require.NoError(t, good.Recv(&got))
	require.Equal(t, 6, got.ID)
}

// TestIdleConnectionIsClosedAndReopened checks that an idle connection is closed
// and that the next call opens a new one.
func TestIdleConnectionIsClosedAndReopened(t *testing.T) {
	config := shortTimeouts
	config.IdleTimeout = time.Millisecond
	p := connect(t, config, serveEcho)
	r := startRelay(t, p.addr)
	p.addr = r.listener.Addr().String()
	connections := func() int {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.conns) / 2
	}
	require.Eventually(t, func() bool {
		var got note
		require.NoError(t, peer.Call(t.Context(), p.a, "b", "echo", note{}, &got))
		return connections() > 2
	}, waitLimit, 100*time.Millisecond)
}

// Guards against closing a connection as idle that short calls use all the time, none of which happens to be
// open when the connection is looked at: a call that begins at that moment is cut off.
func TestConnectionInUseByShortCallsIsKept(t *testing.T) {
	var dials atomic.Int32
	config := shortTimeouts
	config.PingInterval = 100 * time.Millisecond
	config.IdleTimeout = 500 * time.Millisecond
	config.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		dials.Add(1)
		return new(net.Dialer).DialContext(ctx, "tcp", addr)
	}
	p := connect(t, config, serveEcho)
	var before int32
	// Starts again after a pause that is long enough for the connection to be idle.
	for last, begin := (time.Time{}), time.Now(); time.Since(begin) < 4*config.IdleTimeout; {
		if time.Since(last) > config.IdleTimeout/2 {
			before, begin = 0, time.Now()
		}
		last = time.Now()
		var got note
		require.NoError(t, peer.Call(t.Context(), p.a, "b", "echo", note{}, &got))
		if before == 0 {
			before = dials.Load()
		}
		time.Sleep(10 * time.Millisecond)
	}
	require.Equal(t, before, dials.Load())
}
