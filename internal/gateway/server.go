package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

const (
	// headerTimeout bounds the time for which a caller may send the head of a
	// request.
	headerTimeout = 5 * time.Second
	// idleTimeout closes connections of callers that have gone away silently. It
	// exceeds what callers are told, so that none is closed under a request.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes bounds the head of a request.
	maxHeaderBytes = 64 << 10
)

// StopConfig sets the planned stop.
type StopConfig struct {
	// BalancerDelay is how long new connections are still served after the
	// balancer was told that the daemon leaves.
	BalancerDelay time.Duration
}

// Server serves a Gateway over HTTP/1.1. It is a kernel service.
type Server struct {
	*Gateway
	stop     StopConfig
	listener net.Listener
	http     http.Server
}

// Listen binds addr, IP:port.
func Listen(addr string, g *Gateway, stop StopConfig) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	return NewServer(listener, g, stop), nil
}

// NewServer serves g on a listener.
func NewServer(listener net.Listener, g *Gateway, stop StopConfig) *Server {
	s := &Server{Gateway: g, stop: stop, listener: listener}
	s.http.Handler = g
	s.http.ReadHeaderTimeout = headerTimeout
	s.http.IdleTimeout = idleTimeout
	s.http.MaxHeaderBytes = maxHeaderBytes
	return s
}

// Addr returns the bound address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Run serves until ctx ends and then breaks the connections that are left.
func (s *Server) Run(ctx context.Context) error {
	release := context.AfterFunc(ctx, func() { s.http.Close() })
	defer release()
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return nil
	}
	return errors.Wrap(err, "serve callers")
}

// Ready reports whether the balancer should send new connections here.
func (s *Server) Ready() bool {
	return !s.leaving.Load() && s.Routes.Current() != nil && s.Servers.Loaded()
}

// Leaving is true once a planned stop began.
func (s *Server) Leaving() bool { return s.leaving.Load() }

// Drain serves on until the balancer has noticed, then takes no new connection and
// waits for the requests under way.
func (s *Server) Drain(ctx context.Context) error {
	s.Leave()
	timer := time.NewTimer(s.stop.BalancerDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	if err := s.http.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "callers still connected")
	}
	return nil
}
