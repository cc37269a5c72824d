package api

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/zeromicro/go-zero/rest"

	"ibisline/internal/httpconn"
	"ibisline/internal/verdict"
)

const (
	// readHeaderTimeout bounds the time for reading the headers of a request.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is the time after which an idle keep-alive connection is closed.
	idleTimeout = 2 * time.Minute
	// maxOperatorHeaderBytes limits the header of a request on a server for operators.
	maxOperatorHeaderBytes = 16 << 10
	// stopLimit bounds the time for refusing the last requests when the server stops. It exceeds the
	// time that a caller has for its first request on a connection.
	stopLimit = 2 * time.Second
)

// RestConf returns the configuration of a go-zero rest server that rejects no
// requests itself, so that every refusal comes from this package and has a verdict.
func RestConf(name string) rest.RestConf {
	var conf rest.RestConf
	conf.Name = name
	// The other modes enable go-zero's load shedding and its own metrics reports.
	conf.Mode = "pre"
	conf.Log.Mode = "console"
	conf.Log.Encoding = "plain"
	conf.Log.Level = "error"
	conf.Host = "127.0.0.1"
	// The zero values of Timeout, MaxBytes, MaxConns, CpuThreshold and of all
	// other middlewares disable them.
	conf.Middlewares = rest.MiddlewaresConf{Recover: true}
	return conf
}

// Server serves the routes of a rest.Server on its own listener. rest.Server.Start
// is not used because it panics if the address is in use and handles signals itself.
type Server struct {
	rest     *rest.Server
	listener net.Listener
	http     http.Server
	conns    *httpconn.Tracker
	// budget is nil if what connections hold is not limited.
	budget *httpconn.Budget
}

// NewServer returns a server without routes.
func NewServer(conf rest.RestConf) (*Server, error) {
	server, err := rest.NewServer(conf, rest.WithNotFoundHandler(http.HandlerFunc(notFound)),
		rest.WithNotAllowedHandler(http.HandlerFunc(notAllowed)))
	if err != nil {
		return nil, errors.Wrap(err, "create rest server")
	}
	return &Server{rest: server}, nil
}

// Rest returns the server to which routes are added. Routes must be added before
// Listen.
func (s *Server) Rest() *rest.Server { return s.rest }

// LimitConnections limits what connections make the process hold, on a server for operators whose
// requests have no bodies. It must be called before Listen.
func (s *Server) LimitConnections(bytes int64) {
	s.budget = httpconn.NewBudget(bytes, 0)
	s.http.MaxHeaderBytes = maxOperatorHeaderBytes
}

// Listen binds addr, given as IP:port.
func (s *Server) Listen(addr string) error {
	handler, err := rest.NewServerless(s.rest)
	if err != nil {
		return errors.Wrap(err, "bind routes")
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	s.listener = listener
	s.http.Handler = http.HandlerFunc(handler.Serve)
	s.http.ReadHeaderTimeout = readHeaderTimeout
	s.http.IdleTimeout = idleTimeout
	s.conns = httpconn.Track(&s.http, s.budget)
	return nil
}

// Addr returns the address bound by Listen.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Run serves until ctx ends. It then closes each connection once it has no request in progress, which
// takes stopLimit at most. A planned stop calls API.Drain first.
func (s *Server) Run(ctx context.Context) error {
	served := make(chan error, 1)
	listener := httpconn.NewListener(s.listener)
	go func() { served <- s.conns.Serve(listener) }()
	select {
	case err := <-served:
		return errors.Wrap(err, "serve callers") // never nil
	case <-ctx.Done():
	}
	limit, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	stopErr := listener.Stop(limit)
	drainErr := s.conns.Drain(limit)
	// Cuts off the connections that are left after the limit.
	if err := errors.Join(stopErr, drainErr, s.http.Close()); err != nil {
		return errors.Wrap(err, "close connections of callers")
	}
	return nil
}

// notFound refuses a request to an unknown path.
func notFound(w http.ResponseWriter, r *http.Request) {
	writeFailure(w, requestID(r), verdict.Refuse(verdict.UnknownRoute, "no route %s", r.URL.Path))
}

// notAllowed refuses a request with a method that its path does not support.
func notAllowed(w http.ResponseWriter, r *http.Request) {
	writeFailure(w, requestID(r), verdict.Refuse(verdict.MethodNotAllowed, "%s is not served with %s", r.URL.Path, r.Method))
}
