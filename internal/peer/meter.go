package peer

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// meteredConn counts the bytes of a connection. It also buffers each yamux data
// header until its body is written and sends both in one write, which saves a
// packet for each frame.
type meteredConn struct {
	net.Conn
	sentBytes     *metrics.Counter
	receivedBytes *metrics.Counter
	writes        *metrics.Counter
	// lastReadNanos is the time of the last read, in Unix nanoseconds.
	lastReadNanos atomic.Int64
	// pendingHeader is a header whose body is not written yet. It needs no lock
	// because only yamux's single send goroutine writes to the connection.
	pendingHeader []byte
}

// newMeteredConn wraps a connection whose handshake is complete.
func (t *Transport) newMeteredConn(conn net.Conn) *meteredConn {
	return &meteredConn{Conn: conn, sentBytes: t.sentBytes, receivedBytes: t.receivedBytes, writes: t.writes}
}

// Layout of a yamux header: byte 1 is the frame type, 0 for data, and the last
// four bytes are the length of the body.
const (
	yamuxHeaderBytes = 12
	yamuxTypeData    = 0
)

// isHeaderWithBody reports whether b is a yamux data header with a non-empty
// body. Yamux always writes the body immediately after such a header.
func isHeaderWithBody(b []byte) bool {
	if len(b) != yamuxHeaderBytes || b[1] != yamuxTypeData {
		return false
	}
	return b[8]|b[9]|b[10]|b[11] != 0
}

// Write buffers a header that has a body and sends it together with that body.
func (c *meteredConn) Write(b []byte) (int, error) {
	if len(c.pendingHeader) == 0 && isHeaderWithBody(b) {
		c.pendingHeader = append(c.pendingHeader, b...)
		return len(b), nil
	}
	headerLen := len(c.pendingHeader)
	out := append(c.pendingHeader, b...)
	c.pendingHeader = out[:0]
	n, err := c.Conn.Write(out)
	c.writes.Inc()
	c.sentBytes.Add(n)
	return max(n-headerLen, 0), err
}

// Read counts the bytes and records the time of the read.
func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.receivedBytes.Add(n)
	c.lastReadNanos.Store(time.Now().UnixNano())
	return n, err
}

// readWithin reports whether data was read in the last d.
func (c *meteredConn) readWithin(d time.Duration) bool {
	return time.Since(time.Unix(0, c.lastReadNanos.Load())) < d
}
