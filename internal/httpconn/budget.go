package httpconn

import (
	"cmp"
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Estimates of the memory that a connection makes the process hold. net/http and the handler keep a
// header as a map of which copies are made, so that short lines cost far more than their bytes.
const (
	// connectionBytes is that of an open connection: its goroutine and buffers.
	connectionBytes = 16 << 10
	// headByteFactor and bodyByteFactor are the copies of a byte of a head and of a body whose handler does
	// not reserve memory, and lineBytes is that of a header line in addition.
	headByteFactor = 3
	bodyByteFactor = 2
	lineBytes      = 600
	// heavyDivisor divides the limit to the share above which a connection is closed before those that
	// are idle.
	heavyDivisor = 64
	// yieldFactor is how many times as much as another one a connection has to hold to be closed for it.
	// Callers with requests of about the same size would otherwise cut each other off.
	yieldFactor = 2
	// largeBytes is the size from which on a reservation counts as large.
	largeBytes = 64 << 10
	// stallTime is the time without progress after which a caller counts as one that does not read its
	// response. Callers abandon streams after the same time.
	stallTime = 2 * time.Second
	// idleGrace is the time for which a connection without a request is kept although memory is short, unless
	// only received bytes exceed it: a caller that was refused may come back on it.
	idleGrace = 2 * time.Second
)

// Shares of the limit up to which reservations are accepted. The rest is for responses, so that requests
// which were sent to a server can always be answered, and for small requests beside large ones.
const (
	largeShare = 0.75
	smallShare = 0.875
)

// ErrOverBudget is returned by reads on a connection that was closed because all connections together
// hold too much memory.
var ErrOverBudget = errors.New("connections hold more than their budget")

// NoRoomError is returned if memory cannot be reserved now.
type NoRoomError struct {
	// RetryAfter is the time after which there is room, if memory is freed at the present rate.
	RetryAfter time.Duration
}

func (e *NoRoomError) Error() string {
	return "no memory for the request for about " + e.RetryAfter.String()
}

// Budget limits the memory that all connections of a server make the process hold, and their number. Where
// memory is short, new requests are refused, and connections are closed that no protected request uses:
// first those that hold most, then those that have been idle for longest, then those whose callers do not
// read their responses. It is safe for concurrent use.
type Budget struct {
	limit    int64
	maxConns int

	mu    sync.Mutex
	used  int64
	conns map[*conn]struct{}
	// freed measures how fast memory is freed.
	freed freeRate
	// room is closed and replaced when memory is freed while awaited is set.
	room    chan struct{}
	awaited bool

	closed  atomic.Int64
	refused atomic.Int64
}

// NewBudget returns a budget in bytes for at most maxConns connections; 0 is no limit.
func NewBudget(limit int64, maxConns int) *Budget {
	if limit <= 0 {
		limit = math.MaxInt64
	}
	if maxConns <= 0 {
		maxConns = math.MaxInt
	}
	return &Budget{limit: limit, maxConns: maxConns, conns: map[*conn]struct{}{}, room: make(chan struct{})}
}

// Used returns the estimate of what the connections hold, in bytes.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Closed returns the number of connections that were closed because the budget was exceeded.
func (b *Budget) Closed() int64 { return b.closed.Load() }

// Refused returns the number of reservations that were refused.
func (b *Budget) Refused() int64 { return b.refused.Load() }

// phase is what a connection does.
type phase uint8

const (
	// idle: it waits for a request, or the head of one is being read.
	idle phase = iota
	// receiving: its handler runs, and the body may still be read.
	receiving
	// protected: its request was admitted. The connection is not closed unless its caller does not read the
	// response.
	protected
)

// Reserve counts bytes before a request uses them. From then on its body is not counted as it is read. The
// error is a *NoRoomError, or ErrOverBudget if the connection was closed. ctx is derived from the
// context of the request. Without a budget for its connection, Reserve and the functions below do nothing.
func Reserve(ctx context.Context, bytes int) error {
	if c := counted(ctx); c != nil {
		return c.budget.reserve(c, int64(bytes))
	}
	return nil
}

// Protect keeps the connection of a request from being closed for its memory, until the request ends. It
// returns ErrOverBudget if it is closed already.
func Protect(ctx context.Context) error {
	if c := counted(ctx); c != nil {
		return c.budget.protect(c)
	}
	return nil
}

// Await waits until there is room for further bytes of a protected request, such as its response. The
// error is that of ctx, or ErrOverBudget if the connection was closed.
func Await(ctx context.Context, bytes int) error {
	if c := counted(ctx); c != nil {
		return c.budget.await(ctx, c, int64(bytes))
	}
	return nil
}

// Release ends the count of bytes that a request uses no more. What a request holds at its end is
// released with it.
func Release(ctx context.Context, bytes int) {
	if c := counted(ctx); c != nil {
		c.budget.release(c, int64(bytes))
	}
}

// Discards makes the rest of a request's body not count, as the handler does not keep it.
func Discards(ctx context.Context) {
	if c := counted(ctx); c != nil {
		c.bodyReserved.Store(true)
	}
}

// counted returns the connection of a request, nil if no budget counts it.
func counted(ctx context.Context) *conn {
	c, tracked := ctx.Value(connKey{}).(*conn)
	if !tracked || c.budget == nil {
		return nil
	}
	return c
}

// open counts a new connection. It returns ErrOverBudget if there are too many.
func (b *Budget) open(c *conn) error {
	b.mu.Lock()
	b.conns[c] = struct{}{}
	c.lastUsed = time.Now()
	for len(b.conns) > b.maxConns {
		victim := b.longestIdle(c)
		if victim == nil {
			victim = c
		}
		b.close(victim)
		if victim == c {
			b.mu.Unlock()
			return ErrOverBudget
		}
	}
	b.mu.Unlock()
	return b.add(c, connectionBytes)
}

// add counts bytes that a connection has received, and closes connections while the limit is exceeded. It
// returns ErrOverBudget if the connection itself is closed.
func (b *Budget) add(c *conn, bytes int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, counted := b.conns[c]; !counted {
		return ErrOverBudget
	}
	c.held += bytes
	c.lastUsed = time.Now()
	b.used += bytes
	if b.used <= b.limit {
		return nil
	}
	b.makeRoom(b.used-b.limit, b.yielding(c, 0, 0))
	if b.used > b.limit && c.phase != protected && c.held > b.limit/heavyDivisor {
		b.close(c)
		return ErrOverBudget
	}
	// A light request is let in where nothing yields to it, and refused by its handler.
	return nil
}

func (b *Budget) reserve(c *conn, bytes int64) error {
	c.bodyReserved.Store(true)
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, counted := b.conns[c]; !counted {
		return ErrOverBudget
	}
	missing := b.used + bytes - b.admissionLimit(bytes)
	if missing > 0 {
		yielding := b.yielding(c, c.held+bytes, idleGrace)
		if heldBy(yielding) < missing {
			b.refused.Add(1)
			return &NoRoomError{RetryAfter: b.freed.promise(bytes, missing, time.Now())}
		}
		b.makeRoom(missing, yielding)
	}
	c.held += bytes
	b.used += bytes
	return nil
}

// admissionLimit returns the use up to which a reservation is accepted.
func (b *Budget) admissionLimit(bytes int64) int64 {
	if bytes > largeBytes {
		return int64(float64(b.limit) * largeShare)
	}
	return int64(float64(b.limit) * smallShare)
}

func (b *Budget) protect(c *conn) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, counted := b.conns[c]; !counted {
		return ErrOverBudget
	}
	c.phase = protected
	return nil
}

