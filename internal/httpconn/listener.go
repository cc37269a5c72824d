package httpconn

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

const (
	// stopLimit bounds Stop. It is what a caller has for its first request, as one that waits longer
	// to be accepted gets no answer in time either.
	stopLimit = requestGrace
	// acceptTimeout bounds the accept of a connection that was seen waiting, as it may be aborted.
	acceptTimeout = 20 * time.Millisecond
)

// Listener accepts connections that a Tracker can end. Closing a listening socket resets the
// connections that the kernel has completed and the process has not accepted, so that in a planned stop
// the goroutine that accepts closes the socket, after it has found none waiting.
type Listener struct {
	net.Listener
	// Reclaim, if not nil, frees descriptors when there is none for a connection that waits. It returns false if
	// it cannot.
	Reclaim func() bool

	stopping atomic.Bool
	closed   chan struct{}
	once     sync.Once
	closeErr error
}

// NewListener returns l with connections that a Tracker can end.
func NewListener(l net.Listener) *Listener {
	return &Listener{Listener: l, closed: make(chan struct{})}
}

// Accept returns the next connection, and net.ErrClosed once the listener has stopped.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		if l.stopping.Load() {
			if !l.connectionWaits() {
				return nil, errors.Join(net.ErrClosed, l.Close())
			}
			if err := l.setDeadline(time.Now().Add(acceptTimeout)); err != nil {
				return nil, errors.Wrap(err, "set accept deadline")
			}
		}
		c, err := l.Listener.Accept()
		if err == nil {
			return &conn{Conn: c, keepUntil: time.Now().Add(requestGrace)}, nil
		}
		if (errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)) && l.Reclaim != nil && l.Reclaim() {
			continue
		}
		if !l.stopping.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
	}
}

// Stop closes the listener once the connections that wait have been accepted. It returns after the last of
// them is known to the Tracker. If they are not accepted within stopLimit, it closes the listener and
// returns an error.
func (l *Listener) Stop(ctx context.Context) error {
	l.stopping.Store(true)
	if _, isSocket := l.Listener.(syscall.Conn); !isSocket {
		return l.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, stopLimit)
	defer cancel()
	// Interrupts Accept, which then decides.
	if err := l.setDeadline(time.Unix(1, 0)); err != nil {
		return errors.Join(errors.Wrap(err, "interrupt accept"), l.Close())
	}
	select {
	case <-l.closed:
		return l.closeErr
	case <-ctx.Done():
		return errors.Join(errors.Wrap(ctx.Err(), "accept the connections that wait"), l.Close())
	}
}

// Close closes the listener at once.
func (l *Listener) Close() error {
	l.once.Do(func() {
		l.closeErr = l.Listener.Close()
		close(l.closed)
	})
	return l.closeErr
}

func (l *Listener) setDeadline(at time.Time) error {
	socket, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return errors.Errorf("listener %T has no deadline", l.Listener)
	}
	return socket.SetDeadline(at)
}

// connectionWaits reports whether the kernel holds a connection that was not accepted. It is false for
// a listener that is closed already, the only cause of an error.
func (l *Listener) connectionWaits() bool {
	socket, ok := l.Listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	waits := false
	err = raw.Control(func(fd uintptr) {
		state := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, pollErr := unix.Poll(state, 0)
		waits = pollErr == nil && n == 1 && state[0].Revents&unix.POLLIN != 0
	})
	return err == nil && waits
}
