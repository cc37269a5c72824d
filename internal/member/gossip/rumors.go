package gossip

import (
	"math/bits"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// maxRumors bounds the reports in one message.
const maxRumors = 24

// rumorQueue holds the reports that still have to be passed on, by daemon.
type rumorQueue map[string]*queued

// queued is a report and the number of messages that carried it.
type queued struct {
	rumor Rumor
	sent  int
}

// add queues a report in place of an older one about the same daemon.
func (q rumorQueue) add(r Rumor) { q[r.Name] = &queued{rumor: r} }

// take returns the reports to pass on now, those carried least often first, and
// drops those that limit messages have carried.
func (q rumorQueue) take(limit int) []Rumor {
	if len(q) == 0 {
		return nil
	}
	waiting := make([]*queued, 0, len(q))
	for _, item := range q {
		waiting = append(waiting, item)
	}
	sort.Slice(waiting, func(i, j int) bool {
		if waiting[i].sent != waiting[j].sent {
			return waiting[i].sent < waiting[j].sent
		}
		return waiting[i].rumor.Name < waiting[j].rumor.Name
	})
	waiting = waiting[:min(len(waiting), maxRumors)]
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

// Outgoing returns the reports for a message to a daemon. If that daemon itself
// is suspected or dead here it is told so in every message, since it alone can
// refute that.
func (m *Machine) Outgoing(to string) []Rumor {
	rumors := m.rumors.take(m.carriers())
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

// carriers is the number of messages that carry a report: each link carries it
// in both directions, and again as often as a large fleet has more steps.
func (m *Machine) carriers() int {
	return 2*m.config.Fanout + 2*bits.Len(uint(len(m.members)))
}

// News is true while there are reports that no message has carried yet.
func (m *Machine) News() bool {
	for _, item := range m.rumors {
		if item.sent == 0 {
			return true
		}
	}
	return false
}

// Everything returns reports about all daemons, for one that starts or whose
// digest differs.
func (m *Machine) Everything() []Rumor {
	all := make([]Rumor, 0, len(m.members))
	for _, member := range m.Members() {
		full := m.rumor(&member)
		instance := member.Instance
		full.Instance = &instance
		all = append(all, full)
	}
	return all
}

// digest is the cached result of Digest.
type digest struct {
	version uint64
	sum     uint64
}

// Digest sums up which daemons are live or leaving with which incarnation. Two
// daemons whose digests stay different have missed news.
func (m *Machine) Digest() uint64 {
	if m.digest.version != m.version {
		m.digest = digest{version: m.version, sum: m.sum()}
	}
	return m.digest.sum
}

// sum adds the members up, so that their order does not matter. A suspicion
// passes by itself and counts as alive.
func (m *Machine) sum() uint64 {
	var sum uint64
	for name, member := range m.members {
		if member.Status == Dead {
			continue
		}
		state := xxhash.Sum64String(name) ^ member.Incarnation*mixPrime
		if member.Status == Leaving {
			state = ^state
		}
		sum += state
	}
	return sum
}

// mixPrime spreads the bits of an incarnation.
const mixPrime = 0x9E3779B185EBCA87

// Introduction returns the report of this daemon about itself.
func (m *Machine) Introduction() Rumor { return m.rumor(m.self) }
