//go:build review

package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

const (
	recoveryTime   = 12 * time.Second
	retirementTime = 8 * time.Second
	lostFor        = 2 * time.Second
	// observed is the time after recoveryTime of which the turns are counted, turnLimit the longest that one takes.
	observed  = 15 * time.Second
	turnLimit = 3 * time.Second
)

// retirement: an operator has a store machine emptied, and at that moment another one loses its disk, which is the
// final fault.
func retirement(log *record, trouble bool) (bool, error) {
	f, err := newFleet(log, 3)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.configure(3, []map[string]any{turnRoute()})
	for i, zone := range zones {
		if err := f.addRunner(newRunner(fmt.Sprintf("i-lm%d", i), engineService, zone.name, 16, 48, log)); err != nil {
			return false, err
		}
	}
	for name := range f.machines {
		if err := f.start(name, true); err != nil {
			return false, err
		}
	}
	if err := f.waitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b := &balancer{fleet: f}
	go b.run(ctx)
	time.Sleep(time.Second)
	l := &load{log: log, balancer: b}
	go l.run(ctx, 12)
	begin := time.Now()
	time.Sleep(10 * time.Second)
	fault := time.Now()
	const leaving, lost = "storage-gip-a", "storage-nav-a"
	if trouble {
		log.say("an operator has %s emptied within %s; %s loses power and its disk and is back after %s", leaving, retirementTime, lost, lostFor)
		f.store.put("retirements", leaving, map[string]any{"durationS": retirementTime.Seconds()})
		f.kill(lost)
		if err := f.wipe(lost); err != nil {
			return false, err
		}
		time.Sleep(lostFor)
		if err := f.start(lost, false); err != nil {
			return false, err
		}
	}
	back := time.Now()
	end := back.Add(recoveryTime + observed)
	removed := false
	for time.Now().Before(end) {
		if trouble && !removed && strings.Contains(f.store.status("retirements", leaving), "completed") {
			log.say("%s is emptied and removed", leaving)
			f.kill(leaving)
			removed = true
		}
		time.Sleep(50 * time.Millisecond)
	}
	sentBefore, servedBefore := l.served(begin, fault)
	sentAfter, servedAfter := l.served(back.Add(recoveryTime), end.Add(-turnLimit))
	log.say("served: %d of %d turns before, %d of %d sent later than %s after the machine is back; retired: %t",
		servedBefore, sentBefore, servedAfter, sentAfter, recoveryTime, removed)
	if sentBefore == 0 || 4*servedBefore < sentBefore || sentAfter == 0 {
		return false, fmt.Errorf("too little was served before the disruption")
	}
	return 4*servedAfter >= sentAfter, nil
}
