// Package api serves the HTTP API for callers: JSON requests, with the answers to
// turns streamed as server-sent events. The HTTP status is derived from the verdict
// and the reason of a failure, never the other way round.
package api

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"ibisline/internal/defaults"
	"ibisline/internal/home"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// Config holds the settings of an API. Zero fields take their defaults.
type Config struct {
	// MaxBodyBytes bounds the size of a request body.
	MaxBodyBytes int64
	// WriteTimeout bounds the write of one event. A caller that does not read for
	// this long is dropped.
	WriteTimeout time.Duration
	// BalancerDelay is the time for which requests are still accepted after the
	// health endpoint first reported that the daemon is leaving.
	BalancerDelay time.Duration
	// Ready reports whether the daemon can accept its first requests. The health
	// endpoint reports the daemon as starting until Ready has returned true once.
	// Later failures don't make the daemon unhealthy: it answers them with their
	// own verdicts, which a load balancer could not do.
	Ready func() bool
}

const (
	defaultMaxBodyBytes = 8 << 20
	defaultWriteTimeout = 10 * time.Second
)

// withDefaults returns c with zero fields set to their defaults.
func (c Config) withDefaults() Config {
	defaults.Set(&c.MaxBodyBytes, defaultMaxBodyBytes)
	defaults.Set(&c.WriteTimeout, defaultWriteTimeout)
	if c.Ready == nil {
		c.Ready = func() bool { return true }
	}
	return c
}

// API serves the HTTP API for callers. It counts the requests in flight, so that a
// planned stop can wait for them.
type API struct {
	config      Config
	service     home.Service
	set         *metrics.Set
	logger      log.Interface
	gate        gate
	ready       atomic.Bool
	slowCallers *metrics.Counter
}

// Register adds the routes of the API and the health endpoint to server.
func Register(server *rest.Server, service home.Service, config Config, set *metrics.Set, logger log.Interface) *API {
	a := &API{
		config:      config.withDefaults(),
		service:     service,
		set:         set,
		logger:      logger,
		slowCallers: set.GetOrCreateCounter("ibisline_api_slow_callers_total"),
	}
	set.GetOrCreateGauge("ibisline_api_requests_active", func() float64 { return float64(a.gate.count()) })
	server.AddRoutes([]rest.Route{
		{Method: http.MethodPost, Path: "/v1/programs", Handler: a.handle("open", a.open)},
		{Method: http.MethodGet, Path: "/v1/programs/:id", Handler: a.handle("state", a.state)},
		{Method: http.MethodDelete, Path: "/v1/programs/:id", Handler: a.handle("end", a.end)},
		{Method: http.MethodPost, Path: "/v1/programs/:id/calls", Handler: a.handle("call", a.call)},
		{Method: http.MethodPost, Path: "/v1/programs/:id/turns", Handler: a.handle("turn", a.turn)},
		{Method: http.MethodGet, Path: "/v1/programs/:id/turns/:turn", Handler: a.handle("resume", a.resume)},
		{Method: http.MethodGet, Path: "/healthz", Handler: a.health},
	}, rest.WithTimeout(0))
	return a
}

// exchange is one HTTP request and its response.
type exchange struct {
	w         http.ResponseWriter
	r         *http.Request
	requestID string
	program   string
}

// handle returns the handler of a route. It assigns the request identifier, counts
// the request, and writes the response if serve fails.
func (a *API) handle(route string, serve func(*exchange) error) http.HandlerFunc {
	served := a.set.GetOrCreateCounter(`ibisline_api_requests_total{route="` + route + `"}`)
	seconds := a.set.GetOrCreateHistogram(`ibisline_api_request_seconds{route="` + route + `"}`)
	return func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		served.Inc()
		defer func() { seconds.UpdateDuration(start) }()
		x := &exchange{w: w, r: r, requestID: requestID(r), program: pathvar.Vars(r)["id"]}
		w.Header().Set(HeaderRequestID, x.requestID)
		admitted := a.gate.enter()
		if admitted {
			defer a.gate.leave()
		}
		if a.gate.leaving() {
			// Makes the caller reconnect, so that its next request reaches another daemon.
			w.Header().Set("Connection", "close")
		}
		if !admitted {
			writeFailure(w, x.requestID, verdict.Refuse(verdict.Stopping, "daemon is stopping"))
			return
		}
		if err := serve(x); err != nil {
			a.fail(x, route, err)
		}
	}
}

