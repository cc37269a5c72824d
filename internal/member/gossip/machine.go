package gossip

import (
	"math/rand/v2"
	"sort"
	"time"

	"ibisline/internal/structs"
)

// Machine is the membership state machine of one daemon. It is not safe for
// concurrent use.
type Machine struct {
	config      Config
	random      *rand.Rand
	self        *Member
	members     map[string]*Member // by name, self included
	rumors      rumorQueue
	targets     []string
	lastTargets map[string]bool // the last result of chooseTargets

	lastTick         time.Time
	lastReconnect    time.Time // last probe of a dead daemon
	lastContact      time.Time // last answer from any daemon
	startIncarnation uint64    // incarnation at the start of the process
	declaredDead     bool
	version          uint64
	digest           cachedDigest
}

// New returns a machine that knows only self. The incarnation must be higher
// than that of any earlier start of the daemon, such as the Unix time in
// milliseconds.
func New(config Config, self structs.Instance, incarnation uint64, random *rand.Rand, now time.Time) *Machine {
	own := &Member{Instance: self, Incarnation: incarnation, Since: now}
	m := &Machine{
		config:           config,
		random:           random,
		self:             own,
		members:          map[string]*Member{self.Name: own},
		rumors:           rumorQueue{},
		lastTick:         now,
		lastContact:      now,
		startIncarnation: incarnation,
	}
	m.announce()
	return m
}

// announce queues the daemon's own state for dissemination.
func (m *Machine) announce() {
	m.bumpVersion()
	m.rumors.add(m.rumor(m.self))
}

// bumpVersion records a change of the result of Live or Lookup.
func (m *Machine) bumpVersion() { m.version++ }

// Version returns a number that increases with every change visible to readers.
func (m *Machine) Version() uint64 { return m.version }

// Incarnation returns the daemon's own incarnation.
func (m *Machine) Incarnation() uint64 { return m.self.Incarnation }

// rumor returns a rumor with the current state of a member.
func (m *Machine) rumor(member *Member) Rumor {
	r := Rumor{Name: member.Instance.Name, Status: member.Status, Incarnation: member.Incarnation}
	if member.Status == Alive || member.Status == Leaving {
		instance := member.Instance
		r.Instance = &instance
	}
	return r
}

// Live returns the alive and suspected daemons, sorted by name. The daemon itself
// is excluded once it leaves or learns that the others have declared it dead.
func (m *Machine) Live() []structs.Instance {
	var live []structs.Instance
	for _, member := range m.members {
		if member.Status == Alive || member.Status == Suspect {
			if member != m.self || !m.declaredDead {
				live = append(live, member.Instance)
			}
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Name < live[j].Name })
	return live
}

// Member returns the record of a daemon, and false if the daemon is unknown.
func (m *Machine) Member(name string) (Member, bool) {
	member, ok := m.members[name]
	if !ok {
		return Member{}, false
	}
	return *member, true
}

// Members returns the records of all known daemons, sorted by name.
func (m *Machine) Members() []Member {
	all := make([]Member, 0, len(m.members))
	for _, member := range m.members {
		all = append(all, *member)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Instance.Name < all[j].Instance.Name })
	return all
}

// Leave sets the daemon itself to Leaving and announces it.
func (m *Machine) Leave(now time.Time) {
	if m.self.Status == Leaving {
		return
	}
	m.self.Incarnation++
	m.self.Instance.State = structs.StateLeaving
	m.setStatus(m.self, Leaving, now)
	m.announce()
}

// setStatus changes the status of a member.
func (m *Machine) setStatus(member *Member, status Status, now time.Time) {
	member.Status = status
	member.Since = now
	m.targets = nil
	m.bumpVersion()
}

// ApplyList merges the platform's list of daemons, which lags. A listed daemon
// counts as alive until probes show otherwise; an entry with a higher incarnation
// replaces an older address.
func (m *Machine) ApplyList(instances []structs.Instance, now time.Time) {
	named := map[string]bool{}
	for _, instance := range instances {
		named[instance.Name] = true
		m.applyListEntry(instance, now)
	}
	for name, member := range m.members {
		member.Listed = named[name]
	}
}

