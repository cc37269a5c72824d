package limits_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ibisline/internal/fake/testbed"
	"ibisline/internal/structs"
)

// CI runs the same ciSchedules in each shard. To run more schedules with another seed:
// go test ./internal/limits -rapid.checks=5000 -rapid.seed=7
const (
	ciSchedules = 250
	shards      = 4
	maxSteps    = 15
)

func TestMain(m *testing.M) { testbed.Main(m, ciSchedules) }

// kind is the action of a step.
type kind string

const (
	burst    kind = "burst"
	setLimit kind = "set limit"
	reboot   kind = "restart"
	crash    kind = "crash"
	cutLink  kind = "cut link"
)

const randomFleetSize = 4

// step is one action, followed by a wait.
type step struct {
	Kind   kind
	Daemon int
	Other  int
	// Count is the number of requests in a burst, or the new limit.
	Count  int
	HoldMS int
	WaitMS int
}

var stepGen = rapid.Custom(func(t *rapid.T) step {
	return step{
		Kind:   rapid.SampledFrom([]kind{burst, burst, burst, burst, setLimit, setLimit, reboot, crash, cutLink}).Draw(t, "kind"),
		Daemon: rapid.IntRange(0, randomFleetSize-1).Draw(t, "daemon"),
		Other:  rapid.IntRange(0, randomFleetSize-1).Draw(t, "other"),
		Count:  rapid.IntRange(1, 12).Draw(t, "count"),
		HoldMS: rapid.SampledFrom([]int{1, 50, 700, 5000}).Draw(t, "hold"),
		WaitMS: rapid.SampledFrom([]int{0, 10, 150, 900, 4000}).Draw(t, "wait"),
	}
})

// trial runs one schedule.
type trial struct {
	*fleet
	group   sync.WaitGroup
	crashed map[int]bool
	cut     map[[2]int]bool
	// lostAt is the time at which a daemon last lost its ledgers.
	lostAt time.Time
}

// reportTime is the maximum time until all homes have reported to a new limiter.
const reportTime = 10 * time.Second

// healLinks restores all links before a daemon loses its ledgers, because the limit
// does not cover requests of a home that can reach neither the old nor the new
// limiter (see the package documentation).
func (tr *trial) healLinks() {
	tr.lostAt = time.Now()
	clear(tr.cut)
	tr.applyCuts()
}

// execute runs one step.
func (tr *trial) execute(s step) {
	switch s.Kind {
	case burst:
		for range s.Count {
			d := tr.daemon(s.Daemon)
			tr.group.Go(func() { _ = tr.request(d, 3*time.Second, time.Duration(s.HoldMS)*time.Millisecond) })
		}
	case setLimit:
		tr.edit(func(e *structs.Entry) { e.MaxConcurrent = s.Count })
	case reboot:
		tr.healLinks()
		if !tr.crashed[s.Daemon] {
			tr.replace(s.Daemon)
		}
	case crash:
		tr.healLinks()
		tr.crashOrJoin(s.Daemon)
	case cutLink:
		if time.Since(tr.lostAt) < reportTime {
			return
		}
		pair := [2]int{min(s.Daemon, s.Other), max(s.Daemon, s.Other)}
		tr.cut[pair] = !tr.cut[pair]
		tr.applyCuts()
	}
}

// replace restarts a daemon. The other daemons keep their views.
func (tr *trial) replace(i int) {
	views := make([][]string, len(tr.daemons))
	for j, d := range tr.daemons {
		views[j] = viewOf(d)
	}
	tr.restart(i)
	tr.setCrashed(i, false)
	for j, d := range tr.daemons {
		if j == i {
			d.node.SetLive(tr.liveNames()...)
			continue
		}
		d.node.SetLive(views[j]...)
	}
	tr.applyCuts()
}

// crashOrJoin kills a daemon, or restarts it if it has crashed. The other daemons
// detect the change after up to a second each.
func (tr *trial) crashOrJoin(i int) {
	if tr.crashed[i] {
		tr.replace(i)
	} else {
		tr.kill(tr.daemons[i])
		tr.setCrashed(i, true)
	}
	for j, d := range tr.daemons {
		if j != i {
			time.AfterFunc(time.Duration(tr.random(int64(time.Second))), func() { d.node.SetLive(tr.liveNames()...) })
		}
	}
}

// setCrashed records whether a daemon has crashed.
func (tr *trial) setCrashed(i int, crashed bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.crashed[i] = crashed
}

// viewOf returns the names of the daemons that are live in the view of d.
func viewOf(d *daemon) []string {
	names := []string{}
	for _, instance := range d.node.Live() {
		names = append(names, instance.Name)
	}
	return names
}

