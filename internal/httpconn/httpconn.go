// Package httpconn ends the connections of an http.Server in a planned stop without dropping a request.
//
// net/http cannot do that: it counts a connection as idle until it has parsed the header of the next
// request, so that http.Server's Shutdown and SetKeepAlivesEnabled close connections on which a request
// has arrived, or is being read. Here only the goroutine that reads from a connection decides to
// end it, after it has found that nothing was received.
package httpconn

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/socket"
	"ibisline/internal/timers"
)

const (
	// requestGrace is the time that a caller has during a drain for its first request on a connection, or
	// for the rest of a header.
	requestGrace = time.Second
	// pollInterval is the interval at which Drain checks for connections that are left.
	pollInterval = 20 * time.Millisecond
)

// Tracker knows the connections of one http.Server. It is safe for concurrent use.
type Tracker struct {
	server *http.Server
	budget *Budget
	// accepted is closed once no further connection is accepted.
	accepted chan struct{}

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// Track makes server report its connections to a new tracker, which keeps them within a budget unless
// that is nil. The server must be run by Serve, and may not have ConnState and ConnContext hooks of its
// own.
func Track(server *http.Server, budget *Budget) *Tracker {
	t := &Tracker{server: server, budget: budget, accepted: make(chan struct{}), conns: map[*conn]struct{}{}}
	server.ConnState = t.setState
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	return t
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// Closed reports whether the caller has closed the connection on which a request came; ctx is derived
// from the context of the request. net/http cancels that context too, but some time after: in a process that
// was suspended the handler of a request may run before.
func Closed(ctx context.Context) bool {
	c, tracked := ctx.Value(connKey{}).(*conn)
	return tracked && closedByPeer(c.Conn)
}

// Serve serves l until it is closed, and returns the error of http.Server's Serve. It is called once.
func (t *Tracker) Serve(l *Listener) error {
	defer close(t.accepted)
	return t.server.Serve(l)
}

// Drain ends each connection as soon as it has no request in progress, and returns when none is left.
// Requests that arrive until then are served. The listener must be stopped before. The error is
// that of ctx, if it ends first; the connections that are left must then be closed by the server.
func (t *Tracker) Drain(ctx context.Context) error {
	select {
	case <-t.accepted:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "drain: connections are still accepted")
	}
	for {
		left := t.interruptIdle(time.Now())
		if left == 0 {
			return nil
		}
		if !timers.Sleep(ctx, pollInterval) {
			return errors.Wrapf(ctx.Err(), "drain: %d connections left", left)
		}
	}
}

// setState is the http.Server's ConnState hook.
func (t *Tracker) setState(c net.Conn, state http.ConnState) {
	tracked := c.(*conn)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateNew:
		t.conns[tracked] = struct{}{}
		tracked.setBudget(t.budget)
	case http.StateActive:
		tracked.setActive(true) // also for a request that was read together with the one before
	case http.StateIdle:
		tracked.setActive(false)
	case http.StateClosed, http.StateHijacked:
		delete(t.conns, tracked)
		if t.budget != nil {
			t.budget.drop(tracked)
		}
	}
}

// interruptIdle interrupts the readers of connections without a request, and returns how many connections
// are left.
func (t *Tracker) interruptIdle(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		c.interruptIfIdle(now)
	}
	return len(t.conns)
}

// conn is a connection that is ended by its reader.
type conn struct {
	net.Conn
	// budget is nil if what the connection holds is not limited. The fields up to lastUsed belong to it.
	budget *Budget
	// held is what the connection makes the process hold, and lastUsed the time at which it last received a part
	// of a request or ended a response.
	held     int64
	phase    phase
	lastUsed time.Time
	// bodyReserved is set while the body of the request is not counted as it is read.
	bodyReserved atomic.Bool
	// writingSince is the time, in Unix nanoseconds, at which the part of a response that is being written
	// began to wait for its caller; 0 if none is.
	writingSince atomic.Int64

	mu sync.Mutex
	// active is set while a request is in progress, from its header to the end of the response.
	active bool
	// keepUntil is the time until which a request is expected. The connection must not be ended before.
	keepUntil time.Time
	// interrupted is set while the read deadline is in the past to make Read return.
	interrupted bool
	// readDeadline is the deadline that net/http has set.
	readDeadline time.Time
}

