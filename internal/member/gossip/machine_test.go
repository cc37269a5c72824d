package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ibisline/internal/structs"
)

// testConfig has the default parameters of a daemon.
var testConfig = Config{
	Interval:          250 * time.Millisecond,
	SuspectAfter:      time.Second,
	RefuteTimeout:     500 * time.Millisecond,
	ReconnectInterval: time.Second,
	IsolationLimit:    10 * time.Second,
	ForgetAfter:       10 * time.Minute,
	Fanout:            5,
}

// roundInterval is the time between two rounds of a simulation: two ticks per
// Config.Interval.
const roundInterval = 125 * time.Millisecond

// simulation runs machines in rounds. A paused machine does nothing, not even tick,
// like a process stopped by SIGSTOP.
type simulation struct {
	now      time.Time
	machines map[string]*Machine
	names    []string
	paused   map[string]bool
	killed   map[string]bool
	cut      map[[2]string]bool
	starts   uint64
}

func newSimulation(size int) *simulation {
	m := &simulation{
		now:      time.Unix(1_700_000_000, 0),
		machines: map[string]*Machine{},
		paused:   map[string]bool{},
		killed:   map[string]bool{},
		cut:      map[[2]string]bool{},
	}
	for i := range size {
		m.names = append(m.names, fmt.Sprintf("d%02d", i))
	}
	for _, name := range m.names {
		m.start(name)
	}
	return m
}

func newInstance(name string) structs.Instance {
	return structs.Instance{Name: name, Region: "r", PeerAddr: name, State: structs.StateLive}
}

// start starts a daemon with the platform's list of all daemons.
func (m *simulation) start(name string) {
	m.starts++
	incarnation := uint64(m.now.UnixMilli()) + m.starts
	machine := New(testConfig, newInstance(name), incarnation, rand.New(rand.NewPCG(m.starts, 0)), m.now)
	var list []structs.Instance
	for _, other := range m.names {
		list = append(list, newInstance(other))
	}
	machine.ApplyList(list, m.now)
	m.machines[name] = machine
	m.killed[name] = false
	m.paused[name] = false
}

func (m *simulation) isRunning(name string) bool { return !m.killed[name] && !m.paused[name] }

// probe exchanges one probe and reports whether it was answered.
func (m *simulation) probe(from, to string) bool {
	a, b := m.machines[from], m.machines[to]
	if m.killed[to] {
		a.RecordConnRefused(to)
		return false
	}
	if !m.isRunning(to) || m.cut[[2]string{from, to}] {
		return false
	}
	b.ApplyRumors(append(a.RumorsFor(to), a.SelfRumor()), true, m.now)
	back := b.IsDead(from)
	a.ApplyRumors(b.RumorsFor(from), false, m.now)
	a.RecordAnswer(to, b.Incarnation(), m.now)
	if back && m.isRunning(from) && !m.cut[[2]string{to, from}] {
		m.probe(to, from)
	}
	return true
}

// round makes every running daemon tick and carry out its actions once.
func (m *simulation) round() {
	m.now = m.now.Add(roundInterval)
	for _, name := range m.names {
		if !m.isRunning(name) {
			continue
		}
		machine := m.machines[name]
		actions := machine.Tick(m.now)
		for _, target := range machine.Targets() {
			m.probe(name, target)
		}
		for _, dead := range actions.Reconnect {
			m.probe(name, dead)
		}
		for _, silent := range actions.Confirm {
			m.confirm(name, silent)
		}
	}
}

func (m *simulation) confirm(name, silent string) {
	machine := m.machines[name]
	for _, helper := range machine.Helpers(silent, 3) {
		if !m.isRunning(helper) || m.cut[[2]string{name, helper}] {
			continue
		}
		if m.probe(helper, silent) {
			machine.RecordAnswer(silent, m.machines[silent].Incarnation(), m.now)
			return
		}
	}
	machine.RecordUnreachable(silent, m.now)
}

func (m *simulation) run(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.round()
	}
}

// sees reports whether a daemon has another in its list of live daemons.
func (m *simulation) sees(name, other string) bool {
	for _, instance := range m.machines[name].Live() {
		if instance.Name == other {
			return true
		}
	}
	return false
}

