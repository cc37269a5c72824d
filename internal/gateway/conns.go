package gateway

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// requestGrace is the time that a caller has for its first request on a connection, or for the rest of
// a request header, while the daemon stops.
const requestGrace = time.Second

// trackedListener accepts connections as trackedConn.
type trackedListener struct{ net.Listener }

func (l trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: conn}, nil
}

// trackedConn is a caller's connection that can be closed without dropping a request that was read.
type trackedConn struct {
	net.Conn
	mu sync.Mutex
	// receivedAt is the time at which bytes were last read.
	receivedAt time.Time
	closed     bool
}

func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		// What was read is not passed on, as no response could be sent.
		return 0, io.EOF
	}
	if n > 0 {
		c.receivedAt = time.Now()
	}
	return n, err
}

// closeUnlessReceiving closes the connection, unless something was read within requestGrace, and
// reports whether it did. No request is read from a connection that it has closed.
func (c *trackedConn) closeUnlessReceiving(now time.Time) bool {
	c.mu.Lock()
	if now.Sub(c.receivedAt) < requestGrace {
		c.mu.Unlock()
		return false
	}
	c.closed = true
	c.mu.Unlock()
	_ = c.Conn.Close() // nothing was to be sent on it
	return true
}

// connTracker knows which connections of callers have a request in progress. It is safe for
// concurrent use.
type connTracker struct {
	mu sync.Mutex
	// fresh holds the connections without any request yet, and when they were accepted; idle those without
	// one in progress; active those with one.
	fresh  map[net.Conn]time.Time
	idle   map[net.Conn]bool
	active map[net.Conn]bool
}

func newConnTracker() *connTracker {
	return &connTracker{fresh: map[net.Conn]time.Time{}, idle: map[net.Conn]bool{}, active: map[net.Conn]bool{}}
}

// record records the new state of a connection.
func (t *connTracker) record(conn net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.fresh, conn)
	delete(t.idle, conn)
	delete(t.active, conn)
	switch state {
	case http.StateNew:
		t.fresh[conn] = time.Now()
	case http.StateIdle:
		t.idle[conn] = true
	case http.StateActive:
		t.active[conn] = true
	}
}

// closeIdle closes the connections on which requests have ended, and reports whether others are left:
// those with a request in progress, or on which one may be on its way.
func (t *connTracker) closeIdle(now time.Time) (left bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn := range t.idle {
		if conn.(*trackedConn).closeUnlessReceiving(now) {
			delete(t.idle, conn)
		}
	}
	for _, acceptedAt := range t.fresh {
		left = left || now.Sub(acceptedAt) < requestGrace
	}
	return left || len(t.idle)+len(t.active) > 0
}
