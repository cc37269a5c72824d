// Package upstream sends requests to backend servers over HTTP/1.1 and reports for each
// failure whether the request may have run. It reuses connections and never repeats a
// request on its own.
//
// A response is accepted only if it carries the identifier of the request, or if it
// carries none and is the first one accepted on its connection. Servers may send a response
// late or twice; such a response precedes the expected one on the connection and is skipped.
package upstream

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"

	"ibisline/internal/defaults"
	"ibisline/internal/structs"
)

// Defaults of Config.
const (
	// DefaultDialTimeout bounds the establishment of a connection: several round
	// trips between regions, but less than the retransmission of a lost SYN.
	DefaultDialTimeout = 300 * time.Millisecond
	// DefaultIdleLimit is how long a connection may stay idle if the server does
	// not announce a limit in Keep-Alive.
	DefaultIdleLimit = 5 * time.Second
	// DefaultUnackedLimit is the time after which a connection with unacknowledged
	// data is closed.
	DefaultUnackedLimit = 1500 * time.Millisecond
	// DefaultMaxIdle is the maximum number of idle connections to one server.
	DefaultMaxIdle = 16
	// idleTimeoutMargin is how much earlier than the server the client closes an
	// idle connection.
	idleTimeoutMargin = 500 * time.Millisecond
	// keepAliveInterval is the interval of the TCP keep-alive probes on a
	// connection that waits for a response; keepAliveCount unanswered probes
	// close it.
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Config sets the limits of a Client. Zero fields take their default.
type Config struct {
	DialTimeout  time.Duration
	IdleLimit    time.Duration
	UnackedLimit time.Duration
	MaxIdle      int
	// Dial connects to an address of the form IP:port. The default dials TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// RequestID returns the identifier of the request that a response header
	// carries, empty if there is none.
	RequestID func(http.Header) string
}

func (c Config) withDefaults() Config {
	defaults.Set(&c.DialTimeout, DefaultDialTimeout)
	defaults.Set(&c.IdleLimit, DefaultIdleLimit)
	defaults.Set(&c.UnackedLimit, DefaultUnackedLimit)
	defaults.Set(&c.MaxIdle, DefaultMaxIdle)
	return c
}

// Client sends requests to backend servers. It is safe for concurrent use.
type Client struct {
	config Config

	mu sync.Mutex
	// idle holds the idle connections of each server, the most recently used one
	// last.
	idle map[poolKey][]*conn

	dials            *metrics.Counter
	reuses           *metrics.Counter
	foreignResponses *metrics.Counter
}

// poolKey identifies one run of a server at one address, so that a connection is never
// reused for another server that has taken over the address.
type poolKey struct {
	server  string
	addr    string
	started int64
}

func keyOf(server structs.Server) poolKey {
	return poolKey{server: server.Name, addr: server.Addr, started: server.StartedMS}
}

// NewClient returns a Client without connections that registers its metrics in set.
func NewClient(config Config, set *metrics.Set) *Client {
	config = config.withDefaults()
	if config.Dial == nil {
		config.Dial = dialTCP(config)
	}
	return &Client{
		config:           config,
		idle:             map[poolKey][]*conn{},
		dials:            set.GetOrCreateCounter("ibisline_upstream_dials_total"),
		reuses:           set.GetOrCreateCounter("ibisline_upstream_reuses_total"),
		foreignResponses: set.GetOrCreateCounter("ibisline_upstream_foreign_answers_total"),
	}
}

// dialTCP returns a function that connects over TCP. An unresponsive server is detected
// by keep-alive probes or by unacknowledged data.
func dialTCP(config Config) func(context.Context, string) (net.Conn, error) {
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: setUserTimeout(config.UnackedLimit),
	}
	return func(ctx context.Context, addr string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", addr) }
}

// setUserTimeout returns a socket control function that sets TCP_USER_TIMEOUT, the time
// after which a connection with unacknowledged data is closed.
func setUserTimeout(limit time.Duration) func(string, string, syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(fd uintptr) {
			failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failure
	}
}

// acquire returns an idle connection that is still usable and on which the request was not
// rejected before, or a new one.
func (c *Client) acquire(ctx context.Context, server structs.Server, request Request) (*conn, error) {
	key := keyOf(server)
	for !request.NewConnection {
		idle := c.takeIdle(key, request.ID)
		if idle == nil {
			break
		}
		if idle.usable(time.Now()) {
			c.reuses.Inc()
			return idle, nil
		}
		idle.close()
	}
	c.dials.Inc()
	dialCtx, cancel := context.WithTimeout(ctx, c.config.DialTimeout)
	defer cancel()
	raw, err := c.config.Dial(dialCtx, server.Addr)
	if err != nil {
		return nil, err
	}
	return newConn(raw, key), nil
}

// Probe connects to a server without sending a request and keeps the connection for the
// next request. It returns the dial error.
func (c *Client) Probe(ctx context.Context, server structs.Server) error {
	c.dials.Inc()
	raw, err := c.config.Dial(ctx, server.Addr)
	if err != nil {
		return err
	}
	c.putIdle(newConn(raw, keyOf(server)), nil)
	return nil
}

// Check connects to a server and closes the connection without sending anything. It returns the dial
// error, whose kind is ErrConnect.
func (c *Client) Check(ctx context.Context, server structs.Server) error {
	c.dials.Inc()
	ctx, cancel := context.WithTimeout(ctx, c.config.DialTimeout)
	defer cancel()
	raw, err := c.config.Dial(ctx, server.Addr)
	if err != nil {
		return &Failure{Kind: ErrConnect, Cause: err}
	}
	return raw.Close()
}

// takeIdle removes and returns the most recently used idle connection of a server on which
// the request was not rejected before, nil if there is none.
func (c *Client) takeIdle(key poolKey, requestID string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.idle[key]
	for i, cn := range slices.Backward(idle) {
		if !slices.Contains(cn.rejected, requestID) {
			c.idle[key] = slices.Delete(idle, i, i+1)
			return cn
		}
	}
	return nil
}

// putIdle keeps a connection for reuse, or closes it if the server already has MaxIdle
// idle connections. header is that of the last response, nil if there was none.
func (c *Client) putIdle(cn *conn, header http.Header) {
	cn.expires = time.Now().Add(c.idleLimit(header))
	c.mu.Lock()
	idle := c.idle[cn.key]
	full := len(idle) >= c.config.MaxIdle
	if !full {
		c.idle[cn.key] = append(idle, cn)
	}
	c.mu.Unlock()
	if full {
		cn.close()
	}
}

// idleLimit returns the time for which a connection may stay idle after a response.
func (c *Client) idleLimit(header http.Header) time.Duration {
	for _, value := range header.Values("Keep-Alive") {
		for field := range strings.SplitSeq(value, ",") {
			name, text, _ := strings.Cut(strings.TrimSpace(field), "=")
			limit, err := strconv.Atoi(text)
			if strings.EqualFold(name, "timeout") && err == nil {
				return min(time.Duration(limit)*time.Second-idleTimeoutMargin, c.config.IdleLimit)
			}
		}
	}
	return c.config.IdleLimit
}

// CloseExpired closes the idle connections that have expired by now, and all idle
// connections of the servers for which keep returns false. It is meant to be called
// periodically.
func (c *Client) CloseExpired(now time.Time, keep func(name string) bool) {
	var stale []*conn
	c.mu.Lock()
	for key, idle := range c.idle {
		first := 0
		for first < len(idle) && (!keep(key.server) || now.After(idle[first].expires)) {
			first++
		}
		stale = append(stale, idle[:first]...)
		if first == len(idle) {
			delete(c.idle, key)
			continue
		}
		c.idle[key] = idle[first:]
	}
	c.mu.Unlock()
	for _, old := range stale {
		old.close()
	}
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.CloseExpired(time.Time{}, func(string) bool { return false })
}

// CloseServer closes all idle connections of a server that appears to be gone.
func (c *Client) CloseServer(name string) {
	c.CloseExpired(time.Time{}, func(server string) bool { return server != name })
}