// liveNames returns the names of the running daemons.
func (tr *trial) liveNames() []string {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var names []string
	for i, d := range tr.daemons {
		if !tr.crashed[i] {
			names = append(names, d.name)
		}
	}
	return names
}

// applyCuts applies the cut links to the network.
func (tr *trial) applyCuts() {
	for i, a := range tr.daemons {
		for j, b := range tr.daemons {
			tr.network.Cut(a.name, b.name, i != j && tr.cut[[2]int{min(i, j), max(i, j)}])
		}
	}
}

// run executes a schedule, restores all links and returns the first violation of the
// limit, or the first daemon that starts no request afterwards.
func (tr *trial) run(steps []step) string {
	time.Sleep(settleTime)
	for _, s := range steps {
		tr.execute(s)
		time.Sleep(time.Duration(s.WaitMS) * time.Millisecond)
	}
	clear(tr.cut)
	tr.applyCuts()
	tr.group.Wait()
	time.Sleep(time.Minute)
	for i, d := range tr.daemons {
		if tr.crashed[i] {
			continue
		}
		if err := tr.request(d, 10*time.Second, time.Millisecond); err != nil {
			return fmt.Sprintf("%s starts no request after all links were restored: %s", d.name, err)
		}
	}
	return tr.violation()
}

func newTrial(t require.TestingT, seed int64) *trial {
	return &trial{
		fleet:   newFleet(t, randomFleetSize, seed, limited(5)),
		crashed: map[int]bool{},
		cut:     map[[2]int]bool{},
	}
}

func TestRandomSchedulesKeepTheLimit(t *testing.T) {
	schedules := testbed.Schedules[step]{Shards: shards, Steps: stepGen, MaxSteps: maxSteps, Run: runSchedule}
	schedules.Check(t)
}

func runSchedule(t *testing.T, steps []step, seed int64) string {
	tr := newTrial(t, seed)
	defer tr.stopAll()
	return tr.run(steps)
}

// regressionSchedules are schedules that once exceeded the limit.
var regressionSchedules = map[string][]step{
	"a home keeps reporting to a dead limiter after a redirect": {
		{Kind: burst, Daemon: 1, Count: 5, HoldMS: 50, WaitMS: 4000},
		{Kind: burst, Daemon: 1, Count: 9, HoldMS: 5000},
		{Kind: burst, Daemon: 3, Count: 11, HoldMS: 1, WaitMS: 10},
		{Kind: burst, Daemon: 0, Count: 17, HoldMS: 1, WaitMS: 150},
		{Kind: burst, Daemon: 0, Count: 7, HoldMS: 50, WaitMS: 900},
		{Kind: burst, Daemon: 2, Count: 6, HoldMS: 5000, WaitMS: 4000},
		{Kind: burst, Daemon: 3, Count: 12, HoldMS: 700},
		{Kind: setLimit, Count: 3},
		{Kind: burst, Daemon: 1, Count: 2, HoldMS: 5000},
		{Kind: cutLink, Daemon: 0, Other: 2, WaitMS: 150},
		{Kind: crash, Daemon: 0, WaitMS: 900},
		{Kind: burst, Daemon: 2, Count: 4, HoldMS: 1, WaitMS: 150},
		{Kind: burst, Daemon: 3, Count: 11, HoldMS: 5000},
		{Kind: setLimit, Count: 12, WaitMS: 150},
	},
	"a lowered limit is divided by held permits, including idle ones": {
		{Kind: burst, Daemon: 3, Count: 12, HoldMS: 700, WaitMS: 900},
		{Kind: burst, Daemon: 3, Count: 11, HoldMS: 1, WaitMS: 10},
		{Kind: burst, Daemon: 3, Count: 11, HoldMS: 5000},
		{Kind: crash, Daemon: 0},
		{Kind: setLimit, Count: 9, WaitMS: 4000},
		{Kind: setLimit, Count: 6, WaitMS: 150},
		{Kind: crash, Daemon: 2, WaitMS: 10},
		{Kind: crash, Daemon: 0, WaitMS: 10},
		{Kind: burst, Daemon: 1, Count: 10, HoldMS: 700, WaitMS: 4000},
		{Kind: setLimit, Count: 7, WaitMS: 4000},
	},
}

func TestRegressionSchedulesKeepTheLimit(t *testing.T) {
	for name, steps := range regressionSchedules {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(50) {
				synctest.Test(t, func(t *testing.T) { require.Empty(t, runSchedule(t, steps, seed)) })
			}
		})
	}
}
