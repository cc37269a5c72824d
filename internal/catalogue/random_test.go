package catalogue_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ibisline/internal/catalogue"
	"ibisline/internal/fake/objects"
	"ibisline/internal/fake/testbed"
	"ibisline/internal/objectapi"
)

// CI runs the same ciSchedules schedules in each shard. To run more and different ones:
// go test ./internal/catalogue -rapid.checks=1000 -rapid.seed=7
const (
	ciSchedules = 50
	shards      = 6
	maxSteps    = 12
)

func TestMain(m *testing.M) { testbed.Main(m, ciSchedules) }

// stepKind is the action of a step.
type stepKind string

const (
	edit         stepKind = "edit"
	racingEdits  stepKind = "racing edits"
	remove       stepKind = "remove"
	malformed    stepKind = "malformed"
	outage       stepKind = "outage"
	compact      stepKind = "compact"
	cutPlatform  stepKind = "cut platform"
	cutPeers     stepKind = "cut peers"
	isolate      stepKind = "isolate"
	cutRegion    stepKind = "cut region"
	hangWatch    stepKind = "hang watch"
	pauseProcess stepKind = "pause"
	restart      stepKind = "restart"
)

// step is one action, followed by a wait. A fault action toggles the fault.
type step struct {
	Kind stepKind
	// Daemon is the index of a daemon, and also selects its region.
	Daemon int
	Entry  int
	WaitMS int
}

// randomFleetSize yields two regions with two daemons and one region with one.
const randomFleetSize = 5

// stepGen generates steps. Edits are frequent, so that most faults coincide with some.
var stepGen = rapid.Custom(func(t *rapid.T) step {
	return step{
		Kind: rapid.SampledFrom([]stepKind{
			edit, edit, edit, edit, racingEdits, remove, malformed, outage, compact, cutPlatform, cutPeers, isolate,
			cutRegion, hangWatch, hangWatch, pauseProcess, restart,
		}).Draw(t, "kind"),
		Daemon: rapid.IntRange(0, randomFleetSize-1).Draw(t, "daemon"),
		Entry:  rapid.IntRange(0, 2).Draw(t, "entry"),
		WaitMS: rapid.SampledFrom([]int{0, 5, 20, 300, 1500, 4000, 7000}).Draw(t, "wait"),
	}
})

// accepted is a state of an entry that the platform accepted. share is 0 for a
// deletion.
type accepted struct {
	share   float64
	version int64
	at      time.Time
}

// scheduleRun executes one schedule and checks the invariants during the run.
type scheduleRun struct {
	*fleet
	// history contains the accepted states of each entry. In the first one the
	// entry does not exist.
	history map[string][]accepted
	shares  float64
	// newestSeen is the index of the newest state observed at each process.
	newestSeen map[*daemon]map[string]int
	// exemptUntil contains the time until which a daemon need not have new edits.
	exemptUntil map[int]time.Time
	faults      map[stepKind]map[int]bool
	failure     string
}

// entryNames are the entries edited by the schedules.
var entryNames = []string{"a", "b", "c"}

func newScheduleRun(t require.TestingT, seed int64) *scheduleRun {
	run := &scheduleRun{
		fleet:       newFleet(t, randomFleetSize, seed),
		history:     map[string][]accepted{},
		newestSeen:  map[*daemon]map[string]int{},
		exemptUntil: map[int]time.Time{},
		faults:      map[stepKind]map[int]bool{},
	}
	for _, name := range entryNames {
		run.history[name] = []accepted{{at: time.Now()}}
	}
	for _, k := range []stepKind{cutPlatform, cutPeers, isolate, cutRegion, hangWatch, pauseProcess, outage} {
		run.faults[k] = map[int]bool{}
	}
	return run
}

// fail records the first violation of an invariant.
func (run *scheduleRun) fail(format string, args ...any) {
	if run.failure == "" {
		run.failure = fmt.Sprintf(format, args...)
	}
}

// execute executes a schedule, removes all faults and returns the first violation, or "".
func (run *scheduleRun) execute(steps []step) string {
	run.advance(convergenceBound)
	for _, s := range steps {
		run.executeStep(s)
		run.advance(time.Duration(s.WaitMS) * time.Millisecond)
		if run.failure != "" {
			return run.failure
		}
	}
	for _, active := range run.faults {
		clear(active)
	}
	run.applyFaults()
	run.advance(2 * convergenceBound)
	run.exemptUntil = map[int]time.Time{}
	for i := range run.daemons {
		run.checkDaemon(i)
		if err := run.daemons[i].Admit(); err != nil {
			run.fail("daemon %d admits nothing after all faults ended: %s", i, err)
		}
	}
	return run.failure
}

// advance advances virtual time by d and checks the invariants at each tick.
func (run *scheduleRun) advance(d time.Duration) {
	const tick = 100 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end) && run.failure == ""; {
		time.Sleep(min(tick, time.Until(end)))
		synctest.Wait()
		for i := range run.daemons {
			run.updateExemption(i)
		}
		for i := range run.daemons {
			run.checkDaemon(i)
		}
	}
}

