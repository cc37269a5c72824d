package gossip

import "time"

// Tick advances the time and returns the actions that are due. It must be called at
// least once per Config.Interval.
func (m *Machine) Tick(now time.Time) Actions {
	gap := now.Sub(m.lastTick)
	m.lastTick = now
	var actions Actions
	if gap > m.config.SuspectAfter/2+m.config.Interval {
		m.resetEvidence(now)
		actions.Resumed = true
	}
	timeout := m.suspicionTimeout(now)
	for _, name := range m.Targets() {
		if m.checkTarget(m.members[name], timeout, now) {
			actions.Confirm = append(actions.Confirm, name)
		}
	}
	if len(m.targets) == 0 {
		// No other daemon is left to probe this one or to take over its work.
		m.setDeclaredDead(false)
	}
	isolated := m.isolated(now)
	for name, member := range m.members {
		m.expireMember(name, member, isolated, now)
	}
	if now.Sub(m.lastReconnect) >= m.config.ReconnectInterval {
		m.lastReconnect = now
		actions.Reconnect = m.pickDead()
	}
	return actions
}

// resetEvidence restarts all silence and suspicion timers after this process was
// suspended: it received no answers, although the others may have sent them.
func (m *Machine) resetEvidence(now time.Time) {
	m.lastContact = now
	for _, member := range m.members {
		m.clearEvidence(member, now)
		if member.Status == Suspect {
			member.Since = now
		}
	}
}

// slowObserverFactor multiplies the suspicion timeout while this daemon itself is
// likely to be slow.
const slowObserverFactor = 3

// suspicionTimeout is the time without an answer after which a target is
// suspected. When most targets are silent at once, this daemon is more likely to be
// slow than all of them, so the timeout is longer. A target whose address refuses
// connections does not count as silent: the refusal is sufficient evidence.
func (m *Machine) suspicionTimeout(now time.Time) time.Duration {
	silent := 0
	for _, name := range m.Targets() {
		member := m.members[name]
		if !member.connRefused && now.Sub(member.lastAnswer) >= m.config.SuspectAfter/2 {
			silent++
		}
	}
	if silent > 1 && 2*silent > len(m.targets) {
		return slowObserverFactor * m.config.SuspectAfter
	}
	return m.config.SuspectAfter
}

// checkTarget suspects a target once helpers have confirmed its failure, and
// returns true when helpers should be asked to confirm it.
func (m *Machine) checkTarget(member *Member, timeout time.Duration, now time.Time) bool {
	silence := now.Sub(member.lastAnswer)
	confirmed := member.unreachableAt.After(member.lastAnswer) &&
		!member.unreachableAt.Before(member.confirmRequestedAt)
	if confirmed && member.Status == Alive && (member.connRefused || silence >= timeout) {
		m.setStatus(member, Suspect, now)
		m.rumors.add(m.rumor(member))
		return false
	}
	overdue := member.connRefused || silence >= m.config.SuspectAfter/2
	if !overdue || now.Sub(member.confirmRequestedAt) < m.config.SuspectAfter/2 {
		return false
	}
	member.confirmRequestedAt = now
	return true
}

// isolated is true while none of several targets answers: then this daemon is more
// likely to be cut off than all of them to be dead.
func (m *Machine) isolated(now time.Time) bool {
	silence := now.Sub(m.lastContact)
	return silence >= m.config.SuspectAfter && silence < m.config.IsolationLimit && len(m.Targets()) > 1
}

// expireMember declares a suspected daemon dead after RefuteTimeout, and removes one
// that has been dead or leaving for ForgetAfter. A daemon whose address refuses
// connections is declared dead even while this one is isolated.
func (m *Machine) expireMember(name string, member *Member, isolated bool, now time.Time) {
	age := now.Sub(member.Since)
	switch member.Status {
	case Suspect:
		if age >= m.config.RefuteTimeout && (!isolated || member.connRefused) {
			m.setStatus(member, Dead, now)
			m.rumors.add(m.rumor(member))
		}
	case Dead, Leaving:
		if member != m.self && !member.Listed && age >= m.config.ForgetAfter {
			delete(m.members, name)
			m.targets = nil
			m.bumpVersion()
		}
	}
}

// pickDead returns the name of one dead daemon chosen at random, or nil if there is
// none.
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

// Helpers returns the names of up to count alive targets, chosen at random, that may
// probe the named daemon.
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