// fail counts and logs a failed request and writes the response.
func (a *API) fail(x *exchange, route string, err error) {
	failure := verdict.From(err)
	a.set.GetOrCreateCounter(`ibisline_api_failures_total{route="` + route +
		`",reason="` + string(failure.Reason) + `",verdict="` + failure.Verdict.String() + `"}`).Inc()
	a.logger.WithFields(log.Fields{
		"program":    x.program,
		"request_id": x.requestID,
		"route":      route,
		"reason":     failure.Reason,
		"verdict":    failure.Verdict,
	}).WithError(failure).Info("request failed")
	writeFailure(x.w, x.requestID, failure)
}

// maxRequestIDBytes bounds the length of a request identifier chosen by the caller.
const maxRequestIDBytes = 128

// requestID returns the request identifier chosen by the caller if it is valid, or
// a new one.
func requestID(r *http.Request) string {
	id := r.Header.Get(HeaderRequestID)
	if id == "" || len(id) > maxRequestIDBytes || strings.ContainsFunc(id, notPrintable) {
		return uuid.NewString()
	}
	return id
}

func notPrintable(c rune) bool { return c <= ' ' || c > '~' }

func (a *API) open(x *exchange) error {
	var request structs.OpenRequest
	if err := decodeBody(x.w, x.r, a.config.MaxBodyBytes, &request); err != nil {
		return err
	}
	if err := checkOpen(request); err != nil {
		return err
	}
	reply, err := a.service.Open(x.r.Context(), request)
	if err != nil {
		return err
	}
	writeReply(x.w, verdict.Ran, reply)
	return nil
}

func (a *API) state(x *exchange) error {
	state, err := a.service.State(x.r.Context(), x.program)
	if err != nil {
		return err
	}
	writeReply(x.w, verdict.Ran, state)
	return nil
}

func (a *API) end(x *exchange) error {
	if err := a.service.End(x.r.Context(), x.program); err != nil {
		return err
	}
	writeReply(x.w, verdict.Ran, endReply{Program: x.program, Ended: true})
	return nil
}

func (a *API) call(x *exchange) error {
	var request structs.CallRequest
	if err := decodeBody(x.w, x.r, a.config.MaxBodyBytes, &request); err != nil {
		return err
	}
	if err := checkCall(request); err != nil {
		return err
	}
	request.Program = x.program
	request.RequestID = x.requestID
	reply, err := a.service.Call(x.r.Context(), request)
	if err != nil {
		return err
	}
	writeReply(x.w, reply.Verdict, callReply{CallReply: reply, RequestID: x.requestID})
	return nil
}

func (a *API) turn(x *exchange) error {
	var request structs.TurnRequest
	if err := decodeBody(x.w, x.r, a.config.MaxBodyBytes, &request); err != nil {
		return err
	}
	if err := checkTurn(request); err != nil {
		return err
	}
	request.Program = x.program
	request.RequestID = x.requestID
	out := a.newEventWriter(x, structs.StartPosition())
	return out.finish(a.service.Turn(x.r.Context(), request, out.send))
}

func (a *API) resume(x *exchange) error {
	turn, err := strconv.Atoi(pathvar.Vars(x.r)["turn"])
	if err != nil || turn < 1 {
		return verdict.Refuse(verdict.BadRequest, "turn: %q is no turn number", pathvar.Vars(x.r)["turn"])
	}
	from, err := resumePosition(x.r)
	if err != nil {
		return err
	}
	request := structs.ResumeRequest{
		Program: x.program, Turn: turn, After: from.Seq, From: from, RequestID: x.requestID,
	}
	out := a.newEventWriter(x, from)
	return out.finish(a.service.Resume(x.r.Context(), request, out.send))
}

// resumePosition returns the position after which a resumed answer continues: the
// query parameter "after", else the Last-Event-ID header that browsers send, else
// the start.
func resumePosition(r *http.Request) (structs.Position, error) {
	text := r.URL.Query().Get("after")
	if text == "" {
		text = r.Header.Get("Last-Event-ID")
	}
	if text == "" || text == "0" {
		return structs.StartPosition(), nil
	}
	from, ok := structs.ParsePosition(text)
	if !ok {
		return from, verdict.Refuse(verdict.BadRequest, "after: %q is no event identifier", text)
	}
	return from, nil
}
