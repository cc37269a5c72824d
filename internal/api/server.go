package api

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/zeromicro/go-zero/rest"

	"ibisline/internal/verdict"
)

const (
	// headerTimeout bounds the time for which a connection may send its headers.
	headerTimeout = 10 * time.Second
	// idleTimeout closes kept-alive connections without requests.
	idleTimeout = 2 * time.Minute
)

// Conf returns the settings of a rest server that refuses nothing by itself:
// every refusal is ours and carries a verdict.
func Conf(name string) rest.RestConf {
	var conf rest.RestConf
	conf.Name = name
	// Other modes start go-zero's load shedding and its own reports.
	conf.Mode = "pre"
	conf.Log.Mode = "console"
	conf.Log.Encoding = "plain"
	conf.Log.Level = "error"
	conf.Host = "127.0.0.1"
	// The zero values of Timeout, MaxBytes, MaxConns, CpuThreshold and of all
	// middlewares switch them off.
	conf.Middlewares = rest.MiddlewaresConf{Recover: true}
	return conf
}

// Server serves the routes of a rest.Server on a listener of its own. The rest
// server's own start is not used: it panics on a taken address and stops on
// signals by itself.
type Server struct {
	rest     *rest.Server
	listener net.Listener
	http     http.Server
}

// NewServer returns a server without routes.
func NewServer(conf rest.RestConf) (*Server, error) {
	server, err := rest.NewServer(conf, rest.WithNotFoundHandler(http.HandlerFunc(notFound)),
		rest.WithNotAllowedHandler(http.HandlerFunc(notAllowed)))
	if err != nil {
		return nil, errors.Wrap(err, "rest server")
	}
	return &Server{rest: server}, nil
}

// Rest returns the server to which routes are added, before Listen.
func (s *Server) Rest() *rest.Server { return s.rest }

// Listen binds addr, IP:port.
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
	s.http.ReadHeaderTimeout = headerTimeout
	s.http.IdleTimeout = idleTimeout
	return nil
}

// Addr returns the address bound by Listen.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Run serves until ctx ends and then breaks the connections that are left. A
// planned stop calls API.Drain before.
func (s *Server) Run(ctx context.Context) error {
	release := context.AfterFunc(ctx, func() { s.http.Close() })
	defer release()
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve callers")
}

// notFound answers paths that are not served.
func notFound(w http.ResponseWriter, r *http.Request) {
	writeFailure(w, requestID(r), verdict.Refuse(verdict.UnknownRoute, "no route %s", r.URL.Path))
}

// notAllowed answers paths that are not served with this method.
func notAllowed(w http.ResponseWriter, r *http.Request) {
	writeFailure(w, requestID(r), verdict.Refuse(verdict.MethodNotAllowed, "%s is not served with %s", r.URL.Path, r.Method))
}
