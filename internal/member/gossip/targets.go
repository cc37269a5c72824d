package gossip

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Targets returns the daemons that this one probes, sorted by name.
//
// The daemons form a ring in the order of the hashes of their names. Each daemon
// probes its next few successors, so that each is probed by as many predecessors,
// and a few at pseudo-random points, so that rumors cross a large fleet in few hops.
// A change of the fleet moves only the targets next to it on the ring.
func (m *Machine) Targets() []string {
	if m.targets != nil {
		return m.targets
	}
	previous := m.lastTargets
	m.targets = m.chooseTargets()
	m.lastTargets = map[string]bool{}
	for _, name := range m.targets {
		m.lastTargets[name] = true
		if !previous[name] {
			// This daemon has not probed it yet; the silence timer starts now.
			m.clearEvidence(m.members[name], m.lastTick)
		}
	}
	return m.targets
}

// chooseTargets selects the targets from the ring, sorted by name.
func (m *Machine) chooseTargets() []string {
	ring := m.ring()
	self := m.self.Instance.Name
	selfIndex := slices.IndexFunc(ring, func(n ringNode) bool { return n.name == self })
	count := min(m.config.Fanout, len(ring)-1)
	successors := (m.config.Fanout + 1) / 2
	chosen := make([]string, 0, count)
	for step := 1; step <= min(successors, count); step++ {
		chosen = append(chosen, ring[(selfIndex+step)%len(ring)].name)
	}
	for salt := 0; len(chosen) < count; salt++ {
		point := xxhash.Sum64String(self + "/" + strconv.Itoa(salt))
		chosen = append(chosen, firstUnchosen(ring, point, self, chosen))
	}
	slices.Sort(chosen)
	return chosen
}

// ringNode is a daemon's position on the ring.
type ringNode struct {
	hash uint64
	name string
}

// ring returns the positions of self and of the alive and suspected daemons, sorted
// by hash.
func (m *Machine) ring() []ringNode {
	ring := make([]ringNode, 0, len(m.members))
	for name, member := range m.members {
		if member == m.self || member.Status == Alive || member.Status == Suspect {
			ring = append(ring, ringNode{hash: xxhash.Sum64String(name), name: name})
		}
	}
	slices.SortFunc(ring, func(a, b ringNode) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
	})
	return ring
}

// firstUnchosen returns the first daemon at or after point that is neither self nor
// already chosen. The ring must have one.
func firstUnchosen(ring []ringNode, point uint64, self string, chosen []string) string {
	start, _ := slices.BinarySearchFunc(ring, point, func(n ringNode, h uint64) int { return cmp.Compare(n.hash, h) })
	for i := range ring {
		name := ring[(start+i)%len(ring)].name
		if name != self && !slices.Contains(chosen, name) {
			return name
		}
	}
	return ""
}
