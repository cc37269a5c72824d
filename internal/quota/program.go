package quota

import (
	"maps"
	"time"
)

// Program is what quotas know of the program of a request.
type Program struct {
	// Rank is a number from 0 to 1 that is the same for all requests of the program.
	Rank float64
	// Begun is set if the request shows that it is not the first one of its program.
	Begun bool
}

// programSet holds programs by their ranks, with the time of their last requests.
type programSet map[float64]time.Time

// add records a request of a program.
func (s programSet) add(rank float64, now time.Time) {
	if _, known := s[rank]; !known && len(s) >= maxPrograms {
		maps.DeleteFunc(s, func(_ float64, at time.Time) bool { return now.Sub(at) > programMemory })
		if len(s) >= maxPrograms {
			return
		}
	}
	s[rank] = now
}

// has reports whether a program has had requests lately.
func (s programSet) has(rank float64, now time.Time) bool {
	at, known := s[rank]
	return known && now.Sub(at) <= programMemory
}
