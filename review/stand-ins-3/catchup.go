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
	manyPrograms = 5000
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

// twoTurns runs the first two turns of a program at a gateway, and returns the second one.
func (s *scene) twoTurns(gateway, program string) (turn, bool) {
	previous := turn{program: program}
	for n := range 2 {
		input := fmt.Sprintf("input %d of %s;", n, program) + strings.Repeat("x", inputBytes)
		served := false
		for range 4 {
			a := s.ask(gateway, program, previous.id, input)
			if a.status == http.StatusOK {
				previous = turn{program: program, id: a.id, prompt: previous.prompt + input + outputOf(a.body), endedAt: time.Now()}
				served = true
				break
			}
			time.Sleep(max(a.retryAfter, 100*time.Millisecond))
		}
		if !served {
			return turn{}, false
		}
	}
	return previous, true
}

// secondLoss: a store machine loses its disk, and another one does once the first one counts as back.
func secondLoss(s *scene) (bool, error) {
	s.keeperLatency = 8 * time.Millisecond
	if err := s.prepare(threeRegions, 1, threeRegions, threeRegions); err != nil {
		return false, err
	}
	turns := make([]turn, manyPrograms)
	var clients sync.WaitGroup
	ticker := time.NewTicker(2 * time.Second / turnsPerS)
	for i := range turns {
		<-ticker.C
		clients.Go(func() {
			turns[i], _ = s.twoTurns(fmt.Sprintf("gateway-%d", i%3), fmt.Sprintf("%06x", 0x3fa000+i))
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
	s.say("%d of %d programs have had two turns, all answered whole", whole, manyPrograms)
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
	time.Sleep(contact + catchUp + 500*time.Millisecond)
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
			time.Sleep(time.Duration(i) * 25 * time.Millisecond)
			for n := range 4 {
				if s.continueTurn(fmt.Sprintf("gateway-%d", (at+1+n%2)%3), turns[at], &o) {
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	s.say("third turns of %d programs: %s", asked, &o)
	return o.absent > 0 || o.foreign > 0, nil
}
