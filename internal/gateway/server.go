package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/httpconn"
	"ibisline/internal/timers"
)

const (
	// headerTimeout limits the time in which a caller must send the request header.
	headerTimeout = 5 * time.Second
	// idleTimeout closes the connections of callers that disappeared without closing
	// them. It exceeds the idle timeout announced to callers, so that no connection is
	// closed while a caller sends a request on it.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes limits the size of a request header.
	maxHeaderBytes = 64 << 10
)

// ServerConfig configures the listener and its planned stop.
type ServerConfig struct {
	// BalancerDelay is how long new connections are still accepted after the daemon
	// reported to the balancer that it is not ready.
	BalancerDelay time.Duration
	// CallerBytes limits the memory that the connections of callers make the process hold, and MaxCallers
	// their number; 0 for no limit.
	CallerBytes int64
	MaxCallers  int
	// Reclaim, if not nil, frees descriptors when a connection of a caller cannot be accepted for want of them.
	Reclaim func() bool
}

// Server serves a Gateway over HTTP/1.1. It is a kernel service.
type Server struct {
	*Gateway
	config   ServerConfig
	listener *httpconn.Listener
	http     http.Server
	conns    *httpconn.Tracker
	draining atomic.Bool
}

// Listen binds addr, given as IP:port, and returns a server for g.
func Listen(addr string, g *Gateway, config ServerConfig) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	return NewServer(listener, g, config), nil
}

// NewServer returns a server for g on a listener.
func NewServer(listener net.Listener, g *Gateway, config ServerConfig) *Server {
	s := &Server{Gateway: g, config: config, listener: httpconn.NewListener(listener)}
	s.listener.Reclaim = config.Reclaim
	s.http.Handler = g
	s.http.ReadHeaderTimeout = headerTimeout
	s.http.IdleTimeout = idleTimeout
	s.http.MaxHeaderBytes = maxHeaderBytes
	budget := httpconn.NewBudget(config.CallerBytes, config.MaxCallers)
	g.Metrics.GetOrCreateGauge("ibisline_gateway_caller_bytes", func() float64 { return float64(budget.Used()) })
	g.Metrics.GetOrCreateGauge("ibisline_gateway_callers_closed", func() float64 { return float64(budget.Closed()) })
	g.Metrics.GetOrCreateGauge("ibisline_gateway_callers_without_memory", func() float64 { return float64(budget.Refused()) })
	s.conns = httpconn.Track(&s.http, budget)
	return s
}

// Addr returns the bound address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Run serves until ctx ends, and then closes the remaining connections.
func (s *Server) Run(ctx context.Context) error {
	release := context.AfterFunc(ctx, func() { s.http.Close() })
	defer release()
	go s.forgetServers(ctx)
	err := s.conns.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) || s.draining.Load() {
		<-ctx.Done()
		return nil
	}
	return errors.Wrap(err, "serve callers")
}

// forgetInterval is the interval at which what is known of servers that are gone is dropped.
const forgetInterval = 10 * time.Second

// forgetServers drops what is known of servers that are gone until ctx ends.
func (s *Server) forgetServers(ctx context.Context) {
	for timers.Sleep(ctx, forgetInterval) {
		s.tracker.forgetGone(func(name string) bool {
			_, found := s.Servers.Find(name)
			return found
		}, time.Now())
	}
}

// Ready reports whether the balancer should direct new connections to this daemon.
func (s *Server) Ready() bool {
	return !s.leaving.Load() && s.Routes.Current() != nil && s.Servers.Loaded()
}

// Leaving reports whether a planned stop has begun.
func (s *Server) Leaving() bool { return s.leaving.Load() }

// Drain keeps serving for BalancerDelay, so that the balancer notices the stop. It then
// accepts the connections that wait and no later ones, closes the idle ones and waits for the requests in progress. A
// request that arrives before its connection is closed is still answered. Responses since Leave end their
// connections.
func (s *Server) Drain(ctx context.Context) error {
	processEnd, _ := ctx.Deadline()
	s.Leave(processEnd)
	timers.Sleep(ctx, s.config.BalancerDelay)
	s.draining.Store(true)
	if err := s.listener.Stop(ctx); err != nil {
		s.Log.WithError(err).Warn("listener for callers not stopped in order")
	}
	if err := s.conns.Drain(ctx); err != nil {
		return errors.Wrapf(err, "%d requests of callers still in progress", s.Active())
	}
	return nil
}
