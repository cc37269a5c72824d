package gossip

import "time"

// Tick advances the time. It is called at least once an interval.
func (m *Machine) Tick(now time.Time) Actions {
	gap := now.Sub(m.ticked)
	m.ticked = now
	var actions Actions
	if gap > m.config.SuspectAfter/2+m.config.Interval {
		m.forgive(now)
		actions.Woken = true
	}
	patience := m.patience(now)
	for _, name := range m.Targets() {
		if m.examine(m.members[name], patience, now) {
			actions.Confirm = append(actions.Confirm, name)
		}
	}
	if len(m.targets) == 0 {
		// Nobody is left to reach this daemon, nor to serve in its place.
		m.setDeposed(false)
	}
	isolated := m.isolated(now)
	for name, member := range m.members {
		m.expire(name, member, isolated, now)
	}
	if now.Sub(m.reached) >= m.config.ReachInterval {
		m.reached = now
		actions.Reach = m.pickDead()
	}
	return actions
}

// forgive starts all silences anew after this daemon itself was stopped for a
// while: it was deaf, the others were not silent.
func (m *Machine) forgive(now time.Time) {
	m.contact = now
	for _, member := range m.members {
		m.clear(member, now)
		if member.Status == Suspect {
			member.Since = now
		}
	}
}

// slowdown is the factor by which a daemon that doubts itself waits longer.
const slowdown = 3

// patience is the silence after which a target is suspected. When most targets
// are silent at once, this daemon is more likely to be slow than all of them, and
// it waits longer. One whose address refuses connections does not count: that
// needs no patience.
func (m *Machine) patience(now time.Time) time.Duration {
	silent := 0
	for _, name := range m.Targets() {
		member := m.members[name]
		if !member.refused && now.Sub(member.heard) >= m.config.SuspectAfter/2 {
			silent++
		}
	}
	if silent > 1 && 2*silent > len(m.targets) {
		return slowdown * m.config.SuspectAfter
	}
	return m.config.SuspectAfter
}

// examine looks at the silence of a target and returns true when helpers should
// be asked.
func (m *Machine) examine(member *Member, patience time.Duration, now time.Time) bool {
	silence := now.Sub(member.heard)
	convicted := member.denied.After(member.heard) && !member.denied.Before(member.asked)
	if convicted && member.Status == Alive && (member.refused || silence >= patience) {
		m.set(member, Suspect, now)
		m.rumors.add(m.rumor(member))
		return false
	}
	doubtful := member.refused || silence >= m.config.SuspectAfter/2
	if !doubtful || now.Sub(member.asked) < m.config.SuspectAfter/2 {
		return false
	}
	member.asked = now
	return true
}

// isolated is true while nobody answers although there are several others to
// answer: then this daemon is more likely to be cut off than all of them dead.
func (m *Machine) isolated(now time.Time) bool {
	silence := now.Sub(m.contact)
	return silence >= m.config.SuspectAfter && silence < m.config.IsolationLimit && len(m.Targets()) > 1
}

// expire turns a suspected daemon into a dead one after its time to refute, and
// forgets those that are long dead. A daemon whose address refuses connections
// is dead also for one that hears nobody.
func (m *Machine) expire(name string, member *Member, isolated bool, now time.Time) {
	age := now.Sub(member.Since)
	switch member.Status {
	case Suspect:
		if age >= m.config.DeadAfter && (!isolated || member.refused) {
			m.set(member, Dead, now)
			m.rumors.add(m.rumor(member))
		}
	case Dead, Leaving:
		if member != m.self && !member.Listed && age >= m.config.ForgetAfter {
			delete(m.members, name)
			m.targets = nil
			m.touch()
		}
	}
}

// pickDead returns one dead daemon at random, if there is one.
func (m *Machine) pickDead() []string {
	var dead []string
	for _, member := range m.Members() {
		if member.Status == Dead {
			dead = append(dead, member.Instance.Name)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	return []string{dead[m.random.IntN(len(dead))]}
}

// Helpers returns up to count daemons, chosen at random, that may try to reach
// another one.
func (m *Machine) Helpers(name string, count int) []string {
	var helpers []string
	for _, target := range m.Targets() {
		if target != name && m.members[target].Status == Alive {
			helpers = append(helpers, target)
		}
	}
	m.random.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	return helpers[:min(count, len(helpers))]
}
