package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"ibisline/internal/policy/shedding"
	"ibisline/internal/verdict"
)

// admission decides which programs are served by the services of which servers name limits. It is
// safe for concurrent use.
type admission struct {
	mu         sync.Mutex
	thresholds map[string]*shedding.Threshold
}

func newAdmission() *admission { return &admission{thresholds: map[string]*shedding.Threshold{}} }

// threshold returns the threshold of a service. The caller holds mu.
func (a *admission) threshold(service string, now time.Time) *shedding.Threshold {
	known := a.thresholds[service]
	if known == nil {
		known = shedding.New(now)
		a.thresholds[service] = known
	}
	return known
}

// admit reports whether a request is admitted to its service, and otherwise the time after which it
// may be.
func (a *admission) admit(j *job, now time.Time) (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.threshold(j.service.Name, now).Admit(admissionRank(j), now)
}

// recordDenial records that an admitted request was denied.
func (a *admission) recordDenial(service string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.threshold(service, now).RecordDenial(now)
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

// inNeed reports whether a server of the request's service names a limit.
func (g *Gateway) inNeed(j *job) bool {
	return slices.ContainsFunc(g.Servers.ForService(j.service.Name), g.Limits.Limited)
}

// recordDenial records that an admitted request found no server in time, if its service is in need.
func (g *Gateway) recordDenial(j *job) {
	if g.inNeed(j) {
		g.admission.recordDenial(j.service.Name, time.Now())
	}
}

// checkAdmission returns an error if a server of the request's service names a limit and the program
// of the request is not admitted to the service.
func (g *Gateway) checkAdmission(j *job) error {
	if j.mayHaveRun() || !g.inNeed(j) {
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
