package peer

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// meteredConn counts the bytes of a connection and writes a yamux header
// together with the body that follows it, which saves a packet for each frame.
type meteredConn struct {
	net.Conn
	sent     *metrics.Counter
	received *metrics.Counter
	writes   *metrics.Counter
	// heard is the time of the last read, in unix nanoseconds.
	heard atomic.Int64
	// held is a header whose body has not come yet. Only yamux's one sending
	// goroutine writes.
	held []byte
}

// counted wraps a connection after its handshake.
func (t *Transport) counted(conn net.Conn) *meteredConn {
	return &meteredConn{Conn: conn, sent: t.sent, received: t.received, writes: t.writes}
}

// Shape of a yamux header: byte 1 is the type, 0 for data, and the last four
// bytes are the length of the body.
const (
	yamuxHeaderBytes = 12
	yamuxTypeData    = 0
)

// announcesBody is true for a yamux data header, after which yamux always
// writes the body at once.
func announcesBody(b []byte) bool {
	if len(b) != yamuxHeaderBytes || b[1] != yamuxTypeData {
		return false
	}
	return b[8]|b[9]|b[10]|b[11] != 0
}

// Write implements net.Conn.
func (c *meteredConn) Write(b []byte) (int, error) {
	if len(c.held) == 0 && announcesBody(b) {
		c.held = append(c.held, b...)
		return len(b), nil
	}
	header := len(c.held)
	out := append(c.held, b...)
	c.held = out[:0]
	n, err := c.Conn.Write(out)
	c.writes.Inc()
	c.sent.Add(n)
	return max(n-header, 0), err
}

// Read implements net.Conn.
func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(n)
	c.heard.Store(time.Now().UnixNano())
	return n, err
}

// heardWithin is true when something was read in the last d.
func (c *meteredConn) heardWithin(d time.Duration) bool {
	return time.Since(time.Unix(0, c.heard.Load())) < d
}