// applyListEntry merges one entry of the platform's list.
func (m *Machine) applyListEntry(instance structs.Instance, now time.Time) {
	status := Alive
	if instance.State == structs.StateLeaving {
		status = Leaving
	}
	if instance.Name == m.self.Instance.Name {
		// The entry may be a leftover of an earlier run of this daemon.
		if status == Leaving && instance.Incarnation >= m.startIncarnation {
			m.Leave(now)
		}
		return
	}
	m.merge(Rumor{Name: instance.Name, Status: status, Incarnation: instance.Incarnation, Instance: &instance}, now)
}

// ApplyRumors merges rumors from another daemon. inbound is set when they came
// with a probe from that daemon, which proves that this daemon is reachable. Only
// then does it refute rumors of its own death.
func (m *Machine) ApplyRumors(rumors []Rumor, inbound bool, now time.Time) {
	for _, r := range rumors {
		if r.Name == m.self.Instance.Name {
			m.applySelfRumor(r, inbound)
			continue
		}
		m.merge(r, now)
	}
}

// applySelfRumor handles a rumor about this daemon itself. A rumor with a higher
// incarnation than its own is always overridden with a higher one.
func (m *Machine) applySelfRumor(r Rumor, inbound bool) {
	if r.Incarnation < m.self.Incarnation {
		return
	}
	higher := r.Incarnation > m.self.Incarnation
	contradicts := r.Status == Suspect || r.Status == Dead || (r.Status == Leaving && m.self.Status != Leaving)
	if !contradicts && !higher {
		return
	}
	if inbound || higher {
		m.self.Incarnation = r.Incarnation + 1
		m.setDeclaredDead(false)
		m.announce()
		return
	}
	if r.Status == Dead {
		m.setDeclaredDead(true)
	}
}

// setDeclaredDead records whether the other daemons have declared this one dead.
func (m *Machine) setDeclaredDead(dead bool) {
	if m.declaredDead != dead {
		m.declaredDead = dead
		m.bumpVersion()
	}
}

// merge applies a rumor about another daemon if it is newer than the known state.
func (m *Machine) merge(r Rumor, now time.Time) {
	member, known := m.members[r.Name]
	if !known {
		if r.Instance == nil {
			return
		}
		m.addMember(r, now)
		return
	}
	if r.Incarnation < member.Incarnation {
		return
	}
	if r.Incarnation == member.Incarnation && r.Status <= member.Status {
		return
	}
	m.updateMember(member, r, now)
}

// addMember adds a daemon that was not known and queues its rumor.
func (m *Machine) addMember(r Rumor, now time.Time) {
	member := &Member{Instance: *r.Instance, Incarnation: r.Incarnation, lastAnswer: now}
	m.members[r.Name] = member
	m.setStatus(member, r.Status, now)
	m.rumors.add(m.rumor(member))
}

// updateMember applies a rumor to a known daemon and queues the new state.
func (m *Machine) updateMember(member *Member, r Rumor, now time.Time) {
	member.Incarnation = r.Incarnation
	if r.Instance != nil {
		member.Instance = *r.Instance
	}
	if r.Status == Alive {
		m.clearEvidence(member, now)
	}
	m.setStatus(member, r.Status, now)
	m.rumors.add(m.rumor(member))
}

// clearEvidence resets the failure evidence against a daemon.
func (m *Machine) clearEvidence(member *Member, now time.Time) {
	member.lastAnswer = now
	member.confirmRequestedAt = time.Time{}
	member.unreachableAt = time.Time{}
	member.connRefused = false
}

// RecordAnswer records that a daemon answered a probe of this daemon or of a
// helper.
func (m *Machine) RecordAnswer(name string, incarnation uint64, now time.Time) {
	m.lastContact = now
	member, known := m.members[name]
	if !known {
		return
	}
	m.clearEvidence(member, now)
	if incarnation > member.Incarnation && member.Status != Leaving {
		member.Incarnation = incarnation
		m.setStatus(member, Alive, now)
		m.rumors.add(m.rumor(member))
	}
}

// RecordUnreachable records that no helper could reach a daemon either.
func (m *Machine) RecordUnreachable(name string, now time.Time) {
	if member, known := m.members[name]; known {
		member.unreachableAt = now
	}
}

// RecordConnRefused records that the daemon's address refuses connections.
func (m *Machine) RecordConnRefused(name string) {
	if member, known := m.members[name]; known {
		member.connRefused = true
	}
}

// IsDead returns true when the daemon is known and dead. If such a daemon sends a
// probe, the caller should probe it back at once.
func (m *Machine) IsDead(name string) bool {
	member, known := m.members[name]
	return known && member.Status == Dead
}
