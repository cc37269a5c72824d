// Package upstream sends requests to backend servers over HTTP/1.1 and tells for
// each failure whether the request may have run. It keeps connections, and never
// repeats a request by itself.
//
// An answer is taken only if it names the request. Servers may send an answer late
// or twice; such an answer stands on the connection before the one that is waited
// for, and is skipped.
package upstream

import (
	"context"
	"net"
	"net/http"
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
	// DefaultDialTimeout bounds a new connection: several round trips between
	// regions, and less than a retry of a lost opening packet.
	DefaultDialTimeout = 300 * time.Millisecond
	// DefaultIdleLimit is how long a connection may be kept unused when the
	// server does not say.
	DefaultIdleLimit = 5 * time.Second
	// DefaultUnackedLimit breaks a connection whose data is not acknowledged.
	DefaultUnackedLimit = 1500 * time.Millisecond
	// DefaultMaxIdle bounds the connections kept to one server.
	DefaultMaxIdle = 16
	// idleMargin is how much earlier than the server a connection is dropped.
	idleMargin = 500 * time.Millisecond
	// probeInterval is the time between two TCP keep-alive probes of a
	// connection that waits for an answer.
	probeInterval = time.Second
	probeCount    = 2
)

// Config sets the limits of a Client. Zero fields take their default.
type Config struct {
	DialTimeout  time.Duration
	IdleLimit    time.Duration
	UnackedLimit time.Duration
	MaxIdle      int
	// Dial makes a connection to an address, IP:port; over TCP when nil.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// RequestOf returns the identifier of the request that an answer names,
	// empty when it names none.
	RequestOf func(http.Header) string
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
	// idle holds the kept connections of each server, the most recently used
	// one last.
	idle map[poolKey][]*conn

	dials   *metrics.Counter
	reuses  *metrics.Counter
	skipped *metrics.Counter
}

// poolKey names one run of a server at one address. Connections to an address
// that another server has taken over are never used for it.
type poolKey struct {
	name    string
	addr    string
	started int64
}

func keyOf(server structs.Server) poolKey {
	return poolKey{name: server.Name, addr: server.Addr, started: server.Started}
}

// NewClient returns a client without connections.
func NewClient(config Config, set *metrics.Set) *Client {
	config = config.withDefaults()
	if config.Dial == nil {
		config.Dial = dialTCP(config)
	}
	return &Client{
		config:  config,
		idle:    map[poolKey][]*conn{},
		dials:   set.GetOrCreateCounter("ibisline_upstream_dials_total"),
		reuses:  set.GetOrCreateCounter("ibisline_upstream_reuses_total"),
		skipped: set.GetOrCreateCounter("ibisline_upstream_foreign_answers_total"),
	}
}

// dialTCP returns a function that connects over TCP. A peer that has gone silent is
// found by probes, or by data that it does not acknowledge.
func dialTCP(config Config) func(context.Context, string) (net.Conn, error) {
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount},
		Control:         limitUnacked(config.UnackedLimit),
	}
	return func(ctx context.Context, addr string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", addr) }
}

// limitUnacked sets the time after which unacknowledged data breaks a connection.
func limitUnacked(limit time.Duration) func(string, string, syscall.RawConn) error {
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

// acquire returns a kept connection that still seems to work, or a new one.
func (c *Client) acquire(ctx context.Context, server structs.Server) (*conn, error) {
	key := keyOf(server)
	for {
		kept := c.take(key)
		if kept == nil {
			break
		}
		if kept.usable(time.Now()) {
			c.reuses.Inc()
			return kept, nil
		}
		kept.close()
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

// Probe connects to a server without a request. The connection is kept for the next
// one. The error is that of the connection.
func (c *Client) Probe(ctx context.Context, server structs.Server) error {
	c.dials.Inc()
	raw, err := c.config.Dial(ctx, server.Addr)
	if err != nil {
		return err
	}
	c.release(newConn(raw, keyOf(server)), nil)
	return nil
}

// take removes the most recently used connection of a server.
func (c *Client) take(key poolKey) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.idle[key]
	if len(kept) == 0 {
		return nil
	}
	last := kept[len(kept)-1]
	c.idle[key] = kept[:len(kept)-1]
	return last
}

// release keeps a connection after a whole answer, if it may be used again.
func (c *Client) release(used *conn, header http.Header) {
	used.expires = time.Now().Add(c.idleLimit(header))
	c.mu.Lock()
	kept := c.idle[used.key]
	full := len(kept) >= c.config.MaxIdle
	if !full {
		c.idle[used.key] = append(kept, used)
	}
	c.mu.Unlock()
	if full {
		used.close()
	}
}

// idleLimit is the time for which a connection may stay unused after an answer.
func (c *Client) idleLimit(header http.Header) time.Duration {
	for _, value := range header.Values("Keep-Alive") {
		for field := range strings.SplitSeq(value, ",") {
			name, text, _ := strings.Cut(strings.TrimSpace(field), "=")
			limit, err := strconv.Atoi(text)
			if strings.EqualFold(name, "timeout") && err == nil {
				return min(time.Duration(limit)*time.Second-idleMargin, c.config.IdleLimit)
			}
		}
	}
	return c.config.IdleLimit
}

// Trim closes the connections that have been unused for too long, and all those
// of servers that keep does not name. It is called now and then.
func (c *Client) Trim(now time.Time, keep func(name string) bool) {
	var stale []*conn
	c.mu.Lock()
	for key, kept := range c.idle {
		first := 0
		for first < len(kept) && (!keep(key.name) || now.After(kept[first].expires)) {
			first++
		}
		stale = append(stale, kept[:first]...)
		if first == len(kept) {
			delete(c.idle, key)
			continue
		}
		c.idle[key] = kept[first:]
	}
	c.mu.Unlock()
	for _, old := range stale {
		old.close()
	}
}

// Close closes all kept connections.
func (c *Client) Close() {
	c.Trim(time.Time{}, func(string) bool { return false })
}

// Forget closes all kept connections of a server, after a sign that it is gone.
func (c *Client) Forget(name string) {
	c.Trim(time.Time{}, func(kept string) bool { return kept != name })
}
