package gossip

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Targets returns the daemons that this one probes, sorted by name.
//
// The daemons stand on a ring in the order of the hash of their names. Each
// probes the next few, so that each is probed by as many, and some at far points
// of its own, so that news crosses a large fleet in few steps. A change of the
// fleet moves only the targets beside it.
func (m *Machine) Targets() []string {
	if m.targets != nil {
		return m.targets
	}
	old := m.probed
	m.targets = m.chooseTargets()
	m.probed = map[string]bool{}
	for _, name := range m.targets {
		m.probed[name] = true
		if !old[name] {
			// Nobody here has probed it yet; its silence starts now.
			m.clear(m.members[name], m.ticked)
		}
	}
	return m.targets
}

// chooseTargets picks the targets from the ring.
func (m *Machine) chooseTargets() []string {
	ring := m.ring()
	self := m.self.Instance.Name
	me := slices.IndexFunc(ring, func(p place) bool { return p.name == self })
	count := min(m.config.Fanout, len(ring)-1)
	near := (m.config.Fanout + 1) / 2
	chosen := make([]string, 0, count)
	for step := 1; step <= min(near, count); step++ {
		chosen = append(chosen, ring[(me+step)%len(ring)].name)
	}
	for salt := 0; len(chosen) < count; salt++ {
		point := xxhash.Sum64String(self + "/" + strconv.Itoa(salt))
		chosen = append(chosen, firstFree(ring, point, self, chosen))
	}
	slices.Sort(chosen)
	return chosen
}

// place is a daemon's place on the ring.
type place struct {
	hash uint64
	name string
}

// ring returns the places of self and of the daemons that are alive or
// suspected, in order.
func (m *Machine) ring() []place {
	ring := make([]place, 0, len(m.members))
	for name, member := range m.members {
		if member == m.self || member.Status == Alive || member.Status == Suspect {
			ring = append(ring, place{hash: xxhash.Sum64String(name), name: name})
		}
	}
	slices.SortFunc(ring, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
	})
	return ring
}

// firstFree returns the first daemon at or after point that is neither self nor
// chosen already. The ring must have one.
func firstFree(ring []place, point uint64, self string, chosen []string) string {
	start, _ := slices.BinarySearchFunc(ring, point, func(p place, h uint64) int { return cmp.Compare(p.hash, h) })
	for i := range ring {
		name := ring[(start+i)%len(ring)].name
		if name != self && !slices.Contains(chosen, name) {
			return name
		}
	}
	return ""
}
