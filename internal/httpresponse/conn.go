// Package httpresponse decides what counts as a response of an HTTP server. All HTTP/1 clients of
// daemons and tools read through it: upstream through Conn, and those that use net/http through Transport. Only
// the stand-ins for tests do not.
//
// Sources: RFC 9110, sections 5 (fields) and 15 (status codes); RFC 9112, sections 4 (status line), 5 (field
// syntax), 6.3 (length of a body), 7.1.2 (trailers) and 9.6 (end of a connection).
package httpresponse

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/socket"
)

// writeGrace is the time for writing the rest of a request after its response has been read.
const writeGrace = 200 * time.Millisecond

// Causes of responses whose body ends with the connection before it is complete.
var (
	errUnwritten  = errors.New("response ended while the request was being written")
	errUnreceived = errors.New("response ended before the server had received the request")
)

// Conn is a connection to a server, for one request at a time. One goroutine may write a request while
// another one reads its response.
type Conn struct {
	net.Conn

	mu sync.Mutex
	// written is closed once the request is written, or has failed with writeErr.
	written  chan struct{}
	writeErr error
	// unreceived is set if a part of the request was not acknowledged when the connection ended.
	unreceived bool
	head       headScanner
	// malformed is the error of a head that is not one of a response.
	malformed error
}

// NewConn returns raw as a connection without a request.
func NewConn(raw net.Conn) *Conn {
	c := &Conn{Conn: raw, written: make(chan struct{})}
	close(c.written)
	return c
}

// BeginRequest records that a request is about to be written. EndRequest must follow.
func (c *Conn) BeginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written, c.writeErr, c.unreceived = make(chan struct{}), nil, false
}

// EndRequest records that the request was written, or the error of its write. Only the first call for a
// request has an effect.
func (c *Conn) EndRequest(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.written:
	default:
		c.writeErr = err
		close(c.written)
	}
}

// CheckWritten waits for a short time until the request is written. It returns an error if it was not
// written whole. The connection must then not be reused: the server would take the next request for the rest
// of this one.
func (c *Conn) CheckWritten() error {
	c.mu.Lock()
	written := c.written
	c.mu.Unlock()
	select {
	case <-written:
	case <-time.After(writeGrace):
		return errUnwritten
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeErr
}

// CheckEnd returns an error unless the end of the connection, which Read has returned, is the end of a
// response whose body has no other end. Read may return the end of a connection that was reset: the kernel
// reports a reset once, and a write that fails at the same time takes the error. A connection that the server
// has closed before it received the whole request will be reset, but its end arrives first.
func (c *Conn) CheckEnd() error {
	if err := c.CheckWritten(); err != nil {
		return errors.Wrap(err, "write request")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unreceived {
		return errUnreceived
	}
	return nil
}

// BeginHead records that the head of a response follows, of which buffered was read already. Like Read it
// returns an error if that is malformed. Heads that follow an interim response need no further call.
func (c *Conn) BeginHead(buffered []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.begin()
	return c.scanHead(buffered)
}

// scanHead checks what was read if it is a part of a head. The caller must hold mu.
func (c *Conn) scanHead(read []byte) error {
	if c.malformed == nil {
		c.malformed = c.head.scan(read)
	}
	return c.malformed
}

// Malformed returns the error of a head that is not one of a response, nil if there was none. The parser of
// such a head may report another error, as it gets the head in parts.
func (c *Conn) Malformed() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.malformed
}

// Read reads from the connection. It returns an error that wraps ErrMalformed instead of bytes that belong to
// a malformed head, and from then on.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	malformed := c.scanHead(p[:n])
	c.mu.Unlock()
	if malformed != nil {
		return 0, malformed
	}
	if errors.Is(err, io.EOF) {
		// The segment that closes a connection acknowledges everything that was received before.
		unreceived := socket.Unacknowledged(c.Conn) > 0
		c.mu.Lock()
		c.unreceived = unreceived
		c.mu.Unlock()
	}
	return n, err
}
