// Package balance chooses the backend server for a request among the servers of
// its service. It is meant for many short requests that arrive at several daemons
// at once. A daemon has exact counts only of its own requests; the load that other daemons
// cause comes from estimates. Nearby servers are preferred unless they are much busier than
// remote ones.
package balance

// Distance is the network distance class of a server.
type Distance uint8

const (
	SameDataCentre Distance = iota
	SameRegion
	OtherRegion
)

// Cost penalties, in requests in flight. A remote server is chosen only when the
// nearer ones have at least this many more requests in flight.
const (
	regionPenalty      = 1.0
	otherRegionPenalty = 4.0
	// A server that is no longer listed is used only when no listed one is
	// available, and a server that failed recently only as a last resort.
	unlistedPenalty = 100.0
	suspectPenalty  = 1000.0
)

// Candidate is a server to which a request may be sent.
type Candidate struct {
	// InFlight is the known number of requests in flight at the server.
	InFlight float64
	// Congestion is the load of the server that InFlight does not show, in requests in flight; 0 if
	// none is known.
	Congestion float64
	// Pace is how much longer than usual the server takes for any request, 1 for as long; 0 means 1.
	Pace float64
	// Reading is the cost of reading a part of the prompt that the server does not keep, in requests in
	// flight.
	Reading float64
	// Slots is the number of requests that the server processes concurrently.
	Slots    int
	Distance Distance
	// Suspect is set for some time after a failure. Unlisted is set when the
	// server is no longer listed.
	Suspect  bool
	Unlisted bool
	// Affinity is a number from 0 to 1 that is the same for all requests of a
	// session or about one object. It breaks ties, so that these stay on the same server.
	Affinity float64
}

// Choose returns the index of the candidate with the lowest cost, or -1 if there
// are no candidates.
func Choose(candidates []Candidate) int {
	best := -1
	var lowest float64
	for i, c := range candidates {
		cost := c.Cost()
		if best < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

// Cost returns the cost of a candidate in requests in flight; lower is better.
func (c Candidate) Cost() float64 {
	cost := c.InFlight + c.Congestion + c.Affinity + c.Reading
	if c.Pace > 0 {
		cost *= c.Pace
	}
	switch c.Distance {
	case SameRegion:
		cost += regionPenalty
	case OtherRegion:
		cost += otherRegionPenalty
	}
	if c.Unlisted {
		cost += unlistedPenalty
	}
	if c.Suspect {
		cost += suspectPenalty
	}
	return cost
}