// executeStep executes the action of a step.
func (run *scheduleRun) executeStep(s step) {
	name := entryNames[s.Entry]
	switch s.Kind {
	case edit:
		run.editEntry(name)
	case racingEdits:
		run.raceEdits(name)
	case remove:
		run.removeEntry(name)
	case malformed:
		run.writeMalformed(name)
	case compact:
		run.store.Compact()
	case restart:
		run.fleet.restart(s.Daemon)
		run.applyFaults()
	case outage, cutRegion:
		run.toggle(s.Kind, s.Daemon%len(regions))
	default:
		run.toggle(s.Kind, s.Daemon)
	}
}

// toggle toggles fault k of daemon or region i.
func (run *scheduleRun) toggle(k stepKind, i int) {
	if k == outage {
		i = 0
	}
	run.faults[k][i] = !run.faults[k][i]
	run.applyFaults()
}

// applyFaults configures the network, the platform clients and the store according to
// the faults.
func (run *scheduleRun) applyFaults() {
	run.store.SetFaults(objects.Faults{Outage: run.faults[outage][0]})
	for i, d := range run.daemons {
		cut := !run.reachesPlatform(i)
		watchHangs := run.faults[hangWatch][i]
		d.platform.set(func(s *faultyStore) { s.cut, s.watchHangs = cut, watchHangs })
		if run.faults[pauseProcess][i] && !d.platform.isPaused() {
			d.platform.pause()
		}
		if !run.faults[pauseProcess][i] {
			d.platform.resume()
		}
		for j := range run.daemons {
			run.network.Cut(d.name, run.daemons[j].name, !run.connected(i, j))
		}
	}
}

// reachesPlatform reports whether daemon i is not cut off from the platform.
func (run *scheduleRun) reachesPlatform(i int) bool {
	return !run.faults[cutPlatform][i] && !run.faults[isolate][i]
}

// connected reports whether two daemons reach each other directly.
func (run *scheduleRun) connected(i, j int) bool {
	for _, k := range []stepKind{cutPeers, isolate, pauseProcess} {
		if run.faults[k][i] || run.faults[k][j] {
			return i == j
		}
	}
	ri, rj := i%len(regions), j%len(regions)
	return ri == rj || !run.faults[cutRegion][ri] && !run.faults[cutRegion][rj]
}

// group returns the daemons that reach daemon i, directly or through others.
func (run *scheduleRun) group(i int) []int {
	group := []int{i}
	for at := 0; at < len(group); at++ {
		for j := range run.daemons {
			if run.connected(group[at], j) && !slices.Contains(group, j) {
				group = append(group, j)
			}
		}
	}
	return group
}

// put writes an entry with a new share, as an operator who read version expected.
func (run *scheduleRun) put(name string, expected int64) {
	run.shares++
	share := run.shares
	value, err := catalogue.Encode(entry(name, share))
	require.NoError(run.t, err)
	version, err := run.store.Put(context.Background(), catalogue.Key(name), value, expected)
	if err == nil {
		run.history[name] = append(run.history[name], accepted{share: share, version: version, at: time.Now()})
	}
}

// version returns the version of the entry's object, and false during an outage.
func (run *scheduleRun) version(name string) (int64, bool) {
	object, err := run.store.Get(context.Background(), catalogue.Key(name))
	return object.Version, err == nil || errors.Is(err, objectapi.ErrNotFound)
}

func (run *scheduleRun) editEntry(name string) {
	if expected, ok := run.version(name); ok {
		run.put(name, expected)
	}
}

// raceEdits simulates concurrent edits of two operators who read the same version.
func (run *scheduleRun) raceEdits(name string) {
	if expected, ok := run.version(name); ok {
		run.put(name, expected)
		run.put(name, expected)
	}
}

func (run *scheduleRun) removeEntry(name string) {
	expected, ok := run.version(name)
	if !ok || expected == objectapi.NoVersion {
		return
	}
	require.NoError(run.t, run.store.Delete(context.Background(), catalogue.Key(name), expected))
	_, revision, err := run.store.List(context.Background(), "none/")
	require.NoError(run.t, err)
	run.history[name] = append(run.history[name], accepted{version: revision, at: time.Now()})
}

// writeMalformed overwrites an existing entry with a malformed value and replaces that
// by a valid one after 20 ms. A listing in between must not remove the entry.
func (run *scheduleRun) writeMalformed(name string) {
	expected, ok := run.version(name)
	if !ok || expected == objectapi.NoVersion {
		return
	}
	version, err := run.store.Put(context.Background(), catalogue.Key(name), []byte("{"), expected)
	if err == nil {
		run.advance(20 * time.Millisecond)
		run.put(name, version)
	}
}

func TestRandomSchedulesKeepInvariants(t *testing.T) {
	schedules := testbed.Schedules[step]{Shards: shards, Steps: stepGen, MaxSteps: maxSteps, Run: runSchedule}
	schedules.Check(t)
}

func runSchedule(t *testing.T, steps []step, seed int64) string {
	run := newScheduleRun(t, seed)
	defer run.stop()
	return run.execute(steps)
}
