// Package gateway takes callers' requests that a platform hands to any daemon and
// gets them answered by a backend server: it finds the route, chooses the server,
// decides what may be sent again after a failure, and passes the answer on.
//
// A request leaves a daemon once, and again only with the proof that it did not
// run, or if its route allows it to run more often. So no record of a request
// outlives its connection, and nothing is written to the platform for it.
package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"ibisline/internal/allowance/ledger"
	"ibisline/internal/poison"
	"ibisline/internal/request"
	"ibisline/internal/routes"
	"ibisline/internal/servers"
	"ibisline/internal/structs"
	"ibisline/internal/upstream"
	"ibisline/internal/verdict"
)

// Dialect translates requests and answers between a platform's wire and the types
// of the gateway.
type Dialect interface {
	// Request decodes the header of a caller's request as far as it can be read; the
	// request is never nil. Errors are refusals.
	Request(r *http.Request, now time.Time) (*request.Request, error)
	// Forward returns the header of one send to a server.
	Forward(r *request.Request, server string, left time.Duration, resumeAfter int) http.Header
	// RequestOf returns the identifier of the request that an answer names.
	RequestOf(header http.Header) string
	// NotRun reports whether an answer proves that the request did not run.
	NotRun(status int, header http.Header) bool
	// AnswerHeader returns the fields of an answer that go on to the caller.
	AnswerHeader(header http.Header) http.Header
	// Failure returns status and header for a request without an answer.
	Failure(failure *verdict.Error) (int, http.Header)
}

// Routes returns the configuration in force, nil while none is known.
type Routes interface{ Current() *routes.Table }

// Budgets grants the tokens of turns. Errors of Reserve are refusals.
type Budgets interface {
	Reserve(ctx context.Context, r ledger.Reservation) (ledger.Grant, error)
}

// Poison knows the requests that crash the servers which run them.
type Poison interface {
	// Empty reports whether nothing is refused, so that no request has to be
	// identified.
	Empty() bool
	// Refuses reports whether a request must not be sent.
	Refuses(request poison.Fingerprint) bool
	// Broken looks, without blocking, into a connection that broke during a request.
	Broken(request poison.Fingerprint, server structs.Server)
}

// Config names the daemon's place.
type Config struct {
	Region     string
	DataCentre string
}

// Deps are the services that the gateway uses.
type Deps struct {
	Dialect Dialect
	Routes  Routes
	Servers servers.View
	Client  *upstream.Client
	Budgets Budgets
	Poison  Poison
	Metrics *metrics.Set
	Log     log.Interface
}

// Gateway serves callers' requests. It is an http.Handler.
type Gateway struct {
	Deps
	config   Config
	tracker  *tracker
	measures measures
	leaving  atomic.Bool
	active   atomic.Int64
}

// New returns a gateway.
func New(config Config, deps Deps) *Gateway {
	g := &Gateway{Deps: deps, config: config, tracker: newTracker(), measures: newMeasures(deps.Metrics)}
	deps.Metrics.GetOrCreateGauge("ibisline_gateway_requests_active", func() float64 { return float64(g.active.Load()) })
	return g
}

// Leave makes callers open their next connection elsewhere.
func (g *Gateway) Leave() { g.leaving.Store(true) }

// Active is the number of requests under way.
func (g *Gateway) Active() int { return int(g.active.Load()) }

// noConfigRetry is the wait told to callers while no configuration is known: a
// daemon that has just started gets one within some hundred milliseconds.
const noConfigRetry = 200 * time.Millisecond

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	g.active.Add(1)
	defer g.active.Add(-1)
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	table := g.Routes.Current()
	job, err := g.admit(w, r, table, now)
	defer g.noteEnd(job, table.VersionOrZero())
	if err != nil {
		g.fail(w, r, job, err)
		return
	}
	g.serve(w, r, job)
}

// admit decodes a request and finds its route. The job is never nil.
func (g *Gateway) admit(w http.ResponseWriter, r *http.Request, table *routes.Table, now time.Time) (*job, error) {
	decoded, err := g.Dialect.Request(r, now)
	j := newJob(decoded)
	if table == nil {
		return j, verdict.Refuse(verdict.CatalogueStale, "no configuration is known yet").RetryIn(noConfigRetry)
	}
	if err != nil {
		return j, err
	}
	route, found := table.Match(decoded.Host, decoded.Path)
	if !found {
		return j, verdict.Refuse(verdict.UnknownRoute, "no route for %s%s", decoded.Host, decoded.Path)
	}
	j.route = route
	j.service = table.Services[routes.PickService(route, drawOf(decoded))]
	j.deadline = decoded.Deadline(route.Timeout)
	j.Body, err = readBody(w, r, table.Limits.BodyBytes)
	return j, err
}
