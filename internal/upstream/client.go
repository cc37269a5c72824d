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
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"ibisline/internal/defaults"
	"ibisline/internal/structs"
	"ibisline/internal/timers"
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
	// MaxConns limits the connections to all servers together, idle ones included; 0 is no limit.
	MaxConns int
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

	pool *pool

	dials            *metrics.Counter
	reuses           *metrics.Counter
	foreignResponses *metrics.Counter
}

// NewClient returns a Client without connections that registers its metrics in set.
func NewClient(config Config, set *metrics.Set) *Client {
	config = config.withDefaults()
	if config.Dial == nil {
		config.Dial = dialTCP(config)
	}
	p := newPool(config.MaxIdle, config.MaxConns)
	set.GetOrCreateGauge("ibisline_upstream_connections", func() float64 {
		open, _ := p.counts()
		return float64(open)
	})
	set.GetOrCreateGauge("ibisline_upstream_connections_idle", func() float64 {
		_, idle := p.counts()
		return float64(idle)
	})
	return &Client{
		config:           config,
		pool:             p,
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
		idle := c.pool.take(key, request.ID)
		if idle == nil {
			break
		}
		if idle.usable(time.Now()) {
			c.reuses.Inc()
			return idle, nil
		}
		idle.close()
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.DialTimeout)
	defer cancel()
	return c.dial(ctx, server)
}

// dial opens a connection. The error is errExhausted if the process has no descriptor left for it.
func (c *Client) dial(ctx context.Context, server structs.Server) (*conn, error) {
	if !c.pool.admit() {
		return nil, errExhausted
	}
	c.dials.Inc()
	raw, err := c.config.Dial(ctx, server.Addr)
	if noDescriptor(err) && c.pool.reclaim() {
		raw, err = c.config.Dial(ctx, server.Addr)
	}
	if err != nil {
		c.pool.release()
		if noDescriptor(err) {
			err = errors.Wrap(errExhausted, err.Error())
		}
		return nil, err
	}
	return newConn(raw, keyOf(server), c.pool), nil
}

// errExhausted means that there are too many connections already.
var errExhausted = errors.New("no descriptor left for a connection")

// noDescriptor reports whether an error means that the process or the machine has no descriptor left.
func noDescriptor(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// Probe connects to a server without sending a request and keeps the connection for the
// next request. It returns the dial error.
func (c *Client) Probe(ctx context.Context, server structs.Server) error {
	cn, err := c.dial(ctx, server)
	if err != nil {
		return err
	}
	c.putIdle(cn, nil)
	return nil
}

// Check connects to a server and closes the connection without sending anything. It returns the dial
// error, whose kind is ErrConnect.
func (c *Client) Check(ctx context.Context, server structs.Server) error {
	ctx, cancel := context.WithTimeout(ctx, c.config.DialTimeout)
	defer cancel()
	cn, err := c.dial(ctx, server)
	if err != nil {
		return &Failure{Kind: ErrConnect, Cause: err}
	}
	cn.close()
	return nil
}

// putIdle keeps a connection for reuse, or closes it if the server already has MaxIdle
// idle connections. header is that of the last response, nil if there was none.
func (c *Client) putIdle(cn *conn, header http.Header) {
	if !c.pool.put(cn, time.Now().Add(c.idleLimit(header))) {
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

// Listed tells which servers there are.
type Listed interface {
	// Find returns a server by name, including servers that are leaving.
	Find(name string) (structs.Server, bool)
	// Changed returns a channel that is closed when the servers change.
	Changed() <-chan struct{}
}

// expireInterval is the interval at which expired idle connections are closed.
const expireInterval = time.Second

// Run closes idle connections when they have expired, and at once when their server is gone, leaving or was
// started again, until ctx ends. Servers limit the connections that they accept, and the process its descriptors.
func (c *Client) Run(ctx context.Context, listed Listed) error {
	for {
		changed := listed.Changed()
		c.pool.closeStale(time.Now(), func(key poolKey) bool {
			server, found := listed.Find(key.server)
			return found && keyOf(server) == key && server.State != structs.StateLeaving
		})
		select {
		case <-ctx.Done():
			c.Close()
			return nil
		case <-changed:
		case <-timers.After(expireInterval):
		}
	}
}

// Reclaim closes some idle connections for the sake of others, when the process has no descriptor left. It
// returns false if there is none.
func (c *Client) Reclaim() bool { return c.pool.reclaim() }

// Close closes all idle connections, and those in use when their requests end.
func (c *Client) Close() {
	c.pool.mu.Lock()
	c.pool.closed = true
	c.pool.mu.Unlock()
	c.pool.closeStale(time.Time{}, func(poolKey) bool { return false })
}

// CloseServer closes all idle connections of a server that appears to be gone.
func (c *Client) CloseServer(name string) {
	c.pool.closeStale(time.Time{}, func(key poolKey) bool { return key.server != name })
}
