package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"ibisline/internal/policy/allotment"
	"ibisline/internal/policy/shedding"
	"ibisline/internal/verdict"
)

// admission decides which programs are served by services whose servers take fewer requests than are
// asked for. It is safe for concurrent use.
type admission struct {
	mu       sync.Mutex
	services map[string]*serviceAdmission
}

// serviceAdmission decides for one service.
type serviceAdmission struct {
	// threshold is the fraction of all programs that is served, and allotment divides it between teams.
	threshold *shedding.Threshold
	allotment *allotment.Allotment
}

func newAdmission() *admission { return &admission{services: map[string]*serviceAdmission{}} }

// service returns the state of a service. The caller holds mu.
func (a *admission) service(name string, now time.Time) *serviceAdmission {
	known := a.services[name]
	if known == nil {
		known = &serviceAdmission{threshold: shedding.New(now), allotment: allotment.New()}
		a.services[name] = known
	}
	return known
}

// admit reports whether a request is admitted to its service, and otherwise the time after which it
// may be.
func (a *admission) admit(j *job, now time.Time) (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.service(j.service.Name, now)
	total := s.threshold.Fraction(now)
	fraction := total
	if j.team != nil {
		fraction = s.allotment.Fraction(groupOfTeam(j), total, now)
	}
	return shedding.Admit(admissionRank(j), fraction)
}

// recordDemand counts a request of a team, whether it is admitted or not.
func (a *admission) recordDemand(j *job, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.service(j.service.Name, now).allotment.Record(groupOfTeam(j), now)
}

// recordDenial records that an admitted request was denied.
func (a *admission) recordDenial(service string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.service(service, now).threshold.RecordDenial(now)
}

// groupOfTeam returns the requests with which a request of a team shares an allotment.
func groupOfTeam(j *job) allotment.Group {
	return allotment.Group{
		Priority: allotment.Priority{Team: j.team.Priority, Route: j.route.Priority}, Team: j.team.Name,
	}
}

// admissionRank returns a number from 0 to 1 that is the same for all requests of a program. It is
// independent of the one that selects the target of a split route.
func admissionRank(j *job) float64 {
	key := j.scoped(j.Program)
	if key == "" {
		key = j.ID
	}
	return hashFraction(xxhash.Sum64String("admission/" + key))
}

// limited reports whether a server of the request's service names a limit.
func (g *Gateway) limited(j *job) bool {
	return slices.ContainsFunc(g.Servers.ForService(j.service.Name), g.Limits.Limited)
}

// recordDenial records that an admitted request found no server in time, if programs are admitted to its
// service whole: where a server names a limit, and where teams compete for servers that have rejected it.
func (g *Gateway) recordDenial(j *job) {
	if (j.team != nil && j.rejected()) || g.limited(j) {
		g.admission.recordDenial(j.service.Name, time.Now())
	}
}

// recordDelay records that an admitted request waited for its server beyond its objective. Only servers
// that name limits take that for a shortage: others are late for many reasons and still serve.
func (g *Gateway) recordDelay(j *job) {
	if g.limited(j) {
		g.admission.recordDenial(j.service.Name, time.Now())
	}
}

// checkAdmission returns an error if the servers of the request's service take fewer requests than are
// asked for and the program of the request is not admitted.
func (g *Gateway) checkAdmission(j *job) error {
	if j.mayHaveRun() || (j.team == nil && !g.limited(j)) {
		// A request that has begun is not given up halfway.
		return nil
	}
	retryIn, admitted := g.admission.admit(j, time.Now())
	if admitted {
		return nil
	}
	return verdict.Refuse(verdict.LimitReached, "the servers of %s are at their limits", j.service.Name).
		RetryIn(max(retryIn, noServerRetryAfter))
}
