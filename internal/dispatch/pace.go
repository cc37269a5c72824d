package dispatch

import "time"

const (
	// paceWeight is the weight of one request in the means of a pace.
	paceWeight = 0.1
	// lateSlack is how far an estimated wait may exceed the time left.
	lateSlack = 1.25
	// minRetryAfter is the shortest wait that a refused caller is told.
	minRetryAfter = 500 * time.Millisecond
)

// pace estimates how fast a backend server works its queue off, from the mean
// cost and duration of finished requests.
type pace struct {
	cost    float64
	service float64
	known   bool
}

// finished records a request.
func (p *pace) finished(cost float64, service time.Duration) {
	if !p.known {
		p.cost, p.service, p.known = cost, float64(service), true
		return
	}
	p.cost += paceWeight * (cost - p.cost)
	p.service += paceWeight * (float64(service) - p.service)
}

// wait is the time in which a server with so many slots grants the given cost;
// 0 while nothing is known.
func (p *pace) wait(ahead float64, slots int) time.Duration {
	if !p.known || p.cost <= 0 {
		return 0
	}
	requests := ahead / p.cost
	return time.Duration(requests * p.service / float64(max(slots, 1)))
}

func (p *pace) meanService() time.Duration { return time.Duration(p.service) }
