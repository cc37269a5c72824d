//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// turn is one request of a program and its outcome.
type turn struct {
	sent   time.Time
	status int
	// events is the number of events that reached the client, and whole is set if the answer was complete.
	events int
	whole  bool
}

// balancer stands for the platform's balancer: it picks a gateway that was ready at its last question.
type balancer struct {
	fleet *fleet
	mu    sync.Mutex
	ready []string
}

// run asks all gateways once a second.
func (b *balancer) run(ctx context.Context) {
	for ctx.Err() == nil {
		ready := b.fleet.gateways()
		b.mu.Lock()
		b.ready = ready
		b.mu.Unlock()
		time.Sleep(time.Second)
	}
}

// pick returns the address of a gateway, "" if none is ready.
func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return ""
	}
	return b.fleet.machines[b.ready[rand.IntN(len(b.ready))]].front
}

// newID returns a random identifier.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// turnOf sends one turn of a program and reads the answer to its end.
func turnOf(log *record, addr, program string, budget, most int) turn {
	id := newID()
	result := turn{sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	body := strings.Repeat("x", 1700)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/turns/"+program+"/", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = "agents.example"
	for name, value := range map[string]string{
		"Attempt-Id": id, "Program-Id": program, "Session-Id": program, "Program-Deadline-Ms": "20000", "Deadline-Ms": "3000",
		"Token-Budget": fmt.Sprint(budget), "Token-Usage": fmt.Sprintf("1460,%d", most), "Model": "m",
		"Prompt-Prefix": "5c1e07a2:800,91bd3f06:660",
	} {
		request.Header.Set(name, value)
	}
	log.note("sent     %s of program %s to %s", id, program, addr)
	response, err := (&http.Transport{DisableKeepAlives: true, DisableCompression: true}).RoundTrip(request)
	if err != nil {
		log.note("answered %s: no answer (%v)", id, err)
		return result
	}
	defer response.Body.Close()
	result.status = response.StatusCode
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id:") {
			result.events++
		}
	}
	result.whole = lines.Err() == nil
	log.note("answered %s: %d, %d events, whole %t, stamp %q", id, result.status, result.events, result.whole, response.Header.Get("Server-Stamp"))
	return result
}

// load runs programs one after the other until ctx ends: turns with a pause between them. A turn that
// fails is sent again at most twice.
type load struct {
	log      *record
	balancer *balancer
	mu       sync.Mutex
	turns    []turn
}

// The shape of a program.
const (
	turnsOfProgram = 8
	mostOfTurn     = 7 * tokensPerEvent
	budgetSlack    = 4 * mostOfTurn
)

func (l *load) run(ctx context.Context, programs int) {
	var all sync.WaitGroup
	for range programs {
		all.Go(func() {
			for ctx.Err() == nil {
				l.program(ctx)
			}
		})
	}
	all.Wait()
}

func (l *load) program(ctx context.Context) {
	program := newID()
	budget := turnsOfProgram*mostOfTurn + budgetSlack
	for range turnsOfProgram {
		for attempt := 0; ctx.Err() == nil; attempt++ {
			addr := l.balancer.pick()
			result := turn{sent: time.Now()}
			if addr != "" {
				result = turnOf(l.log, addr, program, budget, mostOfTurn)
			}
			l.mu.Lock()
			l.turns = append(l.turns, result)
			l.mu.Unlock()
			if result.status == http.StatusOK && result.whole {
				break
			}
			if attempt == 2 || result.status == http.StatusPaymentRequired {
				return
			}
			time.Sleep(time.Duration(100+rand.IntN(300)) * time.Millisecond)
		}
		time.Sleep(150 * time.Millisecond)
	}
}

// served returns how many turns were sent in a span and how many of them were served.
func (l *load) served(from, to time.Time) (sent, served int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.turns {
		if t.sent.Before(from) || !t.sent.Before(to) {
			continue
		}
		sent++
		if t.status == http.StatusOK && t.whole {
			served++
		}
	}
	return sent, served
}
