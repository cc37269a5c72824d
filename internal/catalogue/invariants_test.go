package catalogue_test

import (
	"slices"
	"time"
)

// checkDaemon checks the invariants at daemon i.
func (run *scheduleRun) checkDaemon(i int) {
	d := run.daemons[i]
	if run.newestSeen[d] == nil {
		run.newestSeen[d] = map[string]int{}
	}
	revision := d.Revision()
	admits := d.Admit() == nil
	for _, name := range entryNames {
		held, _ := d.Entry(name)
		at := run.stateIndex(name, held.Share, held.Version)
		if at < 0 {
			run.fail("daemon %d has a state of %s that the platform never accepted: %+v", i, name, held)
			return
		}
		if at < run.newestSeen[d][name] {
			run.fail("daemon %d reverted %s from state %d to %d", i, name, run.newestSeen[d][name], at)
		}
		run.newestSeen[d][name] = at
		run.checkRevision(i, name, at, revision)
		if admits && time.Now().After(run.exemptUntil[i]) {
			run.checkApplied(i, name, at)
		}
	}
}

// stateIndex returns the index of a state in the history of an entry, or -1. A missing
// entry matches the latest deletion.
func (run *scheduleRun) stateIndex(name string, share float64, version int64) int {
	states := run.history[name]
	for at, state := range slices.Backward(states) {
		if state.share == share && (share == 0 || state.version == version) {
			return at
		}
	}
	return -1
}

// checkRevision checks that all edits up to the daemon's revision are applied.
func (run *scheduleRun) checkRevision(i int, name string, at int, revision int64) {
	for later, state := range run.history[name] {
		if later > at && state.version <= revision {
			run.fail("daemon %d has applied revision %d, but not state %d of %s (version %d)",
				i, revision, later, name, state.version)
		}
	}
}

// checkApplied checks that a daemon that admits work has applied all edits that were
// accepted longer ago than convergenceBound.
func (run *scheduleRun) checkApplied(i int, name string, at int) {
	for later, state := range run.history[name] {
		if age := time.Since(state.at); later > at && age > convergenceBound {
			run.fail("daemon %d admits work on state %d of %s, but state %d was accepted %s ago",
				i, at, name, later, age)
		}
	}
}

// updateExemption exempts daemon i from having new edits while it reaches all data
// centres but no reachable daemon reaches the platform. The daemons then continue to
// admit work, as during an outage.
func (run *scheduleRun) updateExemption(i int) {
	group := run.group(i)
	reaches := func(j int) bool {
		return run.reachesPlatform(j) && !run.faults[outage][0] && !run.faults[pauseProcess][j]
	}
	others := map[int]bool{}
	for j := range run.daemons {
		if j != i {
			others[j%len(regions)] = true
		}
	}
	for _, j := range group {
		if j != i {
			delete(others, j%len(regions))
		}
	}
	if len(others) == 0 && !slices.ContainsFunc(group, reaches) {
		run.exemptUntil[i] = time.Now().Add(convergenceBound)
	}
}
