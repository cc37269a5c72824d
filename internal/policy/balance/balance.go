// Package balance chooses the backend server for a request among those of its
// service. It answers the load of many short requests that arrive at several
// daemons at once: each daemon knows its own requests exactly, those of the others
// only from their reports, and prefers near servers as long as they are not much
// busier than far ones.
package balance

// Distance says how far away a server is.
type Distance uint8

// Distances.
const (
	SameDataCentre Distance = iota
	SameRegion
	OtherRegion
)

// Penalties of the distance, in requests under way: a far server is chosen when a
// near one has so many more.
const (
	regionPenalty      = 1.0
	otherRegionPenalty = 4.0
	// doubtfulPenalty keeps requests away from a server that is no longer listed,
	// and suspectPenalty even more from one that failed a moment ago.
	doubtfulPenalty = 100.0
	suspectPenalty  = 1000.0
)

// Candidate is a server that may get a request.
type Candidate struct {
	// UnderWay is the number of requests under way there, as far as known.
	UnderWay float64
	// Slots is the number of requests that it works on at once.
	Slots    int
	Distance Distance
	// Suspect is set for a while after a failure, Doubtful when the server is no
	// longer listed.
	Suspect  bool
	Doubtful bool
	// Affinity is a number from 0 to 1 that is the same for requests of one
	// session; it decides among equals, so that a session stays at a server.
	Affinity float64
}

// Choose returns the index of the best candidate, -1 if there is none.
func Choose(candidates []Candidate) int {
	best := -1
	var lowest float64
	for i, c := range candidates {
		cost := c.cost()
		if best < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

// cost rates a candidate in requests under way; lower is better.
func (c Candidate) cost() float64 {
	cost := c.UnderWay + c.Affinity
	switch c.Distance {
	case SameRegion:
		cost += regionPenalty
	case OtherRegion:
		cost += otherRegionPenalty
	}
	if c.Doubtful {
		cost += doubtfulPenalty
	}
	if c.Suspect {
		cost += suspectPenalty
	}
	return cost
}
