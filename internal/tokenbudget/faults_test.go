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

// Size of the fleets.
const (
	randomGateways = 3
	randomKeepers  = 3
	randomPrograms = 3
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
	cutLink        stepKind = "cut"
	replaceKeeper  stepKind = "replacement of a keeper"
	rejectGateway  stepKind = "platform turns a gateway away"
	incompleteView stepKind = "a gateway takes others for dead"
	outage         stepKind = "outage of the platform"
	loseReplies    stepKind = "lost replies"
	lateWrites     stepKind = "late writes"
	publishMembers stepKind = "spread of the membership"
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
		killAll, cutLink, cutLink, outage, outage, loseReplies, lateWrites, publishMembers, publishMembers, replaceKeeper, rejectGateway,
		incompleteView,
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

// diskLossRecovery is the time after which the loss of a disk is repaired, so that another
// disk may be lost.
const diskLossRecovery = 5 * time.Second

// execute runs one step.
func (tr *scenario) execute(s step) {
	g := tr.gateways[s.Node]
	k := tr.keepers[s.Node%randomKeepers]
	switch s.Kind {
	case runTurns:
		tr.runTurns(s)
	case crashGateway:
		tr.toggleGateway(s.Node)
	case leaveGateway:
		g.leave()
		g.start(s.Node)
	case crashKeeper:
		tr.toggleKeeper(k)
	case wipeKeeper:
		tr.settleKeepers()
		k.crash()
		k.disk.Wipe()
		k.start()
	case replaceKeeper:
		tr.settleKeepers()
		tr.replaceKeeper(s.Node % randomKeepers)
	case rejectGateway:
		tr.setRejected(g.Self().Name, !tr.isRejected(g.Self().Name))
	case incompleteView:
		g.SetLive(g.Self().Name, tr.gateways[(s.Node+1)%randomGateways].Self().Name, k.name)
	case killAll:
		tr.killAll()
	case cutLink:
		tr.toggleCut(g.Self().Name, s.Other)
	case outage:
		faults := tr.store.Faults()
		faults.Outage = !faults.Outage
		tr.store.SetFaults(faults)
	case loseReplies:
		tr.store.SetFaults(objects.Faults{LoseReplies: s.Count})
	case lateWrites:
		tr.store.SetFaults(objects.Faults{LateWrites: s.Count, LateBy: 2 * time.Second})
	case publishMembers:
		tr.publishLive()
	}
	time.Sleep(time.Duration(s.WaitMS) * time.Millisecond)
}

// runTurns runs concurrent turns of a program.
func (tr *scenario) runTurns(s step) {
	g := tr.gateways[s.Node]
	if !g.up {
		return
	}
	d := g.daemon
	for i := range s.Count {
		program := fmt.Sprintf("program-%d", s.Program)
		tr.group.Go(func() { _ = tr.turn(d, program, s.Used, time.Duration(10*(i+1))*time.Millisecond) })
	}
}

// toggleGateway crashes a gateway, or starts it again.
func (tr *scenario) toggleGateway(i int) {
	if tr.gateways[i].up {
		tr.gateways[i].crash()
		return
	}
	tr.gateways[i].start(i)
	tr.publishLive()
}

// toggleKeeper crashes a keeper, or starts it again.
func (tr *scenario) toggleKeeper(k *keeperNode) {
	if k.up {
		k.crash()
		return
	}
	k.start()
	tr.publishLive()
}

// killAll crashes and restarts all daemons.
func (tr *scenario) killAll() {
	for _, g := range tr.gateways {
		g.crash()
	}
	for _, k := range tr.keepers {
		k.crash()
	}
	for _, k := range tr.keepers {
		k.start()
	}
	for i, g := range tr.gateways {
		g.start(i)
	}
	tr.publishLive()
}

// settleKeepers ends the faults of platform, network and keepers, and makes sure that a
// gateway runs. It then waits until the homes have repaired the loss of a disk, so that
// another one may be lost.
func (tr *scenario) settleKeepers() {
	for pair := range tr.cuts {
		tr.network.Cut(pair[0], pair[1], false)
		tr.network.Cut(pair[1], pair[0], false)
	}
	clear(tr.cuts)
	tr.clearRejected()
	tr.store.SetFaults(objects.Faults{})
	for _, k := range tr.keepers {
		if !k.up {
			k.start()
		}
	}
	if !slices.ContainsFunc(tr.gateways, func(g *gatewayNode) bool { return g.up }) {
		tr.gateways[0].start(0)
	}
	tr.publishLive()
	time.Sleep(diskLossRecovery)
}

// replaceKeeper removes a keeper and its disk permanently and starts an empty one under
// another name.
func (tr *scenario) replaceKeeper(i int) {
	old := tr.keepers[i]
	old.crash()
	tr.network.Remove(old.name)
	tr.replaced++
	next := &keeperNode{
		fleet: tr.fleet, name: fmt.Sprintf("keeper-%d-%d", i, tr.replaced), location: old.location, disk: journaltest.NewDisk(),
	}
	tr.keepers[i] = next
	next.start()
	tr.publishLive()
}

// toggleCut cuts or restores the link between a gateway and another daemon.
func (tr *scenario) toggleCut(name string, other int) {
	var to string
	if other < randomGateways {
		to = tr.gateways[other].Self().Name
	} else {
		to = tr.keepers[other-randomGateways].name
	}
	if to == name {
		return
	}
	pair := [2]string{name, to}
	tr.cuts[pair] = !tr.cuts[pair]
	tr.network.Cut(name, to, tr.cuts[pair])
	tr.network.Cut(to, name, tr.cuts[pair])
}

// heal ends all faults.
func (tr *scenario) heal() {
	for pair := range tr.cuts {
		tr.network.Cut(pair[0], pair[1], false)
		tr.network.Cut(pair[1], pair[0], false)
	}
	tr.store.SetFaults(objects.Faults{})
	tr.clearRejected()
	for i, g := range tr.gateways {
		if !g.up {
			g.start(i)
		}
	}
	for _, k := range tr.keepers {
		if !k.up {
			k.start()
		}
	}
	tr.publishLive()
}

// recoveryTime is the time limit after the last fault within which turns are granted again.
const recoveryTime = 10 * time.Second

// runSchedule runs the steps and returns a description of the first violation, "" if there
// is none.
func runSchedule(t *testing.T, steps []step, _ int64) string {
	tr := &scenario{fleet: newFleet(t, randomGateways, randomKeepers), cuts: map[[2]string]bool{}}
	defer tr.close()
	for _, s := range steps {
		tr.execute(s)
	}
	tr.group.Wait()
	tr.heal()
	time.Sleep(recoveryTime)
	for i, g := range tr.gateways {
		if err := tr.turn(g.daemon, fmt.Sprintf("late-%d", i), 35, time.Millisecond); err != nil {
			return fmt.Sprintf("a new program is refused after all faults: %v", err)
		}
	}
	// Run the programs until their budgets are spent.
	for range 2 * budgetTokens / 35 {
		for program := range randomPrograms {
			_ = tr.turn(tr.gateways[program%randomGateways].daemon, fmt.Sprintf("program-%d", program), 35, 0)
		}
	}
	time.Sleep(recoveryTime)
	return tr.overrun()
}

func TestBudgetsHoldUnderFaults(t *testing.T) {
	testbed.Schedules[step]{Shards: shards, Steps: stepGen, MaxSteps: maxSteps, Run: runSchedule}.Check(t)
}