func (b *Budget) await(ctx context.Context, c *conn, bytes int64) error {
	for {
		room, err := b.tryTake(c, bytes)
		if room == nil || err != nil {
			return err
		}
		select {
		case <-room:
		case <-time.After(stallTime):
			// Callers may have stopped reading meanwhile.
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// tryTake counts bytes if there is room for them. Otherwise it returns a channel that is closed when
// memory is freed.
func (b *Budget) tryTake(c *conn, bytes int64) (room <-chan struct{}, _ error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, counted := b.conns[c]; !counted {
		return nil, ErrOverBudget
	}
	if missing := b.used + bytes - b.limit; missing > 0 {
		yielding := b.yielding(c, 0, idleGrace)
		if heldBy(yielding) < missing {
			b.awaited = true
			return b.room, nil
		}
		b.makeRoom(missing, yielding)
	}
	c.held += bytes
	b.used += bytes
	return nil, nil
}

func (b *Budget) release(c *conn, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, counted := b.conns[c]; counted {
		bytes = min(bytes, c.held)
		c.held -= bytes
		b.free(bytes)
	}
}

// reset counts a connection as idle: what its request held is free.
func (b *Budget) reset(c *conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.bodyReserved.Store(false)
	if _, counted := b.conns[c]; counted {
		b.free(c.held - connectionBytes)
		c.held, c.phase, c.lastUsed = connectionBytes, idle, time.Now()
	}
}

// receives records that the head of a request was read.
func (b *Budget) receives(c *conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.phase = receiving
}

// drop removes a connection that has ended.
func (b *Budget) drop(c *conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, counted := b.conns[c]; counted {
		b.remove(c)
	}
}

// close closes a connection to free what it holds. The caller holds mu.
func (b *Budget) close(c *conn) {
	b.remove(c)
	b.closed.Add(1)
	// An error means that it is closed already.
	_ = c.Conn.Close()
}

// remove ends the count of a connection. The caller holds mu.
func (b *Budget) remove(c *conn) {
	delete(b.conns, c)
	b.free(c.held)
	c.held = 0
}

// free counts bytes as free. The caller holds mu.
func (b *Budget) free(bytes int64) {
	if bytes <= 0 {
		return
	}
	b.used -= bytes
	b.freed.add(bytes, time.Now())
	if b.awaited {
		close(b.room)
		b.room, b.awaited = make(chan struct{}), false
	}
}

// yielding returns the connections that may be closed for one that is going to hold a number of bytes, in
// the order in which they are. Idle ones are among them after a time: earlier, a request may be under way
// on them. The caller holds mu.
func (b *Budget) yielding(to *conn, bytes int64, idleFor time.Duration) []*conn {
	var heavy, idling, stalled []*conn
	heavyBytes := max(b.limit/heavyDivisor, yieldFactor*bytes)
	now := time.Now()
	for c := range b.conns {
		switch {
		case c == to:
		case c.phase != protected && c.held > heavyBytes:
			heavy = append(heavy, c)
		case c.phase == idle && now.Sub(c.lastUsed) >= idleFor:
			idling = append(idling, c)
		case c.phase == protected && c.stalledFor(now) >= stallTime:
			stalled = append(stalled, c)
		}
	}
	byHeld := func(a, b *conn) int { return cmp.Compare(b.held, a.held) }
	slices.SortFunc(heavy, byHeld)
	slices.SortFunc(idling, func(a, b *conn) int { return a.lastUsed.Compare(b.lastUsed) })
	slices.SortFunc(stalled, byHeld)
	return slices.Concat(heavy, idling, stalled)
}

// heldBy returns what connections hold together.
func heldBy(conns []*conn) int64 {
	held := int64(0)
	for _, c := range conns {
		held += c.held
	}
	return held
}

// makeRoom closes connections in their order until a number of bytes is free. The caller holds mu.
func (b *Budget) makeRoom(bytes int64, yielding []*conn) {
	for _, c := range yielding {
		if bytes <= 0 {
			return
		}
		bytes -= c.held
		b.close(c)
	}
}

// longestIdle returns the connection without a request that was used longest ago, nil if there is none
// but except. The caller holds mu.
func (b *Budget) longestIdle(except *conn) *conn {
	var found *conn
	for c := range b.conns {
		if c != except && c.phase == idle && (found == nil || c.lastUsed.Before(found.lastUsed)) {
			found = c
		}
	}
	return found
}

// freeRate measures how fast memory is freed, and spreads the callers that wait for it.
type freeRate struct {
	// perSecond is the average of the last rateWindow, in bytes, and at the time of its last update.
	perSecond float64
	at        time.Time
	// promisedUntil is the time until which the memory that is freed was promised to refused callers.
	promisedUntil time.Time
}

const (
	// rateWindow is the time constant of the average.
	rateWindow = time.Second
	// minRetryAfter and maxRetryAfter bound the time that a refused caller is told to wait. The minimum covers
	// a request that ends meanwhile, and the maximum is told while nothing is freed.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Second
)

func (r *freeRate) add(bytes int64, now time.Time) {
	r.perSecond = r.rate(now) + float64(bytes)/rateWindow.Seconds()
	r.at = now
}

// rate returns the average at a time, in bytes per second.
func (r *freeRate) rate(now time.Time) float64 {
	return r.perSecond * math.Exp(-now.Sub(r.at).Seconds()/rateWindow.Seconds())
}

// promise returns the time until a refused caller finds room for bytes, of which some are missing now, after
// the callers that were refused before.
func (r *freeRate) promise(bytes, missing int64, now time.Time) time.Duration {
	if r.promisedUntil.Before(now) {
		r.promisedUntil = now
	}
	perSecond := r.rate(now)
	wait := r.promisedUntil.Sub(now) + durationFor(missing, perSecond)
	r.promisedUntil = r.promisedUntil.Add(durationFor(bytes, perSecond))
	if latest := now.Add(maxRetryAfter); r.promisedUntil.After(latest) {
		r.promisedUntil = latest
	}
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// durationFor returns the time in which bytes are freed, at most maxRetryAfter.
func durationFor(bytes int64, perSecond float64) time.Duration {
	seconds := float64(bytes) / perSecond
	if !(seconds < maxRetryAfter.Seconds()) {
		return maxRetryAfter
	}
	return time.Duration(seconds * float64(time.Second))
}
