package main

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// The scene "descriptors": the runners of a service are replaced again and again while clients use the
// service over kept connections. Then everything is calm, and further clients send orders to another service,
// whose runners were not touched. These wait for as long as their Deadline-Ms says.
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
	streamGap       = 2 * time.Second // after which clients abandon a stream
	unreadWait      = turnTimeout / 3 // after which they abandon one that was not read
	orderTimeout    = 1500 * time.Millisecond
	orderWait       = 3 * time.Second // Deadline-Ms of the new clients
	answerSlack     = 500 * time.Millisecond
	newClients      = 40
	releasesAtMost  = 70 * time.Second
	descriptorsNear = siteMaxFds - 20
)

func descriptors(s *scene) (bool, error) {
	if err := s.addDaemons("gateway", 1); err != nil {
		return false, err
	}
	if err := s.addDaemons("keeper", 3); err != nil {
		return false, err
	}
	s.configure(3, route{
		Name: "r-turns", Host: "turns.example", PathPrefix: "/read/", Type: "streaming", TimeoutMs: float64(turnTimeout.Milliseconds()),
		TargetLatencyMs: 300, Priority: 0, Service: "lm-pool", MaxAttempts: 1, RetentionS: 60, Sticky: true, Resumable: true, GapTargetMs: 250,
	}, route{
		Name: "r-orders", Host: "turns.example", PathPrefix: "/loom/", Type: "non_idempotent", TimeoutMs: float64(orderTimeout.Milliseconds()),
		TargetLatencyMs: 150, Priority: 2, Service: "order-app", MaxAttempts: 1,
	})
	for _, z := range zones {
		r, err := s.startRunner("i-order-"+z.name, "order-app", z.name, 6, 24, 390, func(run) outcome {
			return outcome{took: 26 * time.Millisecond, size: 800}
		})
		if err != nil {
			return false, err
		}
		r.register("ready")
	}
	var ready []*runner
	started := 0
	add := func() error {
		r, err := s.startRunner(fmt.Sprintf("i-lm-%04d", started), "lm-pool", zones[started%3].name, 8, 24, 430,
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
	// judge counts what is unanswered at the timeout of its route, and what still is half a second later.
	var mu sync.Mutex
	calm, unanswered, silent := false, 0, 0
	judge := func(a answer, timeout time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		if !calm || a.took < timeout {
			return
		}
		unanswered++
		if !a.whole && !a.cut && a.took >= timeout+answerSlack {
			silent++
		}
	}
	stop := make(chan struct{})
	turn := func(c *clientConn) answer {
		return c.send("POST", "turns.example", "/read/turn", []string{"Model: m", "Token-Usage: 1460,80", "Prompt-Prefix: 5c1e07a2:800"},
			[]byte("prompt"), turnTimeout, turnTimeout)
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
					c.abandon = unreadWait
				}
				a := turn(c)
				c.abandon = streamGap
				s.record.note("client: turn %s: %s", a.attempt, a)
				judge(a, turnTimeout)
				if a.whole && a.status == 200 {
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
	mu.Lock()
	calm = true
	mu.Unlock()
	// The usual clients go on; further ones come on connections of their own.
	answered := 0
	var probes sync.WaitGroup
	for i := range newClients {
		probes.Go(func() {
			c, err := connect(gateway.listen)
			if err != nil {
				s.record.say("client %d: no connection: %v", i, err)
				return
			}
			defer c.close()
			a := c.send("POST", "turns.example", "/loom/order", nil, []byte("order"), orderWait, orderWait)
			s.record.say("client %d: order %s: %s", i, a.attempt, a)
			judge(a, orderTimeout)
			if a.whole && a.took < orderTimeout {
				mu.Lock()
				answered++
				mu.Unlock()
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
	close(stop)
	mu.Lock()
	defer mu.Unlock()
	s.record.say("calm: %d of %d new clients were answered in time; of all requests %d were unanswered at their route's timeout, %d of them %s later (rule: at most half)",
		answered, newClients, unanswered, silent, answerSlack)
	if os.Getenv("KEEP") != "" {
		s.record.say("folder %s", s.dir)
	}
	return unanswered > 0 && 2*silent > unanswered, nil
}
