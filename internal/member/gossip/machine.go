package gossip

import (
	"math/rand/v2"
	"sort"
	"time"

	"ibisline/internal/structs"
)

// Machine is the state of one daemon's membership. It is not safe for
// concurrent use.
type Machine struct {
	config  Config
	random  *rand.Rand
	self    *Member
	members map[string]*Member // with self
	rumors  rumorQueue
	targets []string
	probed  map[string]bool // targets as last chosen

	ticked  time.Time
	reached time.Time // last attempt to reach a dead daemon
	contact time.Time // last time at which anybody answered
	started uint64    // incarnation of this start
	deposed bool
	version uint64
	digest  digest
}

// New returns a machine that knows only self. Incarnation must be higher than
// that of earlier starts, such as the time in milliseconds.
func New(config Config, self structs.Instance, incarnation uint64, random *rand.Rand, now time.Time) *Machine {
	me := &Member{Instance: self, Incarnation: incarnation, Since: now}
	m := &Machine{
		config:  config,
		random:  random,
		self:    me,
		members: map[string]*Member{self.Name: me},
		rumors:  rumorQueue{},
		ticked:  now,
		contact: now,
		started: incarnation,
	}
	m.announce()
	return m
}

// announce spreads the daemon's own state.
func (m *Machine) announce() {
	m.touch()
	m.rumors.add(m.rumor(m.self))
}

// touch notes a change that readers see.
func (m *Machine) touch() { m.version++ }

// Version rises with every change of Live or Lookup.
func (m *Machine) Version() uint64 { return m.version }

// Incarnation returns the daemon's own incarnation.
func (m *Machine) Incarnation() uint64 { return m.self.Incarnation }

// rumor returns the report that describes a member.
func (m *Machine) rumor(member *Member) Rumor {
	r := Rumor{Name: member.Instance.Name, Status: member.Status, Incarnation: member.Incarnation}
	if member.Status == Alive || member.Status == Leaving {
		instance := member.Instance
		r.Instance = &instance
	}
	return r
}

// Live returns the daemons taken to be alive, sorted by name. The daemon itself
// is left out once it leaves or learned that the others cannot reach it.
func (m *Machine) Live() []structs.Instance {
	var live []structs.Instance
	for _, member := range m.members {
		if member.Status == Alive || member.Status == Suspect {
			if member != m.self || !m.deposed {
				live = append(live, member.Instance)
			}
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Name < live[j].Name })
	return live
}

// Member returns what is known of a daemon.
func (m *Machine) Member(name string) (Member, bool) {
	member, ok := m.members[name]
	if !ok {
		return Member{}, false
	}
	return *member, true
}

// Members returns what is known of all daemons, sorted by name.
func (m *Machine) Members() []Member {
	all := make([]Member, 0, len(m.members))
	for _, member := range m.members {
		all = append(all, *member)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Instance.Name < all[j].Instance.Name })
	return all
}

// Leave announces that the daemon leaves.
func (m *Machine) Leave(now time.Time) {
	if m.self.Status == Leaving {
		return
	}
	m.self.Incarnation++
	m.self.Instance.State = structs.StateLeaving
	m.set(m.self, Leaving, now)
	m.announce()
}

// set changes the status of a member.
func (m *Machine) set(member *Member, status Status, now time.Time) {
	member.Status = status
	member.Since = now
	m.targets = nil
	m.touch()
}

// Listed takes the platform's list, which lags. A daemon that it names is taken
// to be alive until it proves otherwise; a newer entry replaces an older address.
func (m *Machine) Listed(instances []structs.Instance, now time.Time) {
	named := map[string]bool{}
	for _, instance := range instances {
		named[instance.Name] = true
		m.list(instance, now)
	}
	for name, member := range m.members {
		member.Listed = named[name]
	}
}

