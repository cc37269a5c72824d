// Package stalled provides connections of a process that is not scheduled for a while: requests arrive
// in the kernel and are not read.
package stalled

import (
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// Listener accepts TCP connections whose reads can be held back. It is safe for concurrent use.
type Listener struct {
	*net.TCPListener
	mu sync.Mutex
	// held is closed by Resume; nil means that reads are not held back.
	held chan struct{}
}

// Listen returns a listener on a free port of the loopback interface.
func Listen(t *testing.T) *Listener {
	t.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	return &Listener{TCPListener: l}
}

// Stall holds back reads and accepts until Resume. One connection may leave the kernel's queue meanwhile. A
// read or an accept that has nothing to return waits as before, and can be interrupted by a deadline.
func (l *Listener) Stall() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = make(chan struct{})
}

// Resume lets reads and accepts continue.
func (l *Listener) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.held)
	l.held = nil
}

func (l *Listener) wait() {
	l.mu.Lock()
	held := l.held
	l.mu.Unlock()
	if held != nil {
		<-held
	}
}

// Accept accepts a connection whose reads are held back by Stall.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	l.wait()
	return &conn{TCPConn: c, listener: l}, nil
}

type conn struct {
	*net.TCPConn
	listener *Listener
}

func (c *conn) Read(p []byte) (int, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	// Waits until there is something to read, without reading it.
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return err != unix.EAGAIN
	})
	if err != nil {
		return 0, err
	}
	c.listener.wait()
	return c.TCPConn.Read(p)
}
