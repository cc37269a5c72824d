package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// The scene "spent": programs with small turns and some with large ones run. Then all processes are killed at
// once, right after a configuration was accepted, and started again; that is a final fault. The same traffic
// goes on: programs that had begun, and new ones, with budgets of which little or nothing is used. With
// KILL=one, which run.sh does not set, only one gateway is killed, and the programs come in at the others.
const (
	smallBudget   = 4480 // Token-Budget and Token-Usage as in the example of the pages
	smallTurn     = 560
	largeBudget   = 40000
	largeTurn     = 8000
	largePrograms = 60
	smallPrograms = 300
	killAllDown   = 700 * time.Millisecond  // down_s of kill_all on the site's days: 0.68 and 0.73
	killOneDown   = 3500 * time.Millisecond // for_s of node_kill in the list of troubles
	chunkTokens   = 35
	recoveryS     = 12 * time.Second
)

func spent(s *scene) (bool, error) {
	if err := s.addDaemons("gateway", 4); err != nil {
		return false, err
	}
	if err := s.addDaemons("keeper", 3); err != nil {
		return false, err
	}
	turns := route{
		Name: "r-turns", Host: "turns.example", PathPrefix: "/read/", Type: "streaming", TimeoutMs: 3000, TargetLatencyMs: 300,
		Service: "lm-pool", MaxAttempts: 1, RetentionS: 60, Sticky: true, Resumable: true, GapTargetMs: 250,
	}
	s.configure(3, turns)
	for i := range 9 {
		r, err := s.startRunner(fmt.Sprintf("i-lm-%d", i), "lm-pool", zones[i%3].name, 16, 48, lmConns, func(run) outcome {
			return outcome{events: 7, gap: 15 * time.Millisecond}
		})
		if err != nil {
			return false, err
		}
		r.register("ready")
	}
	if err := s.startAll(0); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	// The first gateway is the one that is killed; programs come in at the others.
	others := s.daemons[1:4]
	turn := func(kind, program string, i, budget, most int) answer {
		c, err := connect(others[i%len(others)].listen)
		if err != nil {
			s.record.note("no connection to %s: %v", others[i%len(others)].name, err)
			return answer{}
		}
		defer c.close()
		a := c.send("POST", "turns.example", "/read/turn", []string{
			"Model: m", fmt.Sprintf("Token-Usage: 1840,%d", most), "Program-Id: " + program, "Session-Id: " + program,
			"Program-Deadline-Ms: 20000", fmt.Sprintf("Token-Budget: %d", budget),
		}, []byte("prompt"), 3*time.Second, 3*time.Second)
		s.record.note("client: %s turn %s of program %s (Token-Budget %d, Token-Usage 1840,%d) to %s: %s, %d tokens",
			kind, a.attempt, program, budget, most, others[i%len(others)].name, a, a.events*chunkTokens)
		return a
	}
	// programs runs some turns of each program, at most 16 programs at a time, and returns their answers.
	programs := func(kind string, names []string, turns, budget, most int) []answer {
		var mu sync.Mutex
		var all []answer
		room := make(chan struct{}, 16)
		var running sync.WaitGroup
		for i, program := range names {
			room <- struct{}{}
			running.Go(func() {
				defer func() { <-room }()
				for t := range turns {
					a := turn(kind, program, i+t, budget, most)
					mu.Lock()
					all = append(all, a)
					mu.Unlock()
					if a.status == 402 {
						return
					}
				}
			})
		}
		running.Wait()
		return all
	}
	count := func(answers []answer) map[int]int {
		statuses := map[int]int{}
		for _, a := range answers {
			statuses[a.status]++
		}
		return statuses
	}
	newPrograms := func(count int) []string {
		names := make([]string, count)
		for i := range names {
			names[i] = newAttempt()
		}
		return names
	}
	all := programs("large", newPrograms(largePrograms), 1, largeBudget, largeTurn)
	s.record.say("%d programs with large turns, answers by status: %v", largePrograms, count(all))
	begun := newPrograms(smallPrograms)
	calm := programs("small", begun, 2, smallBudget, smallTurn)
	s.record.say("%d programs with small turns begin, answers by status: %v", smallPrograms, count(calm))
	all = append(all, calm...)
	servedBefore, sentBefore := count(all)[200], len(all)
	time.Sleep(2 * time.Second)
	one := os.Getenv("KILL") == "one"
	down, killed := killAllDown, s.daemons
	if one {
		down, killed = killOneDown, s.daemons[:1]
	}
	s.configure(4, turns)
	if s.trouble {
		for _, d := range killed {
			_ = d.command.Process.Kill()
		}
		for _, d := range killed {
			<-d.ended
			s.record.say("%s is killed, for %s", d.name, down)
		}
	}
	time.Sleep(down)
	if s.trouble {
		for _, d := range killed {
			if err := s.start(d, false, 0); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(recoveryS + time.Second)
	s.record.say("%s later the same traffic goes on", recoveryS+time.Second)
	after := programs("large", newPrograms(largePrograms), 1, largeBudget, largeTurn)
	s.record.say("%d new programs with large turns, answers by status: %v", largePrograms, count(after))
	goOn := programs("small", begun, 1, smallBudget, smallTurn)
	s.record.say("the %d programs with small turns go on, answers by status: %v", smallPrograms, count(goOn))
	fresh := programs("small", newPrograms(smallPrograms), 2, smallBudget, smallTurn)
	s.record.say("%d new programs with small turns, answers by status: %v", smallPrograms, count(fresh))
	after = append(append(after, goOn...), fresh...)
	servedAfter := count(after)[200]
	s.record.say("before: %d of %d turns served; after: %d of %d, %d answered 402 (rule: a quarter at least); programs with small turns had used at most %d tokens of %d",
		servedBefore, sentBefore, servedAfter, len(after), count(after)[402], 3*7*chunkTokens, smallBudget)
	if one {
		return count(after)[402] > 5+(sentBefore+len(after))/500, nil
	}
	return 4*servedBefore >= sentBefore && 4*servedAfter < len(after), nil
}
