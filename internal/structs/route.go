package structs

import "time"

// WorkKind is the execution guarantee of a request.
type WorkKind uint8

// Values of WorkKind.
const (
	// AtMostOnce requests must not run twice.
	AtMostOnce WorkKind = iota
	// Repeatable requests may run any number of times.
	Repeatable
	// Stream requests are answered with a stream of events. They run at most once
	// unless their route is resumable.
	Stream
)

// String returns the name used in logs and metrics.
func (k WorkKind) String() string {
	switch k {
	case Repeatable:
		return "repeatable"
	case Stream:
		return "stream"
	default:
		return "at_most_once"
	}
}

// Route maps requests with a host and a path prefix to the services that serve them.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       WorkKind
	Targets    []Target
	// Timeout bounds the time for which a caller waits for its answer.
	Timeout time.Duration
	// Objective is the latency objective of an answer, or of the first event of a
	// stream. GapObjective is the objective for the longest pause between two events.
	Objective    time.Duration
	GapObjective time.Duration
	// MaxServers bounds the number of backend servers to which one request is sent.
	MaxServers int
	// Priority is the priority of the requests; 0 is the highest.
	Priority int
	// Resumable streams may continue at another backend server after a connection
	// failure.
	Resumable bool
	// Retention is the time for which the budget of a program is retained after its last
	// request, and a turn after its response.
	Retention time.Duration
	// PrefersAffinity is set if servers are faster with an object that they have handled recently.
	PrefersAffinity bool
	// Public is set if requests need no key.
	Public bool
	// KeepsTurns is set if a turn carries its new input only and names the turn that it continues.
	KeepsTurns bool
}

// Target is a service and its relative weight among the targets of a route.
type Target struct {
	Service string
	Weight  int
}

// Service describes a pool of backend servers.
type Service struct {
	Name string
	// MaxConnections bounds the connections that one backend server accepts
	// from all callers together.
	MaxConnections int
	// TokensPerEvent is the number of tokens that an event of a stream carries;
	// 0 for a plain service.
	TokensPerEvent int
	// Batch is the number of requests that an engine processes concurrently.
	Batch int
}

// CallerLimits bounds the size of requests and the time that a caller may take to
// send them.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// RouteTable is one version of all routes and services. Versions increase.
type RouteTable struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   CallerLimits
	// RequiresKeys is set if requests on routes that are not public need the key of one of Teams.
	RequiresKeys bool
	Teams        []Team
}
