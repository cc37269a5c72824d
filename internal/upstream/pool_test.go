package upstream

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ibisline/internal/structs"
)

// fakeSocket counts the connections that are open.
type fakeSocket struct {
	net.Conn
	open *int
}

func (s fakeSocket) Close() error {
	*s.open--
	return nil
}

// Guards against more connections than the process has descriptors for, in use and idle ones together, and against
// refusing one although an idle one could yield.
func TestConnectionsStayWithinLimit(t *testing.T) {
	const limit, servers = 8, 5
	rapid.Check(t, func(t *rapid.T) {
		open := 0
		c := NewClient(Config{MaxConns: limit, MaxIdle: 3, Dial: func(context.Context, string) (net.Conn, error) {
			open++
			return fakeSocket{open: &open}, nil
		}}, metrics.NewSet())
		var inUse []*conn
		now := time.Now()
		server := func(t *rapid.T) structs.Server {
			n := rapid.IntRange(0, servers-1).Draw(t, "server")
			return structs.Server{Name: fmt.Sprint(n), Addr: "a", StartedMS: int64(rapid.IntRange(1, 2).Draw(t, "run"))}
		}
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) {
				cn, err := c.acquire(context.Background(), server(t), Request{NewConnection: rapid.Bool().Draw(t, "new")})
				if err != nil {
					require.ErrorIs(t, err, errExhausted)
					require.Len(t, inUse, limit, "an idle connection yields")
					return
				}
				inUse = append(inUse, cn)
			},
			"end": func(t *rapid.T) {
				if len(inUse) == 0 {
					return
				}
				cn := inUse[0]
				inUse = inUse[1:]
				if rapid.Bool().Draw(t, "keep") {
					c.putIdle(cn, nil)
				} else {
					cn.close()
					cn.close()
				}
			},
			"expire": func(t *rapid.T) {
				gone := fmt.Sprint(rapid.IntRange(0, servers-1).Draw(t, "gone"))
				c.pool.closeStale(now, func(key poolKey) bool { return key.server != gone })
				require.Nil(t, c.pool.idle[poolKey{server: gone, addr: "a", started: 1}])
			},
			"reclaim": func(*rapid.T) { c.Reclaim() },
			"": func(t *rapid.T) {
				counted, idle := c.pool.counts()
				require.Equal(t, open, counted)
				require.Equal(t, len(inUse)+idle, counted)
				require.LessOrEqual(t, counted, limit)
			},
		})
		for _, cn := range inUse {
			c.putIdle(cn, nil)
		}
		c.Close()
		require.Zero(t, open)
	})
}

// Guards against a request that fails for want of a descriptor while idle connections hold some.
func TestIdleConnectionsYieldWhereProcessHasNoDescriptor(t *testing.T) {
	open, fail := 0, false
	c := NewClient(Config{Dial: func(context.Context, string) (net.Conn, error) {
		if fail && open > 0 {
			return nil, &net.OpError{Op: "dial", Err: syscall.EMFILE}
		}
		open++
		return fakeSocket{open: &open}, nil
	}}, metrics.NewSet())
	server := structs.Server{Name: "a", Addr: "a"}
	require.NoError(t, c.Probe(context.Background(), server))
	fail = true
	_, err := c.acquire(context.Background(), server, Request{NewConnection: true})
	require.NoError(t, err)
	_, err = c.Send(context.Background(), server, Request{NewConnection: true})
	require.ErrorIs(t, err, ErrExhausted, "the other connection is in use")
}
