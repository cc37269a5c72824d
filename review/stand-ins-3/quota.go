//go:build review3

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"ibisline/platform/platformtest"
)

// The quota of the tenant, and the bounds of the rule.
const (
	tenantKey     = "irth5mgjy5rcpihhacru"
	ratePerS      = 20
	burst         = 100
	quotaWindow   = 5 * time.Second
	quotaOverrun  = 0.1
	quotaSlack    = 20
	usualPerS     = ratePerS / 1.6
	hotTimes      = 7.5
	quotaGateways = 8
	// killedFor is how long a killed gateway is down.
	killedFor = 3500 * time.Millisecond
	programs  = 200
	// teamsPath is the path of the operators' report on tenants.
	teamsPath = "/v1/teams"
)

// quotaConfiguration has a plain service, a route to it and a tenant.
const quotaConfiguration = `{"version":1,"routes":[{"name":"ping","host":"` + host + `","pathPrefix":"/ping/","type":"idempotent",` +
	`"timeoutMs":1000,"targetLatencyMs":100,"priority":0,"service":"desk","maxAttempts":1,"retained":false,"retentionS":60.0,` +
	`"public":false,"sticky":false,"resumable":false}],"services":[{"name":"desk","healthPath":"/healthz","maxConns":510,` +
	`"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,` +
	`"idleTimeoutMs":15000},"tenants":[{"name":"hule930","apiKeys":["` + tenantKey + `"],"priority":1,"ratePerS":%d,"burst":%d}]}`

// pings counts the requests of the tenant.
type pings struct {
	mu     sync.Mutex
	sentAt map[string]time.Time
	// statuses counts the answers, 0 for requests without one.
	statuses map[int]int
}

// ping sends one request of the tenant to a gateway. Requests over the quota are not repeated.
func (s *scene) ping(client *http.Client, gateway string, p *pings) {
	id := s.newID()
	request, err := http.NewRequest(http.MethodGet, "http://"+s.daemons[gateway].front+"/ping/"+id, nil)
	if err != nil {
		return
	}
	request.Host = host
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Deadline-Ms", "1000")
	// A call of a tool in one of the tenant's programs.
	program := fmt.Sprintf("%06x", 0x3fa000+rand.IntN(programs))
	request.Header.Set("Program-Id", program)
	request.Header.Set("Session-Id", program)
	request.Header.Set("Program-Deadline-Ms", "30000")
	request.Header.Set("Authorization", "Bearer "+tenantKey)
	p.mu.Lock()
	p.sentAt[id] = time.Now()
	p.mu.Unlock()
	status := 0
	if response, err := client.Do(request); err == nil {
		if _, err := io.Copy(io.Discard, response.Body); err == nil {
			status = response.StatusCode
		}
		response.Body.Close()
	}
	s.note("request %s of program %s at %s: status %d", id, program, gateway, status)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.statuses[status]++
}

// load sends requests of the tenant to the gateways that up returns, in turn, for a time.
func (s *scene) load(perSecond float64, length time.Duration, up func() []string, p *pings) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
	defer client.CloseIdleConnections()
	var requests sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	end := time.After(length)
	for n := 0; ; n++ {
		select {
		case <-end:
			requests.Wait()
			return
		case <-ticker.C:
			gateways := up()
			gateway := gateways[n%len(gateways)]
			requests.Go(func() { s.ping(client, gateway, p) })
		}
	}
}

// issuer returns the gateway that issues the quota of the tenant, as the operators' interface shows it.
func (s *scene) issuer(gateways []string) (string, error) {
	for _, name := range gateways {
		client := http.Client{Timeout: time.Second}
		response, err := client.Get("http://" + s.daemons[name].http + teamsPath)
		if err != nil {
			continue
		}
		var report struct {
			Teams []struct {
				Quota *struct {
					Left *float64 `json:"left"`
				} `json:"quota"`
			} `json:"teams"`
		}
		err = json.NewDecoder(response.Body).Decode(&report)
		response.Body.Close()
		if err == nil && len(report.Teams) == 1 && report.Teams[0].Quota != nil && report.Teams[0].Quota.Left != nil {
			return name, nil
		}
	}
	return "", errors.New("no gateway issues the quota")
}

