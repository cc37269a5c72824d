package gossip

import (
	"math/bits"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// maxRumorsPerMessage bounds the number of rumors in one message.
const maxRumorsPerMessage = 24

// rumorQueue holds the rumors that still have to be sent, by the name of the daemon
// that they describe.
type rumorQueue map[string]*queuedRumor

// queuedRumor is a rumor and the number of messages that have carried it.
type queuedRumor struct {
	rumor Rumor
	sent  int
}

// add queues a rumor and replaces an older one about the same daemon.
func (q rumorQueue) add(r Rumor) { q[r.Name] = &queuedRumor{rumor: r} }

// take returns the rumors for the next message, the least often sent first, and
// drops those that limit messages have carried.
func (q rumorQueue) take(limit int) []Rumor {
	if len(q) == 0 {
		return nil
	}
	waiting := make([]*queuedRumor, 0, len(q))
	for _, item := range q {
		waiting = append(waiting, item)
	}
	sort.Slice(waiting, func(i, j int) bool {
		if waiting[i].sent != waiting[j].sent {
			return waiting[i].sent < waiting[j].sent
		}
		return waiting[i].rumor.Name < waiting[j].rumor.Name
	})
	waiting = waiting[:min(len(waiting), maxRumorsPerMessage)]
	rumors := make([]Rumor, 0, len(waiting))
	for _, item := range waiting {
		rumors = append(rumors, item.rumor)
		item.sent++
		if item.sent >= limit {
			delete(q, item.rumor.Name)
		}
	}
	return rumors
}

// RumorsFor returns the rumors for a message to a daemon. If that daemon itself is
// suspected or dead, every message to it includes that rumor, since only the daemon
// itself can refute it.
func (m *Machine) RumorsFor(to string) []Rumor {
	rumors := m.rumors.take(m.transmitLimit())
	member, known := m.members[to]
	if !known || (member.Status != Suspect && member.Status != Dead) {
		return rumors
	}
	for _, r := range rumors {
		if r.Name == to {
			return rumors
		}
	}
	return append(rumors, m.rumor(member))
}

// transmitLimit is the number of messages that carry a rumor: one in each direction
// of each link, and more in proportion to the logarithm of the fleet size, since a
// rumor needs more hops in a large fleet.
func (m *Machine) transmitLimit() int {
	return 2*m.config.Fanout + 2*bits.Len(uint(len(m.members)))
}

// HasUnsentRumors is true while there are rumors that no message has carried yet.
func (m *Machine) HasUnsentRumors() bool {
	for _, item := range m.rumors {
		if item.sent == 0 {
			return true
		}
	}
	return false
}

// AllRumors returns rumors about all daemons, for a full synchronisation with a
// daemon that has just started or whose digest differs.
func (m *Machine) AllRumors() []Rumor {
	all := make([]Rumor, 0, len(m.members))
	for _, member := range m.Members() {
		r := m.rumor(&member)
		instance := member.Instance
		r.Instance = &instance
		all = append(all, r)
	}
	return all
}

// cachedDigest is the result of computeDigest at a version of the machine.
type cachedDigest struct {
	version uint64
	sum     uint64
}

// Digest returns a hash of the names and incarnations of the live and leaving
// daemons. If the digests of two daemons stay different, one of them has missed a
// change.
func (m *Machine) Digest() uint64 {
	if m.digest.version != m.version {
		m.digest = cachedDigest{version: m.version, sum: m.computeDigest()}
	}
	return m.digest.sum
}

// computeDigest adds the hashes of the members, so that the result does not depend
// on their order. Suspect counts as alive, because a suspicion is always temporary.
func (m *Machine) computeDigest() uint64 {
	var sum uint64
	for name, member := range m.members {
		if member.Status == Dead {
			continue
		}
		hash := xxhash.Sum64String(name) ^ member.Incarnation*incarnationMixPrime
		if member.Status == Leaving {
			hash = ^hash
		}
		sum += hash
	}
	return sum
}

// incarnationMixPrime spreads the bits of an incarnation over the whole hash.
const incarnationMixPrime = 0x9E3779B185EBCA87

// SelfRumor returns a rumor with the state of this daemon.
func (m *Machine) SelfRumor() Rumor { return m.rumor(m.self) }