// list takes one entry of the platform's list.
func (m *Machine) list(instance structs.Instance, now time.Time) {
	status := Alive
	if instance.State == structs.StateLeaving {
		status = Leaving
	}
	if instance.Name == m.self.Instance.Name {
		// An older run of this daemon may have left its entry behind.
		if status == Leaving && instance.Incarnation >= m.started {
			m.Leave(now)
		}
		return
	}
	m.merge(Rumor{Name: instance.Name, Status: status, Incarnation: instance.Incarnation, Instance: &instance}, now)
}

// Absorb takes reports from another daemon. inbound is set when they came with a
// probe that reached this daemon, which proves that it can be reached; only then
// are reports of its own death refuted.
func (m *Machine) Absorb(rumors []Rumor, inbound bool, now time.Time) {
	for _, r := range rumors {
		if r.Name == m.self.Instance.Name {
			m.answer(r, inbound)
			continue
		}
		m.merge(r, now)
	}
}

// answer deals with a report about this daemon itself.
func (m *Machine) answer(r Rumor, inbound bool) {
	if r.Incarnation < m.self.Incarnation {
		return
	}
	foreign := r.Incarnation > m.self.Incarnation
	accused := r.Status == Suspect || r.Status == Dead || (r.Status == Leaving && m.self.Status != Leaving)
	if !accused && !foreign {
		return
	}
	if inbound || foreign {
		m.self.Incarnation = r.Incarnation + 1
		m.setDeposed(false)
		m.announce()
		return
	}
	if r.Status == Dead {
		m.setDeposed(true)
	}
}

// setDeposed notes whether the others hold this daemon for dead.
func (m *Machine) setDeposed(deposed bool) {
	if m.deposed != deposed {
		m.deposed = deposed
		m.touch()
	}
}

// merge takes a report about another daemon if it is newer than what is known.
func (m *Machine) merge(r Rumor, now time.Time) {
	member, known := m.members[r.Name]
	if !known {
		if r.Instance == nil {
			return
		}
		m.meet(r, now)
		return
	}
	if r.Incarnation < member.Incarnation {
		return
	}
	if r.Incarnation == member.Incarnation && r.Status <= member.Status {
		return
	}
	m.apply(member, r, now)
}

// meet adds a daemon that was not known.
func (m *Machine) meet(r Rumor, now time.Time) {
	member := &Member{Instance: *r.Instance, Incarnation: r.Incarnation, heard: now}
	m.members[r.Name] = member
	m.set(member, r.Status, now)
	m.rumors.add(m.rumor(member))
}

// apply changes a known daemon and spreads the news.
func (m *Machine) apply(member *Member, r Rumor, now time.Time) {
	member.Incarnation = r.Incarnation
	if r.Instance != nil {
		member.Instance = *r.Instance
	}
	if r.Status == Alive {
		m.clear(member, now)
	}
	m.set(member, r.Status, now)
	m.rumors.add(m.rumor(member))
}

// clear forgets the evidence against a daemon.
func (m *Machine) clear(member *Member, now time.Time) {
	member.heard = now
	member.asked = time.Time{}
	member.denied = time.Time{}
	member.refused = false
}

// Answered notes that a probe of a daemon, ours or a helper's, was answered.
func (m *Machine) Answered(name string, incarnation uint64, now time.Time) {
	m.contact = now
	member, known := m.members[name]
	if !known {
		return
	}
	m.clear(member, now)
	if incarnation > member.Incarnation && member.Status != Leaving {
		member.Incarnation = incarnation
		m.set(member, Alive, now)
		m.rumors.add(m.rumor(member))
	}
}

// Denied notes that no helper could reach a daemon either.
func (m *Machine) Denied(name string, now time.Time) {
	if member, known := m.members[name]; known {
		member.denied = now
	}
}

// Refused notes that the daemon's address refuses connections.
func (m *Machine) Refused(name string) {
	if member, known := m.members[name]; known {
		member.refused = true
	}
}

// Incoming notes a probe from a daemon and returns true when it is held for dead
// here, so that it should be probed back at once.
func (m *Machine) Incoming(name string) bool {
	member, known := m.members[name]
	return known && member.Status == Dead
}
