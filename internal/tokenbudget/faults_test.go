package tokenbudget_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ibisline/internal/fake/objects"
	"ibisline/internal/fake/testbed"
	"ibisline/internal/tokenbudget/journal/journaltest"
)

// CI runs the same ciSchedules in each of the shards. To run more schedules with another
// seed: go test ./internal/tokenbudget -run TestBudgetsHold -rapid.checks=5000 -rapid.seed=7
const (
	ciSchedules = 150
	shards      = 4
	maxSteps    = 25
)

func TestMain(m *testing.M) { testbed.Main(m, ciSchedules) }

// Size of the fleets. Faults other than the loss of disks happen to the first randomKeepers.
const (
	randomGateways = 3
	randomKeepers  = 3
	randomPrograms = 3
	// manyKeepers gives each region several, of which manyLostDisks may be lost at once.
	manyKeepers   = 9
	manyLostDisks = 2
)

// stepKind is the action of a step.
type stepKind string

const (
	runTurns       stepKind = "turns"
	crashGateway   stepKind = "crash of a gateway"
	leaveGateway   stepKind = "planned stop of a gateway"
	crashKeeper    stepKind = "crash of a keeper"
	wipeKeeper     stepKind = "loss of a keeper's disk"
	killAll        stepKind = "crash of all"
	cutLink        stepKind = "cut of a link"
	replaceKeeper  stepKind = "replacement of a keeper"
	rejectGateway  stepKind = "platform rejects a gateway"
	incompleteView stepKind = "incomplete view of a gateway"
	outage         stepKind = "outage of the platform"
	loseReplies    stepKind = "lost replies"
	lateWrites     stepKind = "late writes"
	publishMembers stepKind = "publication of the membership"
)

// step is one action, followed by a wait.
type step struct {
	Kind    stepKind
	Node    int
	Other   int
	Program int
	Count   int
	Used    int
	WaitMS  int
}

var stepGen = rapid.Custom(func(t *rapid.T) step {
	kinds := []stepKind{
		runTurns, runTurns, runTurns, runTurns, runTurns, runTurns, crashGateway, leaveGateway, crashKeeper, wipeKeeper,
		killAll, cutLink, cutLink, outage, outage, loseReplies, lateWrites, publishMembers, publishMembers,
		replaceKeeper, rejectGateway, incompleteView,
	}
	return step{
		Kind:    rapid.SampledFrom(kinds).Draw(t, "kind"),
		Node:    rapid.IntRange(0, randomGateways-1).Draw(t, "node"),
		Other:   rapid.IntRange(0, randomGateways+randomKeepers-1).Draw(t, "other"),
		Program: rapid.IntRange(0, randomPrograms-1).Draw(t, "program"),
		Count:   rapid.IntRange(1, 4).Draw(t, "count"),
		Used:    rapid.SampledFrom([]int{0, 35, 200, maxTurnTokens}).Draw(t, "used"),
		WaitMS:  rapid.SampledFrom([]int{0, 3, 30, 200, 1000, 5000}).Draw(t, "wait"),
	}
})

// scenario is the run of one schedule.
type scenario struct {
	*fleet
	group sync.WaitGroup
	cuts  map[[2]string]bool
	// replaced counts the replaced keepers.
	replaced int
}

// newScenario starts a fleet of which some disks may be lost at the same time.
func newScenario(t *testing.T, keepers, lostDisks int) *scenario {
	config := homeConfig
	config.LostDisks = lostDisks
	return &scenario{fleet: newFleetWith(t, config, randomGateways, keepers), cuts: map[[2]string]bool{}}
}

// diskLossRecovery is the time after which the loss of a disk is repaired, so that another
// disk may be lost.
const diskLossRecovery = 5 * time.Second

// execute runs one step.
func (sc *scenario) execute(s step) {
	g := sc.gateways[s.Node]
	k := sc.keepers[s.Node%randomKeepers]
	switch s.Kind {
	case runTurns:
		sc.runTurns(s)
	case crashGateway:
		sc.toggleGateway(s.Node)
	case leaveGateway:
		g.leave()
		g.start(s.Node)
	case crashKeeper:
		sc.toggleKeeper(k)
	case wipeKeeper:
		sc.settleKeepers()
		sc.loseDisks(sc.keepersInRegionOf(k)[:sc.config.LostDisks]...)
	case replaceKeeper:
		sc.settleKeepers()
		sc.replaceKeeper(s.Node % randomKeepers)
	case rejectGateway:
		sc.setRejected(g.Self().Name, !sc.isRejected(g.Self().Name))
	case incompleteView:
		g.SetLive(g.Self().Name, sc.gateways[(s.Node+1)%randomGateways].Self().Name, k.name)
	case killAll:
		sc.killAll()
	case cutLink:
		sc.toggleCut(g.Self().Name, s.Other)
	case outage:
		faults := sc.store.Faults()
		faults.Outage = !faults.Outage
		sc.store.SetFaults(faults)
	case loseReplies:
		sc.store.SetFaults(objects.Faults{LoseReplies: s.Count})
	case lateWrites:
		sc.store.SetFaults(objects.Faults{LateWrites: s.Count, LateBy: 2 * time.Second})
	case publishMembers:
		sc.publishLive()
	}
	time.Sleep(time.Duration(s.WaitMS) * time.Millisecond)
}

// runTurns runs concurrent turns of a program.
func (sc *scenario) runTurns(s step) {
	g := sc.gateways[s.Node]
	if !g.up {
		return
	}
	d := g.daemon
	for i := range s.Count {
		program := fmt.Sprintf("program-%d", s.Program)
		sc.group.Go(func() { _ = sc.turn(d, program, s.Used, time.Duration(10*(i+1))*time.Millisecond) })
	}
}

