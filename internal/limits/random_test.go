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

// CI runs the same ciSchedules in each shard. More and fresh ones:
// go test ./internal/limits -rapid.checks=5000 -rapid.seed=7
const (
	ciSchedules = 250
	shards      = 4
	maxSteps    = 15
)

func TestMain(m *testing.M) { testbed.Main(m, ciSchedules) }

// kind is what a step of a schedule does.
type kind string

const (
	burst    kind = "burst"
	setLimit kind = "set limit"
	reboot   kind = "restart"
	crash    kind = "crash"
	cutLink  kind = "cut link"
)

// randomFleetSize is the number of daemons in a random schedule.
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
	// lostAt is the time at which a daemon last lost its books.
	lostAt time.Time
}

// reportTime is the time within which homes report to a new limiter.
const reportTime = 10 * time.Second

// lostMemory heals all links: what a home has under way that can reach neither
// the old limiter nor the new one is not counted, as the package says.
func (tr *trial) lostMemory() {
	tr.lostAt = time.Now()
	clear(tr.cut)
	tr.applyCuts()
}

// do executes one step.
func (tr *trial) do(s step) {
	switch s.Kind {
	case burst:
		for range s.Count {
			d := tr.daemon(s.Daemon)
			tr.group.Go(func() { _ = tr.request(d, 3*time.Second, time.Duration(s.HoldMS)*time.Millisecond) })
		}
	case setLimit:
		tr.edit(func(e *structs.Entry) { e.MaxConcurrent = s.Count })
	case reboot:
		tr.lostMemory()
		if !tr.crashed[s.Daemon] {
			tr.replace(s.Daemon)
		}
	case crash:
		tr.lostMemory()
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

// replace restarts a daemon; the others keep their views.
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

// crashOrJoin ends a daemon, or brings it back; the others notice after up to a
// second each.
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

// setCrashed records whether a daemon runs.
func (tr *trial) setCrashed(i int, crashed bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.crashed[i] = crashed
}

// viewOf returns the names that a daemon takes to be live.
func viewOf(d *daemon) []string {
	names := []string{}
	for _, instance := range d.node.Live() {
		names = append(names, instance.Name)
	}
	return names
}

// liveNames returns the daemons that run.
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

// applyCuts brings the network in line with the cut links.
func (tr *trial) applyCuts() {
	for i, a := range tr.daemons {
		for j, b := range tr.daemons {
			tr.network.Cut(a.name, b.name, i != j && tr.cut[[2]int{min(i, j), max(i, j)}])
		}
	}
}

// run executes a schedule, heals everything and returns the first broken promise.
func (tr *trial) run(steps []step) string {
	time.Sleep(settleTime)
	for _, s := range steps {
		tr.do(s)
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
			return fmt.Sprintf("%s starts nothing after all faults ended: %s", d.name, err)
		}
	}
	return tr.broken()
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

// foundSchedules broke the limit before a mechanism was mended.
var foundSchedules = map[string][]step{
	"a home keeps asking a dead limiter that another one had named": {
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
	"homes share a lowered limit by what they hold, idle permits included": {
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

func TestFoundSchedulesKeepTheLimit(t *testing.T) {
	for name, steps := range foundSchedules {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(50) {
				synctest.Test(t, func(t *testing.T) { require.Empty(t, runSchedule(t, steps, seed)) })
			}
		})
	}
}
