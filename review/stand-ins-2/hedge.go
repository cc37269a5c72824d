package main

import (
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
)

// The scene "hedge": agents look something up, several at a time, on an idempotent route that allows one
// runner for each attempt. Then many users come at once, so that the runners are full for some
// milliseconds.
const (
	pingAttempts = 1
	pingDeadline = time.Second
	pingMean     = 6510 * time.Microsecond  // work_ms of buyer-ping: mean 6.51,
	pingMost     = 26700 * time.Microsecond // at most 26.7
	pingClients  = 120
	pingBurstX   = 2.1
	pingWave     = 300 * time.Millisecond
	pingSpread   = 20 * time.Millisecond
	pingCalm     = 6 * time.Second
	pingBurst    = 4 * time.Second // x = 2.1 for 4 s is in the list of troubles
)

func hedge(s *scene) (bool, error) {
	if err := s.addDaemons("gateway", 3); err != nil {
		return false, err
	}
	if err := s.addDaemons("keeper", 3); err != nil {
		return false, err
	}
	s.configure(3, route{
		Name: "r-ping", Host: "orders.example", PathPrefix: "/ping/", Type: "idempotent", TimeoutMs: 1000, TargetLatencyMs: 100,
		Priority: 2, Service: "order-app", MaxAttempts: pingAttempts,
	})
	for _, z := range zones {
		r, err := s.startRunner("i-order-"+z.name, "order-app", z.name, 6, 24, orderConns, func(run) outcome {
			return outcome{took: min(time.Duration(rand.ExpFloat64()*float64(pingMean)), pingMost), size: 800}
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
	var mu sync.Mutex
	var all []answer
	client := func(gateway *daemon, begin, end time.Time) {
		var c *clientConn
		for next := begin; next.Before(end); next = next.Add(pingWave) {
			time.Sleep(time.Until(next) + rand.N(pingSpread))
			if c == nil {
				var err error
				if c, err = connect(gateway.listen); err != nil {
					s.record.note("no connection to %s: %v", gateway.name, err)
					continue
				}
			}
			a := c.send("GET", "orders.example", "/ping/"+strconv.Itoa(rand.IntN(4000)), nil, nil, pingDeadline, pingDeadline)
			s.record.note("client: %s to %s: %s", a.attempt, gateway.name, a)
			mu.Lock()
			all = append(all, a)
			mu.Unlock()
			if a.err != nil {
				c.close()
				c = nil
			}
		}
		if c != nil {
			c.close()
		}
	}
	begin := time.Now()
	end := begin.Add(pingCalm + pingBurst)
	var clients sync.WaitGroup
	add := func(count int, from, to time.Time) {
		for i := range count {
			clients.Go(func() { client(s.daemons[i%3], from, to) })
		}
	}
	s.record.say("%d clients look something up every %s", pingClients, pingWave)
	add(pingClients, begin, end)
	if s.trouble {
		more := int(math.Floor(pingClients*pingBurstX)) - pingClients
		s.record.say("burst after %s: %d clients more", pingCalm, more)
		add(more, begin.Add(pingCalm), end)
	}
	clients.Wait()
	over, byRunners, byStatus := 0, map[int]int{}, map[int]int{}
	for _, a := range all {
		runners := map[string]bool{}
		for _, r := range s.runsOf(a.attempt) {
			runners[r.runner.id] = true
		}
		byRunners[len(runners)]++
		byStatus[a.status]++
		if len(runners) > pingAttempts {
			over++
			if over <= 20 {
				s.record.say("BUDGET: attempt %s ran on %d runners, its route's maxAttempts is %d; the client: %s", a.attempt, len(runners), pingAttempts, a)
			}
		}
	}
	s.record.say("%d attempts, by the runners that ran them: %v, by status: %v; %d ran on more than %d (rule: at most 3)",
		len(all), byRunners, byStatus, over, pingAttempts)
	return over > 3, nil
}
