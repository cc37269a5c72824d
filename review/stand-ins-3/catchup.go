//go:build review3

package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// manyPrograms is the number of lines of turns that the deployment keeps, and inputBytes the new input of a turn.
	manyPrograms = 7000
	inputBytes   = 17000
	// turnsPerS is the rate at which turns come.
	turnsPerS = 190
	// A machine that is back counts as lost for catchUpS, which starts again once the core is stable, contactMs after
	// the machine is back.
	catchUp = 4 * time.Second
	contact = 3 * time.Second
	// asked is the number of programs that go on.
	asked = 300
)

// firstTurn runs the first turn of a program at a gateway.
func (s *scene) firstTurn(gateway, program string) (turn, bool) {
	input := "input of " + program + ";" + strings.Repeat("x", inputBytes)
	for range 4 {
		a := s.ask(gateway, program, "", input)
		s.note("turn %s of program %s at %s: status %d, %d bytes", a.id, program, gateway, a.status, len(a.body))
		if a.status == http.StatusOK {
			return turn{program: program, id: a.id, prompt: input + outputOf(a.body), endedAt: time.Now()}, true
		}
		time.Sleep(max(a.retryAfter, 100*time.Millisecond))
	}
	return turn{}, false
}

// secondLoss: a store machine loses its disk, and another one does once the first one counts as back.
func secondLoss(s *scene) (bool, error) {
	s.keeperLatency = 8 * time.Millisecond
	if err := s.prepare(threeRegions, 1, threeRegions, threeRegions); err != nil {
		return false, err
	}
	turns := make([]turn, manyPrograms)
	var clients sync.WaitGroup
	ticker := time.NewTicker(time.Second / turnsPerS)
	for i := range turns {
		<-ticker.C
		clients.Go(func() {
			turns[i], _ = s.firstTurn(fmt.Sprintf("gateway-%d", i%3), fmt.Sprintf("%06x", 0x3fa000+i))
		})
	}
	ticker.Stop()
	clients.Wait()
	whole := 0
	for _, t := range turns {
		if t.id != "" {
			whole++
		}
	}
	s.say("%d of %d first turns were answered whole", whole, manyPrograms)
	if whole < manyPrograms*99/100 {
		return false, errors.New("too few programs were served")
	}
	if s.trouble {
		s.kill("keeper-0")
		if err := s.loseDisk("keeper-0"); err != nil {
			return false, err
		}
		time.Sleep(2 * time.Second)
		if err := s.start("keeper-0"); err != nil {
			return false, err
		}
	} else {
		time.Sleep(2 * time.Second)
	}
	time.Sleep(afterLoss)
	s.kill("keeper-1")
	if err := s.loseDisk("keeper-1"); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if err := s.start("keeper-1"); err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second)
	var o outcomes
	for i := range asked {
		// Of the last third, so that all are asked for within retentionS.
		at := manyPrograms*2/3 + i*(manyPrograms/3)/asked
		if turns[at].id == "" {
			continue
		}
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 12 * time.Millisecond)
			for n := range 4 {
				if s.continueTurn(fmt.Sprintf("gateway-%d", (at+1+n%2)%3), turns[at], &o) {
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	s.say("second turns of %d programs: %s", asked, &o)
	return o.absent > 0, nil
}
