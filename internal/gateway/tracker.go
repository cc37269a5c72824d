package gateway

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"ibisline/internal/policy/balance"
	"ibisline/internal/policy/retrybudget"
	"ibisline/internal/structs"
)

// suspectTime is how long a server is avoided after a failure: a few health
// intervals of the platform's list, which removes a dead one.
const suspectTime = time.Second

// tracker counts the requests of this daemon at each backend server and remembers
// which of them failed lately. It is safe for concurrent use.
type tracker struct {
	mu    sync.Mutex
	loads map[string]*load
	// hedges bounds the requests that are sent twice, so that they cannot add to
	// an overload.
	hedges *retrybudget.Budget
}

// load is what is known of one server.
type load struct {
	underWay     int
	suspectUntil time.Time
}

func newTracker() *tracker {
	return &tracker{loads: map[string]*load{}, hedges: retrybudget.New(time.Now())}
}

// of returns the record of a server. The caller holds mu.
func (t *tracker) of(server string) *load {
	known := t.loads[server]
	if known == nil {
		known = &load{}
		t.loads[server] = known
	}
	return known
}

// pick chooses a server and counts the request there; done must be called.
func (t *tracker) pick(candidates []structs.Server, from Config, session string, now time.Time) (structs.Server, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rated := make([]balance.Candidate, len(candidates))
	for i, server := range candidates {
		known := t.of(server.Name)
		rated[i] = balance.Candidate{
			InFlight: float64(known.underWay),
			Slots:    server.Slots,
			Distance: distance(from, server),
			Unlisted: server.State == structs.StateVanished,
			Suspect:  now.Before(known.suspectUntil),
			Affinity: unit(xxhash.Sum64String(session + server.Name)),
		}
	}
	best := balance.Choose(rated)
	if best < 0 {
		return structs.Server{}, false
	}
	t.of(candidates[best].Name).underWay++
	t.hedges.RecordRequest()
	return candidates[best], true
}

// distance says how far a server is from a place.
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

// begin counts a request at a server that was chosen otherwise; done must be called.
func (t *tracker) begin(server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.of(server).underWay++
}

// mayHedge takes one request out of the budget of those that are sent twice.
func (t *tracker) mayHedge(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hedges.Spend(now)
}

// done ends a request at a server.
func (t *tracker) done(server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.of(server).underWay--
}

// failed keeps requests away from a server for a while.
func (t *tracker) failed(server string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.of(server).suspectUntil = now.Add(suspectTime)
}

// answered notes that a server works.
func (t *tracker) answered(server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.of(server).suspectUntil = time.Time{}
}
