package structs

import "time"

// WorkKind says how often a request may run.
type WorkKind uint8

// Kinds of work.
const (
	// AtMostOnce requests must not run twice.
	AtMostOnce WorkKind = iota
	// Repeatable requests may run any number of times.
	Repeatable
	// Stream requests are answered by a stream of events. They run at most once
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

// Route maps the requests to a host and path prefix to the services that serve
// them.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       WorkKind
	Targets    []Target
	// Timeout is the longest time for which a caller may be kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer (of a stream: its first
	// event) is on time, GapObjective the longest pause between two events.
	Objective    time.Duration
	GapObjective time.Duration
	// MaxServers bounds the backend servers to which one request is sent.
	MaxServers int
	// Priority is the rank of the requests; 0 is the highest.
	Priority int
	// Resumable streams may go on at another backend server after a break.
	Resumable bool
	// BudgetLifetime is the time for which the budget of a program is
	// remembered after its last request.
	BudgetLifetime time.Duration
}

// Target is a service and its share of a route's requests.
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
	// Batch is the number of requests that an engine computes at once.
	Batch int
}

// CallerLimits bound what a caller may send and how long it may take.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// RouteTable is one version of all routes and services. Versions rise.
type RouteTable struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   CallerLimits
}
