//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Limits of the disruptions, and the bound of the rule.
const (
	burstTime    = 6 * time.Second
	lostShare    = 0.055
	lostTime     = 5500 * time.Millisecond
	stillWorking = 400 * time.Millisecond
)

// The deployment: five runners, of which three lose answers, and its traffic.
const (
	runnerCount = 5
	losingCount = 3
	// longQueue is the number of waiting requests with which a runner takes no further connections: half of
	// its slots.
	longQueue = 8
	eventGap  = 120 * time.Millisecond
	usualRate = 47
	calmTime  = 5 * time.Second
)

// burstFactors are the bursts, one after the other.
var burstFactors = []float64{1.9, 2.1, 2.3, 2.1, 2.3}

// eventsOfTurn are the lengths of streams, as the sheet has them: 7 in the mean, 17 at most.
var eventsOfTurn = []int{4, 5, 6, 7, 7, 8, 10, 14}

// fullRunner: many users come at once, so that the queues of the runners are long and they take no further
// connections; meanwhile some answers are lost.
func fullRunner(log *record, trouble bool) (bool, error) {
	f, err := newFleet(log, 3)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.configure(3, []map[string]any{turnRoute()})
	var losing sync.Map
	for i := range runnerCount {
		r := newRunner(fmt.Sprintf("i-lm%d", i), engineService, zones[i%len(zones)].name, 16, 48, log)
		r.gap, r.longQueue = eventGap, longQueue
		r.loses = func() int {
			if on, _ := losing.Load("on"); on == true && i < losingCount && rand.Float64() < lostShare {
				return 1
			}
			return 0
		}
		if err := f.addRunner(r); err != nil {
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
	var turns sync.WaitGroup
	next := time.Now()
	send := func(perSecond float64, span time.Duration) {
		for end := next.Add(span); next.Before(end); next = next.Add(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))) {
			time.Sleep(time.Until(next))
			most := eventsOfTurn[rand.IntN(len(eventsOfTurn))] * tokensPerEvent
			turns.Go(func() { turnOf(log, b.pick(), newID(), 4*most, most) })
		}
	}
	send(usualRate, calmTime)
	for _, factor := range burstFactors {
		if trouble {
			log.say("many users come at once (%.1f times the traffic for %s); %d of %d runners lose the answers of %.1f in 100 requests for %s",
				factor, burstTime, losingCount, runnerCount, 100*lostShare, lostTime)
			time.AfterFunc(burstTime-lostTime, func() { losing.Store("on", true) })
			time.AfterFunc(burstTime, func() { losing.Store("on", false) })
		} else {
			factor = 1
		}
		send(factor*usualRate, burstTime)
		send(usualRate, calmTime)
	}
	turns.Wait()
	time.Sleep(time.Second)
	resets := 0
	for _, r := range f.runners {
		resets += r.resets
	}
	log.mu.Lock()
	total, several, twice := len(log.runs), 0, []string{}
	for id, works := range log.runs {
		runners := map[string]bool{}
		for _, w := range works {
			runners[w.runner] = true
		}
		if len(runners) > 1 {
			several++
		}
		for _, next := range works {
			for _, before := range works {
				if before.runner != next.runner && before.start.Before(next.start) && before.end.After(next.start.Add(stillWorking)) {
					twice = append(twice, fmt.Sprintf("%s goes on at %s while %s works on it for %s more", id, next.runner, before.runner, before.end.Sub(next.start).Round(time.Millisecond)))
				}
			}
		}
	}
	log.mu.Unlock()
	for _, text := range twice {
		log.say("TWICE: %s", text)
	}
	log.say("%d requests ran, %d of them on more than one runner (maxAttempts is 1); %d connections over the caps were reset", total, several, resets)
	return len(twice) == 0, nil
}