// setBudget counts the connection in a budget. It is called before the first read.
func (c *conn) setBudget(budget *Budget) {
	if budget == nil {
		return
	}
	c.budget = budget
	if err := budget.open(c); err != nil {
		// The next read fails.
		_ = c.Conn.Close()
	}
}

// countRead counts what was read. It returns an error if the connection was closed for it.
func (c *conn) countRead(read []byte) error {
	if c.budget == nil || len(read) == 0 {
		return nil
	}
	c.mu.Lock()
	active := c.active
	c.mu.Unlock()
	held := int64(len(read)) * bodyByteFactor
	switch {
	case !active:
		held = int64(len(read))*headByteFactor + int64(bytes.Count(read, []byte{'\n'}))*lineBytes
	case c.bodyReserved.Load():
		return nil
	}
	return c.budget.add(c, held)
}

func (c *conn) setActive(active bool) {
	if c.budget != nil && active {
		c.budget.receives(c)
	} else if c.budget != nil {
		c.budget.reset(c)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = active
	c.keepUntil = time.Time{}
}

// interruptIfIdle interrupts a Read that waits for a request. It reports nothing, as only the reader knows
// whether a request has arrived in the meantime.
func (c *conn) interruptIfIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active || now.Before(c.keepUntil) {
		return
	}
	c.interrupted = true
	// An error means that the connection is closed already, and then Read returns anyway.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// SetReadDeadline and SetDeadline are used by net/http. They must not undo an interruption, which the
// reader undoes itself.
func (c *conn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = at
	if c.interrupted {
		return nil
	}
	return c.Conn.SetReadDeadline(at)
}

func (c *conn) SetDeadline(at time.Time) error {
	if err := c.SetReadDeadline(at); err != nil {
		return err
	}
	return c.Conn.SetWriteDeadline(at)
}

// CloseWrite is used by net/http to end a response whose request was not read to its end.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// writeBytes is the size of the parts in which a response is written, each of which counts as progress.
const writeBytes = 64 << 10

func (c *conn) Write(p []byte) (int, error) {
	if c.budget == nil {
		return c.Conn.Write(p)
	}
	defer c.writingSince.Store(0)
	written := 0
	for {
		c.writingSince.Store(time.Now().UnixNano())
		n, err := c.Conn.Write(p[written:min(len(p), written+writeBytes)])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// stalledFor returns the time for which the caller has not read any more of a response, 0 if none is being
// written.
func (c *conn) stalledFor(now time.Time) time.Duration {
	since := c.writingSince.Load()
	if since == 0 {
		return 0
	}
	return now.Sub(time.Unix(0, since))
}

func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if overBudget := c.countRead(p[:n]); overBudget != nil {
			return 0, errors.Join(overBudget, c.Conn.Close())
		}
		again, err := c.afterRead(n, err)
		if !again {
			return n, err
		}
	}
}

// afterRead evaluates the result of a read. It reports whether to read again, after an interruption
// during which bytes have arrived.
func (c *conn) afterRead(n int, err error) (again bool, _ error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && !c.active {
		c.keepUntil = time.Now().Add(requestGrace)
	}
	if !c.interrupted {
		return false, err
	}
	c.interrupted = false
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && !c.active && socket.Unread(c.Conn) == 0 {
		// net/http would respond to a part of a header, and its callers take that for a refusal.
		return false, errors.Join(err, c.Conn.Close())
	}
	if deadlineErr := c.Conn.SetReadDeadline(c.readDeadline); deadlineErr != nil && err == nil {
		return false, errors.Wrap(deadlineErr, "restore read deadline")
	}
	return n == 0 && errors.Is(err, os.ErrDeadlineExceeded), err
}
