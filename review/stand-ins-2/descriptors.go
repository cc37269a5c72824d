package main

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// The scene "descriptors": the runners of a service are replaced again and again while clients use the
// service over kept connections. Then everything is calm, and further clients come.
const (
	siteMaxFds      = 4100 // of an edge machine
	releaseGap      = 1070 * time.Millisecond
	releaseAtOnce   = 6
	runnersReady    = 20
	turnClients     = 320
	turnEvents      = 7
	turnGap         = 40 * time.Millisecond
	drainMs         = 4 * time.Second
	contactMs       = 4 * time.Second
	turnTimeout     = 2500 * time.Millisecond
	answerSlack     = 500 * time.Millisecond
	newClients      = 40
	releasesAtMost  = 70 * time.Second
	descriptorsNear = siteMaxFds - 20
)

func descriptors(s *scene) (bool, error) {
	s.record.quiet = true
	if err := s.addDaemons("gateway", 1); err != nil {
		return false, err
	}
	if err := s.addDaemons("keeper", 3); err != nil {
		return false, err
	}
	s.configure(3, route{
		Name: "r-turns", Host: "turns.example", PathPrefix: "/read/", Type: "streaming", TimeoutMs: float64(turnTimeout.Milliseconds()),
		TargetLatencyMs: 300, Priority: 0, Service: "lm-pool", MaxAttempts: 1, RetentionS: 60, Sticky: true, Resumable: true, GapTargetMs: 250,
	})
	var ready []*runner
	started := 0
	add := func() error {
		r, err := s.startRunner(fmt.Sprintf("i-lm-%04d", started), "lm-pool", zones[started%3].name, 8, 24,
			func(run) outcome { return outcome{events: turnEvents, gap: turnGap} })
		if err != nil {
			return err
		}
		started++
		r.register("ready")
		ready = append(ready, r)
		return nil
	}
	for range runnersReady {
		if err := add(); err != nil {
			return false, err
		}
	}
	if err := s.startAll(siteMaxFds); err != nil {
		return false, err
	}
	gateway := s.daemons[0]
	time.Sleep(2 * time.Second)

	var served, failed atomic.Int64
	stop := make(chan struct{})
	turn := func(c *clientConn) answer {
		return c.send("POST", "turns.example", "/read/turn", []string{"Model: m", "Token-Usage: 1460,80", "Prompt-Prefix: 5c1e07a2:800"},
			[]byte("prompt"), turnTimeout, turnTimeout+answerSlack)
	}
	var clients sync.WaitGroup
	for range turnClients {
		clients.Go(func() {
			var c *clientConn
			for {
				select {
				case <-stop:
					return
				default:
				}
				if c == nil {
					var err error
					if c, err = connect(gateway.listen); err != nil {
						failed.Add(1)
						time.Sleep(100 * time.Millisecond)
						continue
					}
				}
				if a := turn(c); a.whole && a.status == 200 {
					served.Add(1)
				} else {
					failed.Add(1)
					time.Sleep(100 * time.Millisecond)
					if a.err != nil {
						c.close()
						c = nil
					}
				}
			}
		})
	}
	begin := time.Now()
	replaced := 0
	var leaving sync.WaitGroup
	for time.Since(begin) < releasesAtMost && gateway.descriptors() < descriptorsNear {
		time.Sleep(releaseGap)
		if s.trouble {
			old := ready[:releaseAtOnce]
			ready = append([]*runner(nil), ready[releaseAtOnce:]...)
			for range releaseAtOnce {
				if err := add(); err != nil {
					return false, err
				}
			}
			for _, r := range old {
				replaced++
				leaving.Go(func() { r.leave(drainMs) })
			}
		}
		s.record.say("%d runners replaced; %d turns served, %d not; %s has %d descriptors", replaced, served.Load(), failed.Load(), gateway.name, gateway.descriptors())
	}
	leaving.Wait()
	s.record.say("the releases are over; all is calm for %s", contactMs+2*time.Second)
	time.Sleep(contactMs + 2*time.Second)
	served.Store(0)
	failed.Store(0)
	s.record.quiet = false
	// The usual clients go on; further ones come on connections of their own.
	var mu sync.Mutex
	unanswered, silent, answered := 0, 0, 0
	var probes sync.WaitGroup
	for i := range newClients {
		probes.Go(func() {
			c, err := connect(gateway.listen)
			if err != nil {
				s.record.say("client %d: no connection: %v", i, err)
				return
			}
			defer c.close()
			a := turn(c)
			s.record.note("client %d: %s: %s", i, a.attempt, a)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.whole && a.took < turnTimeout:
				answered++
			case !a.whole && !a.cut:
				unanswered++
				silent++
			case a.took >= turnTimeout:
				unanswered++
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	readyAnswers := 0
	for range 5 {
		if gateway.isReady() {
			readyAnswers++
		}
		time.Sleep(time.Second)
	}
	probes.Wait()
	s.record.say("calm: the usual clients: %d turns served, %d not; %s has %d descriptors, %d of 5 questions whether it is ready were answered with 200",
		served.Load(), failed.Load(), gateway.name, gateway.descriptors(), readyAnswers)
	s.record.say("calm: of %d new clients %d were answered in time; %d were unanswered at the route's timeout, %d of them %s later (rule: at most half)",
		newClients, answered, unanswered, silent, answerSlack)
	close(stop)
	if os.Getenv("KEEP") != "" {
		s.record.say("folder %s", s.dir)
	}
	return unanswered > 0 && 2*silent > unanswered, nil
}
