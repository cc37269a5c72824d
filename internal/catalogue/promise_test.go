package catalogue_test

import (
	"slices"
	"time"
)

// check asserts the promises at one daemon.
func (tr *trial) check(i int) {
	d := tr.daemons[i]
	if tr.seen[d] == nil {
		tr.seen[d] = map[string]int{}
	}
	revision := d.Revision()
	admits := d.Admit() == nil
	for _, name := range entryNames {
		held, _ := d.Entry(name)
		at := tr.find(name, held.Share, held.Version)
		if at < 0 {
			tr.fail("daemon %d has a state of %s that was never accepted: %+v", i, name, held)
			return
		}
		if at < tr.seen[d][name] {
			tr.fail("daemon %d reverted %s from state %d to %d", i, name, tr.seen[d][name], at)
		}
		tr.seen[d][name] = at
		tr.checkRevision(i, name, at, revision)
		if admits && time.Now().After(tr.excused[i]) {
			tr.checkInForce(i, name, at)
		}
	}
}

// find returns the position of a state in the history of an entry. A missing
// entry matches the latest deletion that it can.
func (tr *trial) find(name string, share float64, version int64) int {
	states := tr.history[name]
	for at, state := range slices.Backward(states) {
		if state.share == share && (share == 0 || state.version == version) {
			return at
		}
	}
	return -1
}

// checkRevision asserts that all edits up to the daemon's revision are applied.
func (tr *trial) checkRevision(i int, name string, at int, revision int64) {
	for later, state := range tr.history[name] {
		if later > at && state.version <= revision {
			tr.fail("daemon %d has revision %d in force, but not state %d of %s (version %d)", i, revision, later, name, state.version)
		}
	}
}

// checkInForce asserts that a daemon that admits work has all edits in force that
// were accepted longer ago than the bound.
func (tr *trial) checkInForce(i int, name string, at int) {
	for later, state := range tr.history[name] {
		if age := time.Since(state.at); later > at && age > inForceBound {
			tr.fail("daemon %d admits work on state %d of %s, but state %d was accepted %s ago", i, at, name, later, age)
		}
	}
}

// excuse notes when a daemon cannot know of an edit although it hears of all
// data centres: nobody in reach has contact to the platform. Such a fleet works
// on, as in an outage.
func (tr *trial) excuse(i int) {
	group := tr.group(i)
	reaches := func(j int) bool {
		return tr.reachesPlatform(j) && !tr.faults[outage][0] && !tr.faults[pauseProcess][j]
	}
	others := map[int]bool{}
	for j := range tr.daemons {
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
		tr.excused[i] = time.Now().Add(inForceBound)
	}
}
