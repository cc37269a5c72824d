// Package pace finds the backend servers that lastingly work slower than others of their service, from
// the pauses between the events of their streams.
//
// The load pattern: a part of the servers runs at half of the speed of the others. With as many requests
// on each, programs on the slow ones miss their deadlines, and these servers are full while others
// have free slots. The times until responses begin show that only once there are queues. The pauses
// between events show it at any load, as servers produce as many tokens for each event.
//
// Short slow phases even out over Memory, so that servers of equal speed are treated alike.
package pace

import (
	"math"
	"slices"
	"time"
)

const (
	// memory is the time constant of the mean pause of a server: many times that of slow phases, which
	// last some hundred ms.
	memory = 15 * time.Second
	// minWeight is the number of recent pauses without which nothing is said about a server.
	minWeight = 20
	// slowRatio is the mean pause of a slow server in relation to the median of all.
	slowRatio = 1.4
	// maxRatio limits the weight of a slow server.
	maxRatio = 4
	// minServers is the number of servers without which there is no median.
	minServers = 3
	// refreshInterval is the interval at which the median is computed again.
	refreshInterval = 500 * time.Millisecond
)

// Servers holds the paces of the servers of one service. It is a state machine without a clock, and is
// not safe for concurrent use.
type Servers struct {
	means       map[string]*mean
	median      float64
	refreshedAt time.Time
}

// mean is the recent mean of the pauses of a server.
type mean struct {
	sum, weight float64
	updatedAt   time.Time
}

// New returns the paces of a service of whose servers nothing is known.
func New() *Servers { return &Servers{means: map[string]*mean{}} }

// Record includes a pause between two events of a server.
func (s *Servers) Record(server string, pause time.Duration, now time.Time) {
	m := s.means[server]
	if m == nil {
		m = &mean{}
		s.means[server] = m
	}
	m.decay(now)
	m.sum += pause.Seconds()
	m.weight++
}

func (m *mean) decay(now time.Time) {
	remaining := math.Exp(-max(now.Sub(m.updatedAt), 0).Seconds() / memory.Seconds())
	m.sum *= remaining
	m.weight *= remaining
	m.updatedAt = now
}

// Forget drops servers of which nothing was heard for long, and reports whether none is left.
func (s *Servers) Forget(now time.Time) bool {
	s.refresh(now)
	return len(s.means) == 0
}

// Ratio returns how much slower a server works than the median one, 1 if it does not lastingly.
func (s *Servers) Ratio(server string, now time.Time) float64 {
	m := s.means[server]
	if m == nil || m.weight < minWeight {
		return 1
	}
	if now.Sub(s.refreshedAt) >= refreshInterval {
		s.refresh(now)
	}
	if s.median <= 0 {
		return 1
	}
	ratio := m.sum / m.weight / s.median
	if ratio < slowRatio {
		return 1
	}
	return min(ratio, maxRatio)
}

// refresh computes the median and drops servers of which nothing was heard for long.
func (s *Servers) refresh(now time.Time) {
	s.refreshedAt, s.median = now, 0
	var known []float64
	for server, m := range s.means {
		m.decay(now)
		switch {
		case m.weight < 1:
			delete(s.means, server)
		case m.weight >= minWeight:
			known = append(known, m.sum/m.weight)
		}
	}
	if len(known) >= minServers {
		slices.Sort(known)
		s.median = known[len(known)/2]
	}
}
