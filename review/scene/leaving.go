//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	drainTime = 2500 * time.Millisecond
	// servesOn is how long a draining runner goes on serving: drainMs and some seconds more.
	servesOn = 6 * time.Second
	// releaseGap is the time between two replaced runners of a release, and releasedRunners their number.
	releaseGap      = 750 * time.Millisecond
	releasedRunners = 4
	releases        = 15
)

// leaving: the runners of a service are replaced one after the other, while some answers are lost at their end.
func leaving(log *record, trouble bool) (bool, error) {
	f, err := newFleet(log, 3)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.configure(3, []map[string]any{turnRoute()})
	var mu sync.Mutex
	drainedAt := map[string]time.Time{}
	losing := map[string]bool{}
	var late []string
	number := 0
	add := func() (*runner, error) {
		id := fmt.Sprintf("i-lm%02d", number)
		r := newRunner(id, engineService, zones[number%len(zones)].name, 16, 48, log)
		number++
		r.gap = 208 * time.Millisecond
		r.losesEnd = func() bool {
			mu.Lock()
			defer mu.Unlock()
			return losing[id] && rand.Float64() < lostShare
		}
		r.arrived = func(attempt, lastEvent string) {
			mu.Lock()
			defer mu.Unlock()
			if at, draining := drainedAt[id]; draining && time.Since(at) > drainTime {
				late = append(late, fmt.Sprintf("%s reaches %s %s after the store has accepted that it is draining (Last-Event-Id %q)",
					attempt, id, time.Since(at).Round(time.Millisecond), lastEvent))
			}
		}
		return r, f.addRunner(r)
	}
	var serving []*runner
	for range 8 {
		r, err := add()
		if err != nil {
			return false, err
		}
		serving = append(serving, r)
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
	var turns sync.WaitGroup
	go func() {
		for ctx.Err() == nil {
			turns.Go(func() { turnOf(log, b.pick(), newID(), 5*leavingMost, leavingMost) })
			time.Sleep(time.Duration(rand.ExpFloat64() / leavingRate * float64(time.Second)))
		}
	}()
	time.Sleep(4 * time.Second)
	for range releases {
		if trouble {
			log.say("%d of %d runners are replaced one after the other, %s apart; these lose the answers of %.1f in 100 requests for %s",
				releasedRunners, len(serving), releaseGap, 100*lostShare, lostTime)
			mu.Lock()
			for _, r := range serving[:releasedRunners] {
				losing[r.id] = true
			}
			mu.Unlock()
			for range releasedRunners {
				next, err := add()
				if err != nil {
					return false, err
				}
				old := serving[0]
				serving = append(serving[1:], next)
				f.drain(old, servesOn)
				mu.Lock()
				drainedAt[old.id] = time.Now()
				mu.Unlock()
				time.Sleep(releaseGap)
			}
		}
		time.Sleep(lostTime - releasedRunners*releaseGap)
		mu.Lock()
		clear(losing)
		mu.Unlock()
		time.Sleep(400 * time.Millisecond)
	}
	cancel()
	time.Sleep(3500 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	for _, text := range late {
		log.say("DRAIN: %s", text)
	}
	log.say("%d requests ran; %d reached a runner later than %s after it was draining", len(log.runs), len(late), drainTime)
	return len(late) == 0, nil
}

// The traffic: streams of 14 events, 208 ms apart.
const (
	leavingRate = 38
	leavingMost = 14 * tokensPerEvent
)
