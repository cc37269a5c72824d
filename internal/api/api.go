// Package api serves the callers' HTTP interface: JSON requests, answers
// streamed as server-sent events. The HTTP status follows from the verdict and
// the reason of a failure, never the other way round.
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

// Config holds the limits of the interface. Zero fields take their defaults.
type Config struct {
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
	// WriteTimeout is the time for which an answer waits for a caller that does
	// not read it, before that caller is dropped.
	WriteTimeout time.Duration
	// BalancerDelay is the time for which requests are still accepted after the
	// health endpoint said that the daemon is leaving.
	BalancerDelay time.Duration
	// Ready tells whether the daemon can take its first requests. Until it was
	// true once, the health endpoint says that the daemon is starting. Later
	// failures have verdicts of their own, which no balancer could give.
	Ready func() bool
}

const (
	defaultMaxBodyBytes = 8 << 20
	defaultWriteTimeout = 10 * time.Second
)

// withDefaults returns c with its zero fields filled.
func (c Config) withDefaults() Config {
	defaults.Set(&c.MaxBodyBytes, defaultMaxBodyBytes)
	defaults.Set(&c.WriteTimeout, defaultWriteTimeout)
	if c.Ready == nil {
		c.Ready = func() bool { return true }
	}
	return c
}

// API serves callers. It counts the requests under way, so that a planned stop
// can wait for them.
type API struct {
	config  Config
	service home.Service
	set     *metrics.Set
	logger  log.Interface
	gate    gate
	ready   atomic.Bool
	slow    *metrics.Counter
}

// Register adds the callers' routes and the health endpoint to server.
func Register(server *rest.Server, service home.Service, config Config, set *metrics.Set, logger log.Interface) *API {
	a := &API{
		config:  config.withDefaults(),
		service: service,
		set:     set,
		logger:  logger,
		slow:    set.GetOrCreateCounter("ibisline_api_slow_callers_total"),
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

// exchange is one request and its answer.
type exchange struct {
	w         http.ResponseWriter
	r         *http.Request
	requestID string
	program   string
}

// handle wraps a route: request identifier, counting, and the answer to a failure.
func (a *API) handle(route string, serve func(*exchange) error) http.HandlerFunc {
	served := a.set.GetOrCreateCounter(`ibisline_api_requests_total{route="` + route + `"}`)
	seconds := a.set.GetOrCreateHistogram(`ibisline_api_request_seconds{route="` + route + `"}`)
	return func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		served.Inc()
		defer func() { seconds.UpdateDuration(start) }()
		x := &exchange{w: w, r: r, requestID: requestID(r), program: pathvar.Vars(r)["id"]}
		w.Header().Set(HeaderRequestID, x.requestID)
		if !a.gate.enter() {
			writeFailure(w, x.requestID, verdict.Refuse(verdict.Stopping, "daemon is stopping"))
			return
		}
		defer a.gate.leave()
		if a.gate.leaving() {
			// The caller's next request then goes to another daemon.
			w.Header().Set("Connection", "close")
		}
		if err := serve(x); err != nil {
			a.fail(x, route, err)
		}
	}
}

// fail answers a failed request.
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

// maxRequestID bounds an identifier that a caller chose.
const maxRequestID = 128

// requestID returns the caller's request identifier, or a new one.
func requestID(r *http.Request) string {
	id := r.Header.Get(HeaderRequestID)
	if id == "" || len(id) > maxRequestID || strings.ContainsFunc(id, notPrintable) {
		return uuid.NewString()
	}
	return id
}

func notPrintable(c rune) bool { return c <= ' ' || c > '~' }

func (a *API) open(x *exchange) error {
	var request structs.OpenRequest
	if err := decode(x.w, x.r, a.config.MaxBodyBytes, &request); err != nil {
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
	writeReply(x.w, verdict.Ran, ended{Program: x.program, Ended: true})
	return nil
}

func (a *API) call(x *exchange) error {
	var request structs.CallRequest
	if err := decode(x.w, x.r, a.config.MaxBodyBytes, &request); err != nil {
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
	if err := decode(x.w, x.r, a.config.MaxBodyBytes, &request); err != nil {
		return err
	}
	if err := checkTurn(request); err != nil {
		return err
	}
	request.Program = x.program
	request.RequestID = x.requestID
	out := a.newEvents(x, structs.Start())
	return out.finish(a.service.Turn(x.r.Context(), request, out.send))
}

func (a *API) resume(x *exchange) error {
	turn, err := strconv.Atoi(pathvar.Vars(x.r)["turn"])
	if err != nil || turn < 1 {
		return verdict.Refuse(verdict.BadRequest, "turn: %q is no turn number", pathvar.Vars(x.r)["turn"])
	}
	from, err := position(x.r)
	if err != nil {
		return err
	}
	request := structs.ResumeRequest{
		Program: x.program, Turn: turn, After: from.Seq, From: from, RequestID: x.requestID,
	}
	out := a.newEvents(x, from)
	return out.finish(a.service.Resume(x.r.Context(), request, out.send))
}

// position returns where a resumed answer continues: the query parameter
// "after", else the header that browsers send, else the start.
func position(r *http.Request) (structs.Position, error) {
	text := r.URL.Query().Get("after")
	if text == "" {
		text = r.Header.Get("Last-Event-ID")
	}
	if text == "" || text == "0" {
		return structs.Start(), nil
	}
	from, ok := structs.ParsePosition(text)
	if !ok {
		return from, verdict.Refuse(verdict.BadRequest, "after: %q is no event identifier", text)
	}
	return from, nil
}
