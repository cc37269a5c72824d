//go:build review

package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// Bounds of the pages.
const (
	recoveryTime   = 12 * time.Second
	retirementTime = 8 * time.Second
	lostFor        = 2 * time.Second
	downFor        = 700 * time.Millisecond
)

// retirement: an operator has a store machine emptied, another store machine loses its disk at that moment,
// and some time after both all processes are killed and start again.
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
	time.Sleep(8 * time.Second)
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
	// The lost disk has stopped counting (catchUpS), and the retirement is over its time.
	wait := time.Now().Add(retirementTime + 4*time.Second)
	removed := false
	for time.Now().Before(wait) {
		if trouble && !removed && strings.Contains(f.store.status("retirements", leaving), "completed") {
			log.say("%s is emptied and removed", leaving)
			f.kill(leaving)
			removed = true
		}
		time.Sleep(50 * time.Millisecond)
	}
	fault := time.Now()
	log.say("all processes are killed, and start again after %s", downFor)
	var running []string
	for name, m := range f.machines {
		if m.process != nil {
			running = append(running, name)
		}
	}
	for _, name := range running {
		go f.kill(name)
	}
	time.Sleep(downFor)
	for _, name := range running {
		if err := f.start(name, false); err != nil {
			return false, err
		}
	}
	back := time.Now()
	time.Sleep(recoveryTime + 12*time.Second)
	sentBefore, servedBefore := l.served(begin, begin.Add(8*time.Second))
	sentBetween, servedBetween := l.served(begin.Add(8*time.Second), fault)
	sentAfter, servedAfter := l.served(back.Add(recoveryTime), back.Add(recoveryTime+9*time.Second))
	log.say("served: %d of %d turns before, %d of %d between, %d of %d sent later than %s after the machines are back; retired: %t",
		servedBefore, sentBefore, servedBetween, sentBetween, servedAfter, sentAfter, recoveryTime, removed)
	if sentBefore == 0 || 4*servedBefore < sentBefore || sentAfter == 0 {
		return false, fmt.Errorf("too little was served before the disruption")
	}
	return 4*servedAfter >= sentAfter, nil
}