// agreed reports whether all running daemons see exactly the running ones.
func (m *simulation) agreed() bool {
	for _, name := range m.names {
		if !m.isRunning(name) {
			continue
		}
		for _, other := range m.names {
			if m.sees(name, other) != m.isRunning(other) {
				return false
			}
		}
	}
	return true
}

// TestResumedDaemonSuspectsNobody checks that a daemon which was suspended for a while
// doesn't count the missing answers of that time as failures of the others.
func TestResumedDaemonSuspectsNobody(t *testing.T) {
	m := newSimulation(9)
	m.run(5 * time.Second)
	m.paused["d00"] = true
	m.run(30 * time.Second)
	require.True(t, m.agreed())
	m.paused["d00"] = false
	for range 40 {
		m.round()
		for _, name := range m.names[1:] {
			require.True(t, m.sees("d00", name), "the resumed daemon declared %s dead", name)
			require.True(t, m.sees("d01", name), "the resumed daemon made others declare %s dead", name)
		}
	}
	require.True(t, m.agreed())
}

// TestResumedDaemonRestartsSuspicionTimeout checks that a suspicion from before a
// daemon was suspended doesn't turn into death when it resumes: the suspect may have
// refuted it meanwhile.
func TestResumedDaemonRestartsSuspicionTimeout(t *testing.T) {
	m := newSimulation(9)
	m.run(5 * time.Second)
	stopped := m.machines["d00"]
	suspect := stopped.Targets()[0]
	m.paused[suspect] = true
	for stopped.members[suspect].Status != Suspect {
		m.round()
	}
	stopped.Tick(m.now.Add(30 * time.Second))
	require.Equal(t, Suspect, stopped.members[suspect].Status)
}

// TestRandomFaultsConverge injects random kills, restarts, pauses and one-way cuts.
// Daemons without a fault must never declare each other dead, and once the faults end
// all views must agree again.
func TestRandomFaultsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newSimulation(rapid.SampledFrom([]int{3, 9, 16}).Draw(t, "size"))
		m.run(3 * time.Second)
		// The last third of the daemons gets no faults.
		victims := m.names[:len(m.names)-len(m.names)/3]
		healthy := m.names[len(victims):]
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			victim := rapid.SampledFrom(victims).Draw(t, "victim")
			switch rapid.SampledFrom([]string{"kill", "start", "pause", "resume", "cut", "heal"}).Draw(t, "fault") {
			case "kill":
				m.killed[victim] = true
			case "start":
				if m.killed[victim] {
					m.start(victim)
				}
			case "pause":
				m.paused[victim] = true
			case "resume":
				m.paused[victim] = false
			case "cut":
				other := rapid.SampledFrom(victims).Draw(t, "other")
				m.cut[[2]string{victim, other}] = true
			case "heal":
				m.cut = map[[2]string]bool{}
			}
			for range rapid.IntRange(1, 40).Draw(t, "rounds") {
				m.round()
				for _, a := range healthy {
					for _, b := range healthy {
						if !m.sees(a, b) {
							t.Fatalf("%s declared %s dead", a, b)
						}
					}
				}
			}
		}
		m.cut = map[[2]string]bool{}
		for _, victim := range victims {
			m.paused[victim] = false
			if m.killed[victim] {
				m.start(victim)
			}
		}
		m.run(20 * time.Second)
		if !m.agreed() {
			t.Fatalf("views disagree after the faults ended")
		}
	})
}

// TestFleetChangeMovesFewTargets checks that the death of one daemon moves at most as
// many targets as daemons probed it, and that each daemon is probed by at least its
// ring predecessors.
func TestFleetChangeMovesFewTargets(t *testing.T) {
	m := newSimulation(60)
	before := map[string][]string{}
	probed := map[string]int{}
	for _, name := range m.names {
		before[name] = m.machines[name].Targets()
		require.Len(t, before[name], testConfig.Fanout)
		for _, target := range before[name] {
			require.NotEqual(t, name, target)
			probed[target]++
		}
	}
	moved := 0
	for _, name := range m.names[1:] {
		require.GreaterOrEqual(t, probed[name], 3)
		m.machines[name].merge(Rumor{Name: "d00", Status: Dead, Incarnation: 1 << 60}, m.now)
		for _, target := range m.machines[name].Targets() {
			if !contains(before[name], target) {
				moved++
			}
		}
	}
	require.LessOrEqual(t, moved, probed["d00"])
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