// toggleGateway crashes a gateway, or starts it again.
func (sc *scenario) toggleGateway(i int) {
	if sc.gateways[i].up {
		sc.gateways[i].crash()
		return
	}
	sc.gateways[i].start(i)
	sc.publishLive()
}

// toggleKeeper crashes a keeper, or starts it again.
func (sc *scenario) toggleKeeper(k *keeperNode) {
	if k.up {
		k.crash()
		return
	}
	k.start()
	sc.publishLive()
}

// killAll crashes and restarts all daemons.
func (sc *scenario) killAll() {
	for _, g := range sc.gateways {
		g.crash()
	}
	for _, k := range sc.keepers {
		k.crash()
	}
	for _, k := range sc.keepers {
		k.start()
	}
	for i, g := range sc.gateways {
		g.start(i)
	}
	sc.publishLive()
}

// settleKeepers ends the faults of platform, network and keepers, and makes sure that a
// gateway runs. It then waits until the homes have repaired the loss of a disk, so that
// another one may be lost.
func (sc *scenario) settleKeepers() {
	for pair := range sc.cuts {
		sc.network.Cut(pair[0], pair[1], false)
		sc.network.Cut(pair[1], pair[0], false)
	}
	clear(sc.cuts)
	sc.clearRejected()
	sc.store.SetFaults(objects.Faults{})
	for _, k := range sc.keepers {
		if !k.up {
			k.start()
		}
	}
	if !slices.ContainsFunc(sc.gateways, func(g *gatewayNode) bool { return g.up }) {
		sc.gateways[0].start(0)
	}
	sc.publishLive()
	time.Sleep(diskLossRecovery)
}

// replaceKeeper removes a keeper and its disk permanently and starts an empty one under
// another name.
func (sc *scenario) replaceKeeper(i int) {
	old := sc.keepers[i]
	old.crash()
	sc.network.Remove(old.name)
	sc.replaced++
	next := &keeperNode{
		fleet: sc.fleet, name: fmt.Sprintf("keeper-%d-%d", i, sc.replaced), location: old.location,
		disk: journaltest.NewDisk(),
	}
	sc.keepers[i] = next
	next.start()
	sc.publishLive()
}

// toggleCut cuts or restores the link between a gateway and another daemon.
func (sc *scenario) toggleCut(name string, other int) {
	var to string
	if other < randomGateways {
		to = sc.gateways[other].Self().Name
	} else {
		to = sc.keepers[other-randomGateways].name
	}
	if to == name {
		return
	}
	pair := [2]string{name, to}
	sc.cuts[pair] = !sc.cuts[pair]
	sc.network.Cut(name, to, sc.cuts[pair])
	sc.network.Cut(to, name, sc.cuts[pair])
}

// heal ends all faults.
func (sc *scenario) heal() {
	for pair := range sc.cuts {
		sc.network.Cut(pair[0], pair[1], false)
		sc.network.Cut(pair[1], pair[0], false)
	}
	sc.store.SetFaults(objects.Faults{})
	sc.clearRejected()
	for i, g := range sc.gateways {
		if !g.up {
			g.start(i)
		}
	}
	for _, k := range sc.keepers {
		if !k.up {
			k.start()
		}
	}
	sc.publishLive()
}

// keepersInRegionOf returns a keeper and then the others in its region.
func (sc *scenario) keepersInRegionOf(k *keeperNode) []*keeperNode {
	near := []*keeperNode{k}
	for _, other := range sc.keepers {
		if other != k && dataCentre(other.location) == dataCentre(k.location) {
			near = append(near, other)
		}
	}
	return near
}

// recoveryTime is the time limit after the last fault within which turns are granted again.
const recoveryTime = 10 * time.Second

// runSchedule runs the steps and returns a description of the first violation, "" if there
// is none.
func runSchedule(t *testing.T, steps []step, _ int64) string {
	return newScenario(t, randomKeepers, homeConfig.LostDisks).run(steps)
}

// run runs the steps and returns a description of the first violation, "" if there is none.
func (sc *scenario) run(steps []step) string {
	defer sc.close()
	for _, s := range steps {
		sc.execute(s)
	}
	sc.group.Wait()
	sc.heal()
	time.Sleep(recoveryTime)
	for i, g := range sc.gateways {
		if err := sc.turn(g.daemon, fmt.Sprintf("late-%d", i), 35, time.Millisecond); err != nil {
			return fmt.Sprintf("a new program is refused after all faults: %v", err)
		}
	}
	// What was refused before may have depended on messages that did not get through.
	sc.mu.Lock()
	sc.falselySpent = nil
	sc.mu.Unlock()
	// Run the programs until their budgets are spent.
	for range 2 * budgetTokens / 35 {
		for program := range randomPrograms {
			_ = sc.turn(sc.gateways[program%randomGateways].daemon, fmt.Sprintf("program-%d", program), 35, 0)
		}
	}
	time.Sleep(recoveryTime)
	if len(sc.falselySpent) > 0 {
		return sc.falselySpent[0]
	}
	return sc.overrun()
}

func TestBudgetsHoldUnderFaults(t *testing.T) {
	testbed.Schedules[step]{Shards: shards, Steps: stepGen, MaxSteps: maxSteps, Run: runSchedule}.Check(t)
}

// Guards against homes that overrun budgets, or decide nothing any more, after several of the
// journals near them have lost their disks at the same time.
func TestBudgetsHoldWhenSeveralDisksAreLost(t *testing.T) {
	run := func(t *testing.T, steps []step, _ int64) string {
		return newScenario(t, manyKeepers, manyLostDisks).run(steps)
	}
	testbed.Schedules[step]{Shards: 1, Steps: stepGen, MaxSteps: maxSteps, Run: run}.Check(t)
}
