package httpconn

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// Estimates of the memory that a connection makes the process hold. net/http and the handler keep a
// header as a map of which copies are made, so that short lines cost far more than their bytes.
const (
	// connectionBytes is that of an open connection: its goroutine and buffers.
	connectionBytes = 16 << 10
	// headByteFactor and bodyByteFactor are the copies of a byte of a head and of a body, and lineBytes
	// is that of a header line in addition.
	headByteFactor = 3
	bodyByteFactor = 2
	lineBytes      = 600
	// heavyDivisor divides the budget to the share above which a connection is closed before those that
	// are idle.
	heavyDivisor = 64
)

// ErrOverBudget is returned by reads on a connection that was closed because all connections together
// hold too much memory.
var ErrOverBudget = errors.New("connections hold more than their budget")

// Budget limits the memory that all connections of a server make the process hold. If it is exceeded,
// the connections that hold most are closed: first those whose request is still being read, then
// those whose request is in progress, and then those that have been silent for longest. It is
// safe for concurrent use.
type Budget struct {
	limit int64

	mu    sync.Mutex
	used  int64
	conns map[*conn]struct{}

	closed atomic.Int64
}

// NewBudget returns a budget in bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit, conns: map[*conn]struct{}{}} }

// Used returns the estimate of what the connections hold, in bytes.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Closed returns the number of connections that were closed because the budget was exceeded.
func (b *Budget) Closed() int64 { return b.closed.Load() }

// Hold counts bytes that the handler of a request holds until it returns, such as a response that its
// caller has not read. It returns ErrOverBudget if the connection was closed for it. ctx is derived
// from the context of the request.
func Hold(ctx context.Context, bytes int) error {
	if c, tracked := ctx.Value(connKey{}).(*conn); tracked && c.budget != nil {
		return c.budget.add(c, int64(bytes))
	}
	return nil
}

// open counts a new connection.
func (b *Budget) open(c *conn) error {
	b.mu.Lock()
	b.conns[c] = struct{}{}
	c.lastUsed = time.Now()
	b.mu.Unlock()
	return b.add(c, connectionBytes)
}

// add counts bytes that a connection holds, and closes connections while the budget is exceeded. It
// returns ErrOverBudget if the connection itself is closed.
func (b *Budget) add(c *conn, bytes int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, counted := b.conns[c]; !counted {
		return ErrOverBudget
	}
	c.held += bytes
	b.used += bytes
	for b.used > b.limit {
		victim := b.victim()
		if victim == nil {
			return nil
		}
		b.remove(victim)
		b.closed.Add(1)
		if victim == c {
			return ErrOverBudget
		}
		// An error means that it is closed already.
		_ = victim.Conn.Close()
	}
	return nil
}

// reset counts a connection as idle: what its request held is free.
func (b *Budget) reset(c *conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, counted := b.conns[c]; counted {
		b.used -= c.held - connectionBytes
		c.held, c.serving, c.lastUsed = connectionBytes, false, time.Now()
	}
}

// setServing records that the request of a connection has been read up to its body.
func (b *Budget) setServing(c *conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.serving = true
}

// drop removes a connection that has ended.
func (b *Budget) drop(c *conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, counted := b.conns[c]; counted {
		b.remove(c)
	}
}

// remove ends the count of a connection. The caller holds mu.
func (b *Budget) remove(c *conn) {
	delete(b.conns, c)
	b.used -= c.held
	c.held = 0
}

// victim returns the connection to close, nil if only light ones with requests in progress are left. The
// caller holds mu.
func (b *Budget) victim() *conn {
	var reading, serving, idle *conn
	for c := range b.conns {
		switch {
		case c.serving:
			if serving == nil || c.held > serving.held {
				serving = c
			}
		case c.held > b.limit/heavyDivisor:
			if reading == nil || c.held > reading.held {
				reading = c
			}
		case idle == nil || c.lastUsed.Before(idle.lastUsed):
			idle = c
		}
	}
	switch {
	case reading != nil:
		return reading
	case serving != nil && serving.held > b.limit/heavyDivisor:
		return serving
	default:
		return idle
	}
}
