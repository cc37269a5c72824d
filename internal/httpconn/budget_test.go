package httpconn

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// fakeSocket records whether it was closed.
type fakeSocket struct {
	net.Conn
	closed atomic.Bool
}

func (s *fakeSocket) Close() error {
	s.closed.Store(true)
	return nil
}

func (*fakeSocket) SetReadDeadline(time.Time) error { return nil }

// testConn is a connection with a context of its requests.
type testConn struct {
	*conn
	socket *fakeSocket
	ctx    context.Context
}

func openConn(b *Budget) testConn {
	socket := &fakeSocket{}
	c := &conn{Conn: socket}
	c.setBudget(b)
	return testConn{conn: c, socket: socket, ctx: context.WithValue(context.Background(), connKey{}, c)}
}

// Guards against closing connections whose requests were passed on, against closing any for a request that
// is then refused, and against memory that stays counted.
func TestBudgetKeepsProtectedConnections(t *testing.T) {
	const limit, maxConns = 4 << 20, 40
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(limit, maxConns)
		var conns []testConn
		draw := func(t *rapid.T) testConn { return conns[rapid.IntRange(0, len(conns)-1).Draw(t, "conn")] }
		open := func(c testConn) bool { return !c.socket.closed.Load() }
		closedNow := func() int { return int(b.Closed()) }
		actions := map[string]func(*rapid.T){
			"open": func(*rapid.T) { conns = append(conns, openConn(b)) },
			"read head": func(t *rapid.T) {
				if c := draw(t); c.phase == idle {
					_ = c.countRead(make([]byte, rapid.IntRange(1, 64<<10).Draw(t, "bytes")))
				}
			},
			"begin": func(t *rapid.T) {
				if c := draw(t); c.phase == idle && open(c) {
					c.setActive(true)
				}
			},
			"reserve": func(t *rapid.T) {
				c, before, used := draw(t), closedNow(), b.Used()
				err := Reserve(c.ctx, rapid.IntRange(0, 2<<20).Draw(t, "bytes"))
				var noRoom *NoRoomError
				if errors.As(err, &noRoom) {
					require.Equal(t, before, closedNow(), "a refused request closes no connection")
					require.Equal(t, used, b.Used())
					require.Positive(t, noRoom.RetryAfter)
				} else if err == nil {
					require.LessOrEqual(t, b.Used(), int64(limit*smallShare))
				} else {
					require.False(t, open(c))
				}
			},
			"protect": func(t *rapid.T) {
				if c := draw(t); c.phase == receiving {
					require.Equal(t, open(c), Protect(c.ctx) == nil)
				}
			},
			"await": func(t *rapid.T) {
				if c := draw(t); c.phase == protected && open(c) {
					room, err := b.tryTake(c.conn, int64(rapid.IntRange(1, 1<<20).Draw(t, "bytes")))
					require.NoError(t, err)
					require.True(t, room != nil || b.Used() <= limit)
				}
			},
			"end": func(t *rapid.T) {
				if c := draw(t); c.phase != idle && open(c) {
					c.setActive(false)
				}
			},
			"": func(t *rapid.T) {
				held := int64(0)
				counted := 0
				for _, c := range conns {
					held += c.held
					if open(c) {
						counted++
					}
					require.True(t, c.phase != protected || open(c), "a protected connection stays open")
				}
				require.Equal(t, held, b.Used())
				require.LessOrEqual(t, counted, maxConns)
			},
		}
		conns = append(conns, openConn(b))
		t.Repeat(actions)
		for _, c := range conns {
			c.budget.drop(c.conn)
		}
		require.Zero(t, b.Used())
	})
}

// Guards against callers that do not read their responses and hold up all others.
func TestCallerThatDoesNotReadYields(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(1<<20, 0)
		silent, next := openConn(b), openConn(b)
		for _, c := range []testConn{silent, next} {
			c.setActive(true)
			require.NoError(t, Protect(c.ctx))
		}
		require.NoError(t, Await(silent.ctx, 900<<10))
		silent.writingSince.Store(time.Now().UnixNano())
		started := time.Now()
		require.NoError(t, Await(next.ctx, 900<<10))
		require.GreaterOrEqual(t, time.Since(started), stallTime, "it may still read")
		require.True(t, silent.socket.closed.Load())
		require.ErrorIs(t, Await(silent.ctx, 1), ErrOverBudget)
	})
}

// Guards against a Retry-After that sends all refused callers back at the same time, or before there is
// room for them.
func TestRetryAfterFollowsTheRateAtWhichMemoryIsFreed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const body, perSecond = 100_000, 10
		b := NewBudget(1_000_000, 0)
		begin := func() time.Duration {
			c := openConn(b)
			c.setActive(true)
			err := Reserve(c.ctx, body)
			var noRoom *NoRoomError
			if errors.As(err, &noRoom) {
				b.drop(c.conn)
				return noRoom.RetryAfter
			}
			require.NoError(t, err)
			require.NoError(t, Protect(c.ctx))
			return 0
		}
		for begin() == 0 {
		}
		require.Equal(t, maxRetryAfter, begin(), "nothing was freed yet")
		b.freed = freeRate{perSecond: perSecond * body, at: time.Now()}
		begin()
		second := begin()
		for range 5 {
			next := begin()
			require.InDelta(t, time.Second/perSecond, next-second, float64(10*time.Millisecond))
			second = next
		}
		for range 100 {
			require.LessOrEqual(t, begin(), maxRetryAfter)
		}
	})
}
