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

// CI runs the same ciSchedules in each shard. More and fresh ones:
// go test ./internal/catalogue -rapid.checks=1000 -rapid.seed=7
const (
	ciSchedules = 50
	shards      = 6
	maxSteps    = 12
)

func TestMain(m *testing.M) { testbed.Main(m, ciSchedules) }

// kind is what a step of a schedule does.
type kind string

const (
	edit         kind = "edit"
	racingEdits  kind = "racing edits"
	remove       kind = "remove"
	malformed    kind = "malformed"
	outage       kind = "outage"
	compact      kind = "compact"
	cutPlatform  kind = "cut platform"
	cutPeers     kind = "cut peers"
	isolate      kind = "isolate"
	cutRegion    kind = "cut region"
	stickWatch   kind = "stick watch"
	pauseProcess kind = "pause"
	restart      kind = "restart"
)

// step is one action, followed by a wait. Actions on faults switch them over.
type step struct {
	Kind kind
	// Daemon selects a daemon, and its region.
	Daemon int
	Entry  int
	WaitMS int
}

// randomFleetSize gives two regions with two daemons and one with a single one.
const randomFleetSize = 5

// stepGen draws steps. Edits are frequent, so that most faults meet some.
var stepGen = rapid.Custom(func(t *rapid.T) step {
	return step{
		Kind: rapid.SampledFrom([]kind{
			edit, edit, edit, edit, racingEdits, remove, malformed, outage, compact, cutPlatform, cutPeers, isolate,
			cutRegion, stickWatch, stickWatch, pauseProcess, restart,
		}).Draw(t, "kind"),
		Daemon: rapid.IntRange(0, randomFleetSize-1).Draw(t, "daemon"),
		Entry:  rapid.IntRange(0, 2).Draw(t, "entry"),
		WaitMS: rapid.SampledFrom([]int{0, 5, 20, 300, 1500, 4000, 7000}).Draw(t, "wait"),
	}
})

// accepted is one state of an entry that the platform accepted. Share is 0 for a
// deletion.
type accepted struct {
	share   float64
	version int64
	at      time.Time
}

// trial runs one schedule and checks the promises on the way.
type trial struct {
	*fleet
	// history holds the accepted states of each entry, the first one being
	// that it does not exist.
	history map[string][]accepted
	shares  float64
	// seen is the newest state that each process has shown.
	seen map[*daemon]map[string]int
	// excused holds the times until which a daemon need not have new edits.
	excused map[int]time.Time
	faults  map[kind]map[int]bool
	failure string
}

// entryNames are the entries that schedules edit.
var entryNames = []string{"a", "b", "c"}

func newTrial(t require.TestingT, seed int64) *trial {
	tr := &trial{
		fleet:   newFleet(t, randomFleetSize, seed),
		history: map[string][]accepted{},
		seen:    map[*daemon]map[string]int{},
		excused: map[int]time.Time{},
		faults:  map[kind]map[int]bool{},
	}
	for _, name := range entryNames {
		tr.history[name] = []accepted{{at: time.Now()}}
	}
	for _, k := range []kind{cutPlatform, cutPeers, isolate, cutRegion, stickWatch, pauseProcess, outage} {
		tr.faults[k] = map[int]bool{}
	}
	return tr
}

// fail records the first broken promise.
func (tr *trial) fail(format string, args ...any) {
	if tr.failure == "" {
		tr.failure = fmt.Sprintf(format, args...)
	}
}

// run executes a schedule, heals everything and returns the first broken promise.
func (tr *trial) run(steps []step) string {
	tr.advance(inForceBound)
	for _, s := range steps {
		tr.do(s)
		tr.advance(time.Duration(s.WaitMS) * time.Millisecond)
		if tr.failure != "" {
			return tr.failure
		}
	}
	for _, of := range tr.faults {
		clear(of)
	}
	tr.applyFaults()
	tr.advance(2 * inForceBound)
	tr.excused = map[int]time.Time{}
	for i := range tr.daemons {
		tr.check(i)
		if err := tr.daemons[i].Admit(); err != nil {
			tr.fail("daemon %d admits nothing after all faults ended: %s", i, err)
		}
	}
	return tr.failure
}

// advance lets virtual time pass and checks the promises on the way.
func (tr *trial) advance(d time.Duration) {
	const tick = 100 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end) && tr.failure == ""; {
		time.Sleep(min(tick, time.Until(end)))
		synctest.Wait()
		for i := range tr.daemons {
			tr.excuse(i)
		}
		for i := range tr.daemons {
			tr.check(i)
		}
	}
}

