package main

import (
	"bytes"
	"math"
	"sync"
	"time"
)

// The scene "bodies": clients send orders with long bodies over connections that they keep, and then
// many users come at once.
const (
	bodyBytes     = 1_000_000 // maxBodyBytes is 4,194,304
	usualClients  = 8
	burstX        = 2.1
	bodiesCalm    = 6 * time.Second
	bodiesBurst   = 4 * time.Second // x = 2.1 for 4 s is in the list of troubles
	orderWork     = 100 * time.Millisecond
	orderDeadline = 1500 * time.Millisecond
)

func bodies(s *scene) (bool, error) {
	if err := s.addDaemons("gateway", 2); err != nil {
		return false, err
	}
	if err := s.addDaemons("keeper", 3); err != nil {
		return false, err
	}
	s.configure(3, route{
		Name: "r-orders", Host: "orders.example", PathPrefix: "/loom/", Type: "non_idempotent", TimeoutMs: 1500, TargetLatencyMs: 150,
		Priority: 2, Service: "order-app", MaxAttempts: 1,
	})
	for i, z := range zones {
		r, err := s.startRunner("i-order-"+z.name, "order-app", zones[i].name, 6, 24, orderConns, func(run) outcome { return outcome{took: orderWork, size: 800} })
		if err != nil {
			return false, err
		}
		r.register("ready")
	}
	if err := s.startAll(0); err != nil {
		return false, err
	}
	gateway := s.daemons[0]
	time.Sleep(2 * time.Second)

	var mu sync.Mutex
	var all []answer
	stop := make(chan struct{})
	body := bytes.Repeat([]byte("order "), bodyBytes/6)
	client := func(until <-chan struct{}) {
		var c *clientConn
		for {
			select {
			case <-until:
				if c != nil {
					c.close()
				}
				return
			default:
			}
			if c == nil {
				var err error
				if c, err = connect(gateway.listen); err != nil {
					s.record.note("no connection to %s: %v", gateway.name, err)
					time.Sleep(50 * time.Millisecond)
					continue
				}
				// The first request on a connection is a short one.
				a := c.send("POST", "orders.example", "/loom/short", nil, []byte("order"), orderDeadline, orderDeadline)
				if !a.whole || a.err != nil {
					c.close()
					c = nil
					continue
				}
			}
			a := c.send("POST", "orders.example", "/loom/long", nil, body, orderDeadline, orderDeadline)
			s.record.note("client: %s of %d bytes: %s", a.attempt, len(body), a)
			mu.Lock()
			all = append(all, a)
			mu.Unlock()
			if a.err != nil {
				c.close()
				c = nil
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	var clients sync.WaitGroup
	for range usualClients {
		clients.Go(func() { client(stop) })
	}
	s.record.say("%d clients send orders of %d bytes", usualClients, len(body))
	time.Sleep(bodiesCalm)
	if s.trouble {
		ended := make(chan struct{})
		more := int(math.Floor(usualClients*burstX)) - usualClients
		s.record.say("burst: %d clients more", more)
		for range more {
			clients.Go(func() { client(ended) })
		}
		time.Sleep(bodiesBurst)
		close(ended)
	} else {
		time.Sleep(bodiesBurst)
	}
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()

	lost, answered, refused := 0, 0, 0
	for _, a := range all {
		ran := len(s.runsOf(a.attempt)) > 0
		switch {
		case a.kept && ran && !a.whole && a.cut && a.took < orderDeadline:
			lost++
			s.record.say("LOST: order %s ran at %s; the client: %s", a.attempt, s.runsOf(a.attempt)[0].runner.id, a)
		case a.whole && a.status == 200:
			answered++
		case a.whole:
			refused++
		}
	}
	s.record.say("%d orders sent, %d answered 200, %d answered otherwise, %d passed on from a kept connection and cut without an answer (rule: at most 3)",
		len(all), answered, refused, lost)
	for _, d := range s.daemons {
		if d.hasEnded() {
			s.record.say("%s has ended by itself", d.name)
		}
	}
	return lost > 3, nil
}
