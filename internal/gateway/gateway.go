// Package gateway is the HTTP reverse proxy between callers and backend servers: it matches
// a request to a route, chooses a server, decides whether the request may be resent after a
// failure, and forwards the response. A platform may deliver a request to any daemon.
//
// A request is sent to a backend server once. It is resent only with proof that it did not
// run, or if its route allows it to run more than once. Therefore no record of a request
// has to outlive its connection, and nothing is written to the platform for it.
package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"ibisline/internal/crashguard"
	"ibisline/internal/httpconn"
	"ibisline/internal/request"
	"ibisline/internal/routes"
	"ibisline/internal/serverlimit"
	"ibisline/internal/servers"
	"ibisline/internal/structs"
	"ibisline/internal/tokenbudget/ledger"
	"ibisline/internal/upstream"
	"ibisline/internal/verdict"
)

// Dialect translates between a platform's HTTP headers and the types of the gateway.
type Dialect interface {
	// DecodeRequest decodes the header of a caller's request. On an error, which is a refusal,
	// it returns the fields that were valid; the request is never nil.
	DecodeRequest(r *http.Request, now time.Time) (*request.Request, error)
	// ForwardHeader returns the header for sending the request to a server. The server has the
	// time left to respond; a resumeAfter other than 0 resumes the stream after that event.
	ForwardHeader(r *request.Request, server string, left time.Duration, resumeAfter int) http.Header
	// ResponseRequestID returns the ID of the request that a response header refers to.
	ResponseRequestID(header http.Header) string
	// NotRun reports whether a response proves that the request did not run.
	NotRun(status int, header http.Header) bool
	// Leaving reports whether the server that sent a response says that it is leaving.
	Leaving(status int, header http.Header) bool
	// Limit returns what a response says about the limit of the server that has sent it.
	Limit(status int, header http.Header) serverlimit.Notice
	// ResponseHeader returns the fields of a response header that are forwarded to the caller.
	ResponseHeader(header http.Header) http.Header
	// FailureResponse returns the status and header of the response to a request that failed.
	FailureResponse(failure *verdict.Error) (int, http.Header)
}

// Routes provides the route configuration in force.
type Routes interface {
	// Current returns nil until a configuration is loaded.
	Current() *routes.Table
	// Age returns the time since the current configuration was proven to be the newest one, and false
	// without such a proof. What Current returns later is at least as new.
	Age() (time.Duration, bool)
}

// Budgets grants tokens to turns. Errors of Reserve are refusals.
type Budgets interface {
	Reserve(ctx context.Context, r ledger.Reservation) (ledger.Grant, error)
}

// CrashGuard refuses requests that crash the servers which run them.
type CrashGuard interface {
	// Empty reports whether no request is refused, so that fingerprints need not be
	// computed.
	Empty() bool
	// Refuses reports whether a request must not be sent, and for how much longer.
	Refuses(request crashguard.Fingerprint) (left time.Duration, refused bool)
	// CheckCrash checks whether a server crashed, after it broke off a request. It does not block.
	CheckCrash(request crashguard.Fingerprint, server structs.Server)
	// RecordCompletion records that a server has answered a request completely.
	RecordCompletion(request crashguard.Fingerprint)
}

// ServerLimits keeps the requests of all daemons to a server within the limit that it names in its
// responses.
type ServerLimits interface {
	// Limited reports whether a server names a limit.
	Limited(server structs.Server) bool
	// Denied returns the time until a permit for a server may be available, and false if one may
	// be available now or the server names no limit.
	Denied(server structs.Server) (time.Duration, bool)
	// Take takes a permit for one request to a server, to be sent at once. It returns false if
	// there is none.
	Take(ctx context.Context, server structs.Server) bool
	// Charge takes a permit for a request that is sent in any case. It does not block.
	Charge(server structs.Server)
	// Observe records what the response of a server to a request that was sent at a given time
	// says about its limit.
	Observe(server structs.Server, n serverlimit.Notice, sentAt time.Time)
}

// Config is the location of the daemon.
type Config struct {
	Region     string
	DataCentre string
	// RevokeWithin is the time after which a revoked key must not work any more; 0 for no limit.
	RevokeWithin time.Duration
	// ScarceMemory is set if engines cannot keep all shared parts of prompts beside the requests that
	// they run.
	ScarceMemory bool
}

// Deps holds the services that the gateway depends on.
type Deps struct {
	Dialect    Dialect
	Routes     Routes
	Servers    servers.View
	Client     *upstream.Client
	Budgets    Budgets
	Histories  Histories
	CrashGuard CrashGuard
	Limits     ServerLimits
	Quotas     Quotas
	Metrics    *metrics.Set
	Log        log.Interface
}