// do executes one step.
func (tr *trial) do(s step) {
	name := entryNames[s.Entry]
	switch s.Kind {
	case edit:
		tr.edit(name)
	case racingEdits:
		tr.race(name)
	case remove:
		tr.remove(name)
	case malformed:
		tr.spoil(name)
	case compact:
		tr.store.Compact()
	case restart:
		tr.fleet.restart(s.Daemon)
		tr.applyFaults()
	case outage, cutRegion:
		tr.toggle(s.Kind, s.Daemon%len(regions))
	default:
		tr.toggle(s.Kind, s.Daemon)
	}
}

// toggle switches a fault over.
func (tr *trial) toggle(k kind, i int) {
	if k == outage {
		i = 0
	}
	tr.faults[k][i] = !tr.faults[k][i]
	tr.applyFaults()
}

// applyFaults brings network, gates and store in line with the faults.
func (tr *trial) applyFaults() {
	tr.store.SetFaults(objects.Faults{Outage: tr.faults[outage][0]})
	for i, d := range tr.daemons {
		cut := !tr.reachesPlatform(i)
		stuck := tr.faults[stickWatch][i]
		d.gate.set(func(g *gate) { g.cut, g.stuck = cut, stuck })
		if tr.faults[pauseProcess][i] && !d.gate.isPaused() {
			d.gate.pause()
		}
		if !tr.faults[pauseProcess][i] {
			d.gate.resume()
		}
		for j := range tr.daemons {
			tr.network.Cut(d.name, tr.daemons[j].name, !tr.connected(i, j))
		}
	}
}

// reachesPlatform reports whether daemon i is not cut off from the platform.
func (tr *trial) reachesPlatform(i int) bool {
	return !tr.faults[cutPlatform][i] && !tr.faults[isolate][i]
}

// connected reports whether two daemons reach each other.
func (tr *trial) connected(i, j int) bool {
	for _, k := range []kind{cutPeers, isolate, pauseProcess} {
		if tr.faults[k][i] || tr.faults[k][j] {
			return i == j
		}
	}
	ri, rj := i%len(regions), j%len(regions)
	return ri == rj || !tr.faults[cutRegion][ri] && !tr.faults[cutRegion][rj]
}

// group returns the daemons that reach daemon i, directly or through others.
func (tr *trial) group(i int) []int {
	group := []int{i}
	for at := 0; at < len(group); at++ {
		for j := range tr.daemons {
			if tr.connected(group[at], j) && !slices.Contains(group, j) {
				group = append(group, j)
			}
		}
	}
	return group
}

// put writes an entry as an operator who saw the version expected.
func (tr *trial) put(name string, expected int64) {
	tr.shares++
	share := tr.shares
	value, err := catalogue.Encode(entry(name, share))
	require.NoError(tr.t, err)
	version, err := tr.store.Put(context.Background(), catalogue.Key(name), value, expected)
	if err == nil {
		tr.history[name] = append(tr.history[name], accepted{share: share, version: version, at: time.Now()})
	}
}

// version is the version of the entry's object that an operator reads, and false
// during an outage.
func (tr *trial) version(name string) (int64, bool) {
	object, err := tr.store.Get(context.Background(), catalogue.Key(name))
	return object.Version, err == nil || errors.Is(err, objectapi.ErrNotFound)
}

func (tr *trial) edit(name string) {
	if expected, ok := tr.version(name); ok {
		tr.put(name, expected)
	}
}

// race lets two operators edit what they both have read.
func (tr *trial) race(name string) {
	if expected, ok := tr.version(name); ok {
		tr.put(name, expected)
		tr.put(name, expected)
	}
}

func (tr *trial) remove(name string) {
	expected, ok := tr.version(name)
	if !ok || expected == objectapi.NoVersion {
		return
	}
	require.NoError(tr.t, tr.store.Delete(context.Background(), catalogue.Key(name), expected))
	_, revision, err := tr.store.List(context.Background(), "none/")
	require.NoError(tr.t, err)
	tr.history[name] = append(tr.history[name], accepted{version: revision, at: time.Now()})
}

// spoil writes an object that is no entry over an existing one, and mends it at
// once: a listing in between must not lose the entry.
func (tr *trial) spoil(name string) {
	expected, ok := tr.version(name)
	if !ok || expected == objectapi.NoVersion {
		return
	}
	version, err := tr.store.Put(context.Background(), catalogue.Key(name), []byte("{"), expected)
	if err == nil {
		tr.advance(20 * time.Millisecond)
		tr.put(name, version)
	}
}

func TestRandomSchedulesKeepThePromise(t *testing.T) {
	schedules := testbed.Schedules[step]{Shards: shards, Steps: stepGen, MaxSteps: maxSteps, Run: runSchedule}
	schedules.Check(t)
}

func runSchedule(t *testing.T, steps []step, seed int64) string {
	tr := newTrial(t, seed)
	defer tr.stop()
	return tr.run(steps)
}
