package peer_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"ibisline/internal/fake/testbed"
	"ibisline/internal/peer"
	"ibisline/internal/verdict"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// waitLimit bounds the wait for an expected event; no test depends on its length.
const waitLimit = 20 * time.Second

// note is the message type of the tests.
type note struct {
	ID   int    `msgpack:"i"`
	Text string `msgpack:"t"`
}

// pair is two connected transports: a is the caller and b serves.
type pair struct {
	a, b *peer.Transport
	addr string // address of b that a dials
}

// start runs a transport until the test ends.
func start(t *testing.T, config peer.Config, name string, register func(peer.Mux)) *peer.Transport {
	t.Helper()
	config.Listen = "127.0.0.1:0"
	tr := peer.NewTransport(config, name, nil, metrics.NewSet(), testbed.NoLog())
	if register != nil {
		register(tr)
	}
	require.NoError(t, tr.Listen())
	t.Cleanup(testbed.Start(tr.Run).Stop)
	return tr
}

// connect starts a pair in which b serves the methods added by register.
func connect(t *testing.T, config peer.Config, register func(peer.Mux)) *pair {
	t.Helper()
	p := &pair{b: start(t, config, "b", register)}
	p.addr = p.b.Addr()
	p.a = start(t, config, "a", nil)
	p.a.SetResolver(func(string) (string, bool) { return p.addr, true })
	return p
}

// serveEcho registers a method that returns each note until the caller closes its
// sending direction.
func serveEcho(mux peer.Mux) {
	mux.Handle("echo", func(_ context.Context, s peer.Stream) error {
		for {
			var n note
			if err := s.Recv(&n); err == io.EOF {
				return nil
			} else if err != nil {
				return err
			}
			if err := s.Send(n); err != nil {
				return err
			}
		}
	})
}

func TestConcurrentCallsGetTheirOwnReplies(t *testing.T) {
	p := connect(t, peer.Config{}, serveEcho)
	var group sync.WaitGroup
	for i := range 50 {
		group.Go(func() {
			want := note{ID: i, Text: fmt.Sprint("text ", i)}
			var got note
			if err := peer.Call(t.Context(), p.a, "b", "echo", want, &got); err != nil {
				t.Errorf("call %d: %v", i, err)
				return
			}
			if got != want {
				t.Errorf("call %d got the reply %v", i, got)
			}
		})
	}
	group.Wait()
}

func TestHandlerErrorKeepsItsVerdict(t *testing.T) {
	p := connect(t, peer.Config{}, func(mux peer.Mux) {
		mux.Handle("refuse", func(context.Context, peer.Stream) error {
			return verdict.Refuse(verdict.QueueFull, "queue is full").RetryIn(3 * time.Second)
		})
		mux.Handle("panic", func(context.Context, peer.Stream) error { panic("boom") })
	})
	err := verdict.From(peer.Call(t.Context(), p.a, "b", "refuse", note{}, &note{}))
	require.Equal(t, verdict.NotRun, err.Verdict)
	require.Equal(t, verdict.QueueFull, err.Reason)
	require.Equal(t, 3*time.Second, err.RetryAfter)

	err = verdict.From(peer.Call(t.Context(), p.a, "b", "panic", note{}, &note{}))
	require.Equal(t, verdict.MayHaveRun, err.Verdict)

	err = verdict.From(peer.Call(t.Context(), p.a, "b", "unknown", note{}, &note{}))
	require.Equal(t, verdict.NotRun, err.Verdict)
	require.Equal(t, verdict.BadRequest, err.Reason)
}

func TestOpenFailureIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closedAddr := listener.Addr().String()
	listener.Close()

	p := connect(t, peer.Config{}, serveEcho)
	p.addr = closedAddr
	_, err = p.a.Open(t.Context(), "b", "echo")
	require.True(t, verdict.Is(err, verdict.NotRun))
	require.True(t, verdict.HasReason(err, verdict.PeerLost))
}

// TestUnansweredDialIsRetried checks that a dial without an answer is repeated
// after ConnectTimeout. The SYN may be lost while a peer is starting.
func TestUnansweredDialIsRetried(t *testing.T) {
	var dials atomic.Int32
	config := peer.Config{ConnectTimeout: 20 * time.Millisecond, DialTimeout: waitLimit}
	config.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		if dials.Add(1) < 3 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return new(net.Dialer).DialContext(ctx, "tcp", addr)
	}
	p := connect(t, config, serveEcho)
	var reply note
	require.NoError(t, peer.Call(t.Context(), p.a, "b", "echo", note{ID: 1}, &reply))
	require.EqualValues(t, 3, dials.Load())
}

func TestConnectionToTheWrongDaemonIsRefused(t *testing.T) {
	p := connect(t, peer.Config{}, serveEcho)
	_, err := p.a.Open(t.Context(), "c", "echo")
	require.True(t, verdict.Is(err, verdict.NotRun))
	require.True(t, verdict.HasReason(err, verdict.PeerLost))
}

func TestCallerCancellationCancelsTheHandler(t *testing.T) {
	canceled := make(chan error, 1)
	p := connect(t, peer.Config{}, func(mux peer.Mux) {
		mux.Handle("wait", func(ctx context.Context, s peer.Stream) error {
			var n note
			if err := s.Recv(&n); err != nil {
				return err
			}
			if err := s.Send(n); err != nil {
				return err
			}
			<-ctx.Done()
			canceled <- ctx.Err()
			return ctx.Err()
		})
	})
	ctx, cancel := context.WithCancel(t.Context())
	s, err := p.a.Open(ctx, "b", "wait")
	require.NoError(t, err)
	require.NoError(t, s.Send(note{ID: 1}))
	var n note
	require.NoError(t, s.Recv(&n))
	cancel()
	select {
	case err := <-canceled:
		require.ErrorIs(t, err, context.Canceled)
	case <-time.After(waitLimit):
		t.Fatal("handler was not canceled")
	}
	err = s.Recv(&n)
	require.True(t, verdict.HasReason(err, verdict.Canceled))
	require.True(t, verdict.Is(err, verdict.MayHaveRun))
}

func TestServerCloseBreaksTheStream(t *testing.T) {
	entered := make(chan struct{})
	p := connect(t, peer.Config{}, func(mux peer.Mux) {
		mux.Handle("wait", func(ctx context.Context, s peer.Stream) error {
			close(entered)
			<-ctx.Done()
			return ctx.Err()
		})
	})
	s, err := p.a.Open(t.Context(), "b", "wait")
	require.NoError(t, err)
	defer s.Close()
	<-entered
	require.Equal(t, 1, p.b.ActiveStreams())
	p.b.Close()
	err = s.Recv(&note{})
	require.True(t, verdict.Is(err, verdict.MayHaveRun))
}