// Gateway is the http.Handler for callers' requests.
type Gateway struct {
	Deps
	config         Config
	tracker        *tracker
	admission      *admission
	requestMetrics requestMetrics
	teamCounts     *teamCounts
	leaving        atomic.Bool
	// endOfService is the time by which requests must be answered once leaving is set; zero means no
	// limit. ending ends at that time.
	endOfService   atomic.Pointer[time.Time]
	ending         context.Context
	end            context.CancelFunc
	activeRequests atomic.Int64
	// largeResponses has one element for each large response that is being buffered.
	largeResponses chan struct{}
}

// New returns a gateway.
func New(config Config, deps Deps) *Gateway {
	g := &Gateway{
		Deps: deps, config: config, tracker: newTracker(), admission: newAdmission(), requestMetrics: newRequestMetrics(deps.Metrics),
		teamCounts: newTeamCounts(), largeResponses: make(chan struct{}, maxLargeResponses),
	}
	g.ending, g.end = context.WithCancel(context.Background())
	deps.Metrics.GetOrCreateGauge("ibisline_gateway_requests_active", func() float64 {
		return float64(g.activeRequests.Load())
	})
	deps.Metrics.GetOrCreateGauge("ibisline_gateway_servers_known", func() float64 { return float64(g.tracker.known()) })
	return g
}

// answerMargin is the time before the end of the process by which all requests are answered.
const answerMargin = 500 * time.Millisecond

// Leave begins a planned stop, after which the process ends at the given time. Every further response
// closes its connection, so that callers reconnect to another daemon. A request that may last longer
// is rejected, and those in progress are answered before the end.
func (g *Gateway) Leave(processEnd time.Time) {
	if g.leaving.Swap(true) || processEnd.IsZero() {
		return
	}
	end := processEnd.Add(-answerMargin)
	g.endOfService.Store(&end)
	time.AfterFunc(time.Until(end), g.end)
}

// checkStop returns an error if a request may not be answered before the end of the process.
func (g *Gateway) checkStop(j *job) error {
	end := g.endOfService.Load()
	if end == nil || !j.deadline.After(*end) {
		return nil
	}
	return verdict.Refuse(verdict.Stopping, "the daemon stops before the deadline of the request")
}

// Active returns the number of requests in progress.
func (g *Gateway) Active() int { return int(g.activeRequests.Load()) }

// LargeResponses returns the number of large responses that are being buffered.
func (g *Gateway) LargeResponses() int { return len(g.largeResponses) }

// noConfigRetryAfter is the Retry-After of refusals while no configuration is loaded. A
// daemon that has just started loads one within some hundred milliseconds.
const noConfigRetryAfter = 200 * time.Millisecond

func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	limitWrites(w, now.Add(maxWriteTime))
	g.activeRequests.Add(1)
	defer g.activeRequests.Add(-1)
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	age, proven := g.Routes.Age()
	table := g.Routes.Current()
	job, err := g.admit(w, r, table, proof{age: age, proven: proven}, now)
	defer g.recordEnd(job, table.VersionOrZero())
	defer g.returnQuota(job)
	if err != nil {
		g.refuse(w, r, job, err)
		return
	}
	g.serve(w, r, job)
}

const (
	// maxWriteTime is the time within which a caller must have read the response to a request whose
	// deadline is not known yet, and readGrace that after its deadline.
	maxWriteTime = time.Minute
	readGrace    = 5 * time.Second
)

// limitWrites sets the time by which a caller must have read its response. A caller that stops reading
// would hold the response, a goroutine and a descriptor for as long as it likes.
func limitWrites(w http.ResponseWriter, at time.Time) {
	// An error means that the connection is closed, or that writes to it do not block.
	_ = http.NewResponseController(w).SetWriteDeadline(at)
}

// admit decodes a request, finds its route and reads its body. The job is never nil; errors
// are refusals.
func (g *Gateway) admit(w http.ResponseWriter, r *http.Request, table *routes.Table, p proof, now time.Time) (*job, error) {
	decoded, err := g.Dialect.DecodeRequest(r, now)
	j := newJob(decoded)
	if table == nil {
		return j, verdict.Refuse(verdict.CatalogueStale, "no configuration is known yet").RetryIn(noConfigRetryAfter)
	}
	if err != nil {
		return j, err
	}
	route, found := table.Match(decoded.Host, decoded.Path)
	if !found {
		return j, verdict.Refuse(verdict.UnknownRoute, "no route for %s%s", decoded.Host, decoded.Path)
	}
	j.route = route
	if err := g.checkKey(j, table, p); err != nil {
		return j, err
	}
	j.service = table.Services[routes.PickService(route, splitFraction(decoded))]
	j.deadline = decoded.Deadline(route.Timeout)
	limitWrites(w, j.deadline.Add(readGrace))
	if err := g.checkStop(j); err != nil {
		return j, err
	}
	j.maxBodyBytes = table.Limits.BodyBytes
	if j.Body, err = readBody(w, r, table.Limits.BodyBytes, j.deadline); err != nil {
		return j, err
	}
	if err := httpconn.Protect(r.Context()); err != nil {
		return j, verdict.Refuse(verdict.Canceled, "the connection of the caller was closed")
	}
	return j, g.checkQuota(r.Context(), j)
}
