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

// testConfig has the settings of the daemon.
var testConfig = Config{
	Interval:       250 * time.Millisecond,
	SuspectAfter:   time.Second,
	DeadAfter:      500 * time.Millisecond,
	ReachInterval:  time.Second,
	IsolationLimit: 10 * time.Second,
	ForgetAfter:    10 * time.Minute,
	Fanout:         5,
}

// step is the time between two rounds of a model: two ticks an interval.
const step = 125 * time.Millisecond

// model runs machines in rounds. A paused machine does nothing at all, not even
// tick, as a stopped process does.
type model struct {
	now      time.Time
	machines map[string]*Machine
	names    []string
	paused   map[string]bool
	down     map[string]bool
	cut      map[[2]string]bool
	starts   uint64
}

func newModel(size int) *model {
	m := &model{
		now:      time.Unix(1_700_000_000, 0),
		machines: map[string]*Machine{},
		paused:   map[string]bool{},
		down:     map[string]bool{},
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

func instanceOf(name string) structs.Instance {
	return structs.Instance{Name: name, Region: "r", PeerAddr: name, State: structs.StateLive}
}

// start starts a daemon that knows the platform's list.
func (m *model) start(name string) {
	m.starts++
	incarnation := uint64(m.now.UnixMilli()) + m.starts
	machine := New(testConfig, instanceOf(name), incarnation, rand.New(rand.NewPCG(m.starts, 0)), m.now)
	var list []structs.Instance
	for _, other := range m.names {
		list = append(list, instanceOf(other))
	}
	machine.Listed(list, m.now)
	m.machines[name] = machine
	m.down[name] = false
	m.paused[name] = false
}

func (m *model) awake(name string) bool { return !m.down[name] && !m.paused[name] }

// probe exchanges one probe and reports whether it was answered.
func (m *model) probe(from, to string) bool {
	a, b := m.machines[from], m.machines[to]
	if m.down[to] {
		a.Refused(to)
		return false
	}
	if !m.awake(to) || m.cut[[2]string{from, to}] {
		return false
	}
	b.Absorb(append(a.Outgoing(to), a.Introduction()), true, m.now)
	back := b.Incoming(from)
	a.Absorb(b.Outgoing(from), false, m.now)
	a.Answered(to, b.Incarnation(), m.now)
	if back && m.awake(from) && !m.cut[[2]string{to, from}] {
		m.probe(to, from)
	}
	return true
}

// round lets every awake daemon tick and act once.
func (m *model) round() {
	m.now = m.now.Add(step)
	for _, name := range m.names {
		if !m.awake(name) {
			continue
		}
		machine := m.machines[name]
		actions := machine.Tick(m.now)
		for _, target := range machine.Targets() {
			m.probe(name, target)
		}
		for _, dead := range actions.Reach {
			m.probe(name, dead)
		}
		for _, silent := range actions.Confirm {
			m.confirm(name, silent)
		}
	}
}

func (m *model) confirm(name, silent string) {
	machine := m.machines[name]
	for _, helper := range machine.Helpers(silent, 3) {
		if !m.awake(helper) || m.cut[[2]string{name, helper}] {
			continue
		}
		if m.probe(helper, silent) {
			machine.Answered(silent, m.machines[silent].Incarnation(), m.now)
			return
		}
	}
	machine.Denied(silent, m.now)
}

func (m *model) run(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.round()
	}
}

// sees reports whether a daemon takes another to be live.
func (m *model) sees(name, other string) bool {
	for _, instance := range m.machines[name].Live() {
		if instance.Name == other {
			return true
		}
	}
	return false
}

// agreed reports whether all awake daemons see exactly the awake ones.
func (m *model) agreed() bool {
	for _, name := range m.names {
		if !m.awake(name) {
			continue
		}
		for _, other := range m.names {
			if m.sees(name, other) != m.awake(other) {
				return false
			}
		}
	}
	return true
}

// TestWokenDaemonBlamesNobody: a daemon that was stopped saw no answers, but the
// others were not silent.
func TestWokenDaemonBlamesNobody(t *testing.T) {
	m := newModel(9)
	m.run(5 * time.Second)
	m.paused["d00"] = true
	m.run(30 * time.Second)
	require.True(t, m.agreed())
	m.paused["d00"] = false
	for range 40 {
		m.round()
		for _, name := range m.names[1:] {
			require.True(t, m.sees("d00", name), "the woken daemon took %s for dead", name)
			require.True(t, m.sees("d01", name), "it made others take %s for dead", name)
		}
	}
	require.True(t, m.agreed())
}

// TestWokenDaemonTakesNoSuspicionForDeath: a suspicion from before the daemon
// was stopped is old; the suspect may have refuted it since.
func TestWokenDaemonTakesNoSuspicionForDeath(t *testing.T) {
	m := newModel(9)
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

// TestFaultsPass plays random kills, restarts, pauses and one-way cuts.
// Daemons that no fault touches never take each other for dead, and once the
// faults end all agree again.
func TestFaultsPass(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.SampledFrom([]int{3, 9, 16}).Draw(t, "size"))
		m.run(3 * time.Second)
		// The last third of the daemons is spared.
		victims := m.names[:len(m.names)-len(m.names)/3]
		spared := m.names[len(victims):]
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			victim := rapid.SampledFrom(victims).Draw(t, "victim")
			switch rapid.SampledFrom([]string{"kill", "start", "pause", "wake", "cut", "heal"}).Draw(t, "fault") {
			case "kill":
				m.down[victim] = true
			case "start":
				if m.down[victim] {
					m.start(victim)
				}
			case "pause":
				m.paused[victim] = true
			case "wake":
				m.paused[victim] = false
			case "cut":
				other := rapid.SampledFrom(victims).Draw(t, "other")
				m.cut[[2]string{victim, other}] = true
			case "heal":
				m.cut = map[[2]string]bool{}
			}
			for range rapid.IntRange(1, 40).Draw(t, "rounds") {
				m.round()
				for _, a := range spared {
					for _, b := range spared {
						if !m.sees(a, b) {
							t.Fatalf("%s takes %s for dead", a, b)
						}
					}
				}
			}
		}
		m.cut = map[[2]string]bool{}
		for _, victim := range victims {
			m.paused[victim] = false
			if m.down[victim] {
				m.start(victim)
			}
		}
		m.run(20 * time.Second)
		if !m.agreed() {
			t.Fatalf("no agreement after the faults ended")
		}
	})
}

// TestTargetsStayWhenTheFleetChanges: a change moves few targets, and each daemon
// is probed by at least the near ones.
func TestTargetsStayWhenTheFleetChanges(t *testing.T) {
	m := newModel(60)
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
