package gateway

import (
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"ibisline/internal/policy/balance"
	"ibisline/internal/policy/congestion"
	"ibisline/internal/policy/pace"
	"ibisline/internal/policy/prefix"
	"ibisline/internal/policy/retrybudget"
	"ibisline/internal/servers"
	"ibisline/internal/structs"
)

// suspectDuration is how long a server is avoided after a failure. It covers a few health
// check intervals of the platform, which removes a dead server from its list.
const suspectDuration = time.Second

// maxErrorSuspectDuration limits how long a server is avoided after errors in a row: about as
// long as servers take to recover without being replaced.
const maxErrorSuspectDuration = 4 * time.Second

// tracker counts the in-flight requests of this daemon at each backend server and remembers
// which servers failed recently and which are leaving. It is safe for concurrent use.
type tracker struct {
	mu      sync.Mutex
	servers map[string]*serverState
	// hedges limits hedged requests, so that they cannot worsen an overload.
	hedges *retrybudget.Budget
	// baselines and groups hold how long responses take in general, and how much longer at the
	// servers of a service in a data centre.
	baselines map[workload]*congestion.Baseline
	groups    map[serverGroup]*congestion.Average
	// paces holds how fast the servers of each service produce events.
	paces map[string]*pace.Servers
	// sessions holds the servers that have read the prompts of sessions.
	sessions map[string]sessionServer
}

// sessionServer is the server that has read the prompt of a session last.
type sessionServer struct {
	name   string
	usedAt time.Time
}

const (
	// sessionMemory is the time for which the server of a session is remembered, and maxSessions limits
	// the sessions that are.
	sessionMemory = 20 * time.Second
	maxSessions   = 4096
)

// recordSession records that a server reads the prompt of a session.
func (t *tracker) recordSession(session, server string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.sessions) >= maxSessions {
		maps.DeleteFunc(t.sessions, func(_ string, s sessionServer) bool { return now.Sub(s.usedAt) > sessionMemory })
	}
	if _, known := t.sessions[session]; known || len(t.sessions) < maxSessions {
		t.sessions[session] = sessionServer{name: server, usedAt: now}
	}
}

// workload is what requests have in common that take similar times.
type workload struct {
	service string
	kind    structs.WorkKind
}

// serverGroup is the servers of a service in a data centre.
type serverGroup struct {
	service, dataCentre string
}

func groupOf(server structs.Server) serverGroup {
	return serverGroup{service: server.Service, dataCentre: server.DataCentre}
}

// serverState is the load and health of one server as seen by this daemon.
type serverState struct {
	inFlight     int
	suspectUntil time.Time
	// lastHead is the time at which the head of a response was received last.
	lastHead time.Time
	// ratios holds how much longer than usual its responses took recently.
	ratios congestion.Average
	// errors counts the responses with an error of the server itself, halved by each other
	// response.
	errors int
	// leavingRun is the start time of the run that says that it is leaving, and leavingSince
	// when it first did. The list of servers may still call that run ready; a run that has
	// started later is another one.
	leavingRun   int64
	leavingSince time.Time
	// listedAt is the time at which forgetGone last found the server listed, or first saw it.
	listedAt time.Time
}

// leaving reports whether a run of the server says that it is leaving.
func (s *serverState) leaving(server structs.Server) bool {
	return !s.leavingSince.IsZero() && s.leavingRun == server.StartedMS
}

func newTracker() *tracker {
	return &tracker{
		servers: map[string]*serverState{}, hedges: retrybudget.New(time.Now()),
		baselines: map[workload]*congestion.Baseline{}, groups: map[serverGroup]*congestion.Average{},
		paces: map[string]*pace.Servers{}, sessions: map[string]sessionServer{},
	}
}

// known returns the number of servers of which something is known.
func (t *tracker) known() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.servers)
}

// serverMemory is the time for which the state of a server that is not listed any more is kept: it may be listed
// again after an outage of the platform.
const serverMemory = time.Minute

