package upstream

import (
	"bufio"
	"container/list"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"ibisline/internal/httpresponse"
)

// conn is one connection to a backend server.
type conn struct {
	net.Conn
	key poolKey
	// checked is the same connection, through which requests are recorded and responses are read.
	checked *httpresponse.Conn
	limiter *headLimiter
	reader  *bufio.Reader
	// answeredBefore is set once a response was accepted on the connection. From then on
	// a response without an identifier may be a late one and is skipped.
	answeredBefore bool
	// rejected holds the identifiers of the requests whose responses were discarded. Such a
	// request may be sent again, and must not be sent on this connection: a faulty server may
	// repeat the response, which carries the same identifier.
	rejected []string
	// pool counts the connection until closeOnce. The others belong to it while the connection is idle.
	pool      *pool
	closeOnce sync.Once
	expires   time.Time
	idle      *list.Element
}

// maxRejected is the number of discarded responses after which a connection is not reused.
const maxRejected = 32

// readBufferBytes fits the head of a response or a few events of a stream.
const readBufferBytes = 4 << 10

func newConn(raw net.Conn, key poolKey, counted *pool) *conn {
	checked := httpresponse.NewConn(raw)
	limiter := &headLimiter{Conn: checked}
	return &conn{
		Conn: raw, key: key, checked: checked, limiter: limiter, reader: bufio.NewReaderSize(limiter, readBufferBytes),
		pool: counted,
	}
}

// usable reports whether an idle connection may carry another request: it has not
// expired, and neither EOF nor unsolicited data has arrived on it.
func (c *conn) usable(now time.Time) bool {
	if !now.Before(c.expires) || c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// close closes a connection that is not idle; data that the server still sends is lost.
func (c *conn) close() {
	c.closeOnce.Do(func() {
		_ = c.Conn.Close()
		c.pool.release()
	})
}

// interrupt makes pending reads and writes fail.
func (c *conn) interrupt() { _ = c.SetDeadline(time.Unix(1, 0)) }
