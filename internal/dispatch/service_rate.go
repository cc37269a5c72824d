package dispatch

import "time"

const (
	// serviceRateWeight is the weight of one request in the moving means.
	serviceRateWeight = 0.1
	// deadlineSlackFactor is the ratio of estimated wait to remaining time above
	// which a request is refused.
	deadlineSlackFactor = 1.25
	// minRetryAfter is the shortest retry delay returned with a refusal.
	minRetryAfter = 500 * time.Millisecond
)

// serviceRate estimates how fast a backend server processes its queue, from the
// mean cost and duration of finished requests.
type serviceRate struct {
	meanCost     float64
	serviceNanos float64
	known        bool
}

// recordFinished records a finished request.
func (r *serviceRate) recordFinished(cost float64, service time.Duration) {
	if !r.known {
		r.meanCost, r.serviceNanos, r.known = cost, float64(service), true
		return
	}
	r.meanCost += serviceRateWeight * (cost - r.meanCost)
	r.serviceNanos += serviceRateWeight * (float64(service) - r.serviceNanos)
}

// expectedWait is the time that a server with the given number of slots takes to
// admit requests of the given total cost. It is 0 before the first finished
// request.
func (r *serviceRate) expectedWait(costAhead float64, slots int) time.Duration {
	if !r.known || r.meanCost <= 0 {
		return 0
	}
	requests := costAhead / r.meanCost
	return time.Duration(requests * r.serviceNanos / float64(max(slots, 1)))
}

func (r *serviceRate) meanService() time.Duration { return time.Duration(r.serviceNanos) }