// forgetGone drops what is known of servers that are gone.
func (t *tracker) forgetGone(listed func(name string) bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, state := range t.servers {
		if state.listedAt.IsZero() || listed(name) {
			state.listedAt = now
		}
		if state.inFlight == 0 && now.Sub(state.listedAt) >= serverMemory {
			delete(t.servers, name)
		}
	}
	for service, paces := range t.paces {
		if paces.Forget(now) {
			delete(t.paces, service)
		}
	}
	maps.DeleteFunc(t.sessions, func(_ string, s sessionServer) bool { return now.Sub(s.usedAt) > sessionMemory })
}

// stateOf returns the state of a server, creating it if needed. The caller holds mu.
func (t *tracker) stateOf(server string) *serverState {
	state := t.servers[server]
	if state == nil {
		state = &serverState{}
		t.servers[server] = state
	}
	return state
}

// pick chooses a server and counts the request as in flight there. The caller must call done
// when the request ends. pick may reorder candidates.
func (t *tracker) pick(
	candidates []structs.Server, from Config, affinity string, prompt promptParts, now time.Time,
) (structs.Server, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	candidates = slices.DeleteFunc(candidates, func(server structs.Server) bool { return !t.acceptsWork(server, now) })
	best := balance.Choose(t.rate(candidates, from, affinity, prompt, now))
	if best < 0 {
		return structs.Server{}, false
	}
	t.stateOf(candidates[best].Name).inFlight++
	t.hedges.RecordRequest()
	return candidates[best], true
}

// rate returns what is known of each candidate. The caller holds mu.
func (t *tracker) rate(
	candidates []structs.Server, from Config, affinity string, prompt promptParts, now time.Time,
) []balance.Candidate {
	keepers := keepersByDataCentre(prompt.shared, candidates)
	last := t.sessions[affinity]
	known := prompt.own.Tokens > 0 && now.Sub(last.usedAt) < sessionMemory &&
		slices.ContainsFunc(candidates, func(s structs.Server) bool { return s.Name == last.name })
	rated := make([]balance.Candidate, len(candidates))
	for i, server := range candidates {
		state := t.stateOf(server.Name)
		rated[i] = balance.Candidate{
			InFlight: float64(state.inFlight),
			Slots:    server.Slots,
			Distance: distance(from, server),
			Unlisted: server.State == structs.StateVanished || state.leaving(server),
			Suspect:  now.Before(state.suspectUntil),
			Pace:     t.paceOf(server, now),
			Affinity: hashFraction(xxhash.Sum64String(affinity + server.Name)),
		}
		if keepers != nil && !keepers[server.DataCentre][server.Name] {
			rated[i].Reading = prompt.shared.Cost()
		}
		switch {
		case known && server.Name == last.name:
			rated[i].Reading, rated[i].Affinity = 0, 0
		case known:
			rated[i].Reading += prompt.own.Cost()
		}
		if group := t.groups[groupOf(server)]; group != nil {
			rated[i].Congestion = congestion.Load(&state.ratios, group, now)
		}
	}
	return rated
}

// keepersByDataCentre returns the servers of each data centre that keep a part of a prompt, nil if the
// part is empty.
func keepersByDataCentre(shared prefix.Part, candidates []structs.Server) map[string]map[string]bool {
	if shared.ID == "" {
		return nil
	}
	names := map[string][]string{}
	for _, server := range candidates {
		names[server.DataCentre] = append(names[server.DataCentre], server.Name)
	}
	keepers := make(map[string]map[string]bool, len(names))
	for dataCentre, servers := range names {
		keepers[dataCentre] = prefix.Keepers(shared, servers)
	}
	return keepers
}

// paceOf returns how much slower than others a server works. The caller holds mu.
func (t *tracker) paceOf(server structs.Server, now time.Time) float64 {
	if paces := t.paces[server.Service]; paces != nil {
		return paces.Ratio(server.Name, now)
	}
	return 1
}