// quotaAfterKills: one gateway is killed twice, the second time while the tenant sends many times its usual.
func quotaAfterKills(s *scene) (bool, error) {
	s.places, s.lostDisks, s.tenants = threeRegions, 1, true
	if err := s.put("config/main", fmt.Sprintf(quotaConfiguration, ratePerS, burst)); err != nil {
		return false, err
	}
	for i, at := range threeRegions {
		if err := s.addServiceRunner(fmt.Sprintf("runner-%d", i), at); err != nil {
			return false, err
		}
	}
	var gateways []string
	for i := range quotaGateways {
		name := fmt.Sprintf("gateway-%d", i)
		gateways = append(gateways, name)
		if err := s.addDaemon(name, "gateway", threeRegions[i%3]); err != nil {
			return false, err
		}
	}
	for i, at := range threeRegions {
		if err := s.addDaemon(fmt.Sprintf("keeper-%d", i), "keeper", at); err != nil {
			return false, err
		}
	}
	if err := s.startAll(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)

	var mu sync.Mutex
	down := ""
	up := func() []string {
		mu.Lock()
		defer mu.Unlock()
		var ready []string
		for _, name := range gateways {
			if name != down {
				ready = append(ready, name)
			}
		}
		return ready
	}
	setDown := func(name string) {
		mu.Lock()
		defer mu.Unlock()
		down = name
	}
	p := &pings{sentAt: map[string]time.Time{}, statuses: map[int]int{}}
	s.load(usualPerS, 4*time.Second, up, p)
	first, err := s.issuer(gateways)
	if err != nil {
		return false, err
	}
	s.say("%s issues the quota of the tenant", first)
	kill := func() {
		s.say("%s is killed for %v", first, killedFor)
		setDown(first)
		s.kill(first)
	}
	restart := func() error {
		if err := s.start(first); err != nil {
			return err
		}
		if !waitFor(readyTimeout, func() bool { return s.isReady(first) }) {
			return errors.New("the gateway is not ready again")
		}
		setDown("")
		return nil
	}
	if s.trouble {
		kill()
	}
	s.load(usualPerS, killedFor, up, p)
	if s.trouble {
		if err := restart(); err != nil {
			return false, err
		}
	}
	s.load(usualPerS, 20*time.Second, up, p)
	s.say("the tenant sends %.1f times its usual for 6.5 s", hotTimes)
	restarted := make(chan error, 1)
	if s.trouble {
		time.AfterFunc(1700*time.Millisecond, func() {
			kill()
			time.Sleep(killedFor)
			restarted <- restart()
		})
	} else {
		restarted <- nil
	}
	s.load(usualPerS*hotTimes, 6500*time.Millisecond, up, p)
	if err := <-restarted; err != nil {
		return false, err
	}
	return s.checkQuota(p), nil
}

// checkQuota reports whether more requests were sent and run within a window than the rule allows.
func (s *scene) checkQuota(p *pings) bool {
	type run struct{ sent, ran time.Time }
	var runs []run
	for _, runner := range s.runners {
		for _, r := range runner.Runs() {
			if r.Header.Get("Tenant") != "hule930" || r.Header.Get("Authorization") != "" {
				s.say("UNASKED: request %s reached a runner with tenant %q", r.ID, r.Header.Get("Tenant"))
			}
			s.note("request %s ran at second %.3f, sent at second %.3f", r.ID, r.At.Sub(s.started).Seconds(),
				p.sentAt[r.ID].Sub(s.started).Seconds())
			runs = append(runs, run{p.sentAt[r.ID], r.At})
		}
	}
	most, from := 0, time.Time{}
	for _, start := range runs {
		count := 0
		for _, r := range runs {
			if !r.sent.Before(start.sent) && !r.ran.After(start.sent.Add(quotaWindow)) {
				count++
			}
		}
		if count > most {
			most, from = count, start.sent
		}
	}
	perHalf := map[int]int{}
	for _, r := range runs {
		perHalf[int(r.ran.Sub(s.started).Seconds()*2)]++
	}
	for half := 0; half < 240; half++ {
		if perHalf[half] > 0 {
			s.say("from second %.1f: %d run", float64(half)/2, perHalf[half])
		}
	}
	bound := (ratePerS*quotaWindow.Seconds()+burst)*(1+quotaOverrun) + quotaSlack
	s.say("answers by status: %v", p.statuses)
	s.say("SUMMARY: at most %d requests of the tenant were sent and run within %v (from second %.1f); the rule allows %.0f", most,
		quotaWindow, from.Sub(s.started).Seconds(), bound)
	return float64(most) > bound
}

// addServiceRunner starts a runner of the plain service and registers it.
func (s *scene) addServiceRunner(name string, at place) error {
	return s.addRunnerOf("desk", name, at, "", func(run platformtest.Run) platformtest.Reply {
		return platformtest.Reply{Body: "done " + run.ID, Delay: 6 * time.Millisecond}
	})
}
