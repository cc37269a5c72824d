package gossip

import (
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Targets returns the daemons that this one probes, sorted by name. The daemons
// stand on a ring in the order of the hash of their names, and each probes those
// at the same distances from itself: so each is probed by as many as it probes,
// and news crosses the fleet in few steps because the distances grow
// geometrically.
func (m *Machine) Targets() []string {
	if m.targets != nil {
		return m.targets
	}
	ring := m.ring()
	me := slices.Index(ring, m.self.Instance.Name)
	m.targets = []string{}
	for _, distance := range distances(len(ring), m.config.Fanout) {
		m.targets = append(m.targets, ring[(me+distance)%len(ring)])
	}
	slices.Sort(m.targets)
	return m.targets
}

// ring returns the daemons that are alive or suspected, and self, in the order
// of the hash of their names.
func (m *Machine) ring() []string {
	var names []string
	for name, member := range m.members {
		if member == m.self || member.Status == Alive || member.Status == Suspect {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		ha, hb := xxhash.Sum64String(a), xxhash.Sum64String(b)
		if ha != hb {
			if ha < hb {
				return -1
			}
			return 1
		}
		return strings.Compare(a, b)
	})
	return names
}

// distances returns up to fanout different distances on a ring of size places:
// all of them if they are few, else growing geometrically from 1.
func distances(size, fanout int) []int {
	others := size - 1
	count := min(fanout, others)
	steps := make([]int, 0, max(count, 0))
	last := 0
	for i := range count {
		grown := int(math.Pow(float64(size), float64(i)/float64(fanout)))
		// Enough room must be left for the distances that follow.
		last = min(max(grown, last+1), others-(count-1-i))
		steps = append(steps, last)
	}
	return steps
}