// recordPause records the pause between two events of a server.
func (t *tracker) recordPause(server structs.Server, pause time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	paces := t.paces[server.Service]
	if paces == nil {
		paces = pace.New()
		t.paces[server.Service] = paces
	}
	paces.Record(server.Name, pause, now)
}

// mayGetWork reports whether a server may still get requests, resumed ones included: it is not
// leaving, or not for longer than servers.LeavingLimit.
func (t *tracker) mayGetWork(server structs.Server, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.acceptsWork(server, now)
}

// acceptsWork is mayGetWork for callers that hold mu.
func (t *tracker) acceptsWork(server structs.Server, now time.Time) bool {
	if server.State == structs.StateLeaving && now.Sub(server.LeavingSince) >= servers.LeavingLimit {
		return false
	}
	state := t.stateOf(server.Name)
	return !state.leaving(server) || now.Sub(state.leavingSince) < servers.LeavingLimit
}

// distance returns the distance between a server and a location.
func distance(from Config, server structs.Server) balance.Distance {
	switch {
	case server.DataCentre == from.DataCentre:
		return balance.SameDataCentre
	case server.Region == from.Region:
		return balance.SameRegion
	default:
		return balance.OtherRegion
	}
}

// begin counts a request as in flight at a server that pick did not choose. The caller must
// call done when the request ends.
func (t *tracker) begin(server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stateOf(server).inFlight++
}

// spendHedge takes one request from the hedge budget, and returns false if it is spent.
func (t *tracker) spendHedge(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hedges.Spend(now)
}

// done ends the in-flight count of one request at a server.
func (t *tracker) done(server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stateOf(server).inFlight--
}

// markFailed makes pick avoid a server for suspectDuration.
func (t *tracker) markFailed(server string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stateOf(server).suspectUntil = now.Add(suspectDuration)
}

// recordTime records how long a server took to begin its response to a request of a kind.
func (t *tracker) recordTime(server structs.Server, kind structs.WorkKind, took time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	of := workload{service: server.Service, kind: kind}
	baseline := t.baselines[of]
	if baseline == nil {
		baseline = &congestion.Baseline{}
		t.baselines[of] = baseline
	}
	group := t.groups[groupOf(server)]
	if group == nil {
		group = &congestion.Average{}
		t.groups[groupOf(server)] = group
	}
	ratio := baseline.Ratio(took)
	group.Record(ratio, now)
	t.stateOf(server.Name).ratios.Record(ratio, now)
}

// recordHead records that the head of a response of a server was received.
func (t *tracker) recordHead(server string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stateOf(server).lastHead = now
}

// respondedSince reports whether the head of a response of a server was received since a time.
func (t *tracker) respondedSince(server string, since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.stateOf(server).lastHead.Before(since)
}

// markLeaving records that a run of a server says that it is leaving, and reports whether that
// is new.
func (t *tracker) markLeaving(server structs.Server, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.stateOf(server.Name)
	if state.leaving(server) || server.StartedMS < state.leavingRun {
		return false
	}
	state.leavingRun, state.leavingSince = server.StartedMS, now
	return true
}

// recordResponse records that a server has sent a whole response. A server that answers with
// errors of its own is avoided for longer each time: it is done sooner than others, and would
// otherwise look idle and attract requests, among them the retries of those that it has failed.
func (t *tracker) recordResponse(server string, status int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.stateOf(server)
	if isServerError(status) {
		avoid := min(suspectDuration<<min(state.errors, maxErrorShift), maxErrorSuspectDuration)
		state.errors++
		state.suspectUntil = now.Add(avoid)
		return
	}
	state.errors /= 2
	if state.errors == 0 {
		state.suspectUntil = time.Time{}
	}
}

// maxErrorShift keeps the doubled suspectDuration in range.
const maxErrorShift = 8

// isServerError reports whether a status means that the server itself has failed. It could not
// serve the request for now, or not in time, with the other statuses.
func isServerError(status int) bool {
	return status >= http.StatusInternalServerError &&
		status != http.StatusServiceUnavailable && status != http.StatusGatewayTimeout
}
