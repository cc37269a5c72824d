package platform_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// soakServers is the number of tills in the soak.
	soakServers = 6
	// contactTime is the time without disturbance after which the promises hold for a gateway.
	contactTime = 3 * time.Second
	// toldBefore is the time after which a gateway that has heard of a limit keeps to it.
	toldBefore = 500 * time.Millisecond
	// oddEntry is an entry that another writer has left.
	oddEntry = `{"service":"tills","address":"127.0.0.1:0","zone":"n1","slots":1e999,"state":"ready","born":1e300}`
)

// period is the time of an event.
type period struct {
	what     string
	from, to time.Time
}

// replaceTills replaces the tills by servers that crash under a request and name limits.
func (s *soak) replaceTills() {
	s.scriptTills()
	for name := range s.servers {
		if strings.HasPrefix(name, "till") {
			s.removeEntry("servers/" + name)
		}
	}
	s.addMortalServers(soakServers)
	s.waitUntil("the gateways use the servers", func() bool {
		for _, name := range s.names {
			if s.call(name, http.MethodPost, "/redeem/1").status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// recordAttempt returns a change of a request that records the gateway to which it is sent.
func (s *soak) recordAttempt(gateway string) func(*http.Request) {
	return func(r *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.sentTo[r.Header.Get("Attempt-Id")] = gateway
	}
}

// runCrashingClient sends the request that crashes servers again and again, to one gateway after the
// other and each time as another program.
func (s *soak) runCrashingClient(stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(returnPause):
		}
		name := s.names[n%len(s.names)]
		s.callWith(s.client, name, http.MethodPost, "/redeem/1", withBody(crashingBody), s.recordAttempt(name),
			func(r *http.Request) { r.Header.Set("Program-Id", fmt.Sprint("crashing-", n)) })
	}
}

// runCaller sends calls over kept connections, to one gateway after the other.
func (s *soak) runCaller(first int, planned bool, stop <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for n := first; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(pollInterval):
		}
		name := s.names[n%len(s.names)]
		got := s.callWith(client, name, http.MethodPost, "/redeem/1", s.recordAttempt(name), func(r *http.Request) {
			r.Header.Set("Session-Id", fmt.Sprint(n%17))
		})
		s.mu.Lock()
		s.answers = append(s.answers, soakAnswer{answer: got, planned: planned})
		s.mu.Unlock()
	}
}

// runLateClient opens connections that it uses late, also after their gateway has closed its listener.
func (s *soak) runLateClient(planned bool, stop <-chan struct{}) {
	for n := 0; ; n++ {
		name := s.names[n%len(s.names)]
		conn, err := net.Dial("tcp", s.daemons[name].listenAddr)
		select {
		case <-stop:
			if err == nil {
				conn.Close()
			}
			return
		case <-time.After(returnPause):
		}
		if err != nil {
			continue
		}
		got := answer{id: fmt.Sprintf("late-%v-%d", planned, n)}
		got.status, got.body = sendOn(conn, got.id)
		s.mu.Lock()
		s.answers = append(s.answers, soakAnswer{answer: got, planned: planned})
		s.mu.Unlock()
	}
}

// sendOn sends a call on an open connection and returns the response, status 0 if there is none.
func sendOn(conn net.Conn, id string) (int, string) {
	defer conn.Close()
	body := "body of " + id
	if _, err := fmt.Fprintf(conn, "POST /redeem/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 4000\r\n"+
		"Content-Length: %d\r\n\r\n%s", id, len(body), body); err != nil {
		return 0, ""
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	text, err := readAll(response)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, text
}

// limitServer changes the limit that a till names, or ends it.
func (s *soak) limitServer() {
	m := s.mortal[s.random.IntN(len(s.mortal))]
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limit = []float64{0, 1, 4, 15, 15}[s.random.IntN(5)]
	s.log = append(s.log, fmt.Sprintf("%s limit %g at %s", time.Now().Format("05.000"), m.limit, m.addr))
}

// leaveOddEntry leaves an entry among those of the servers that is none of a server.
func (s *soak) leaveOddEntry() {
	if err := s.tryPut("servers/odd", oddEntry); err != nil {
		s.t.Logf("no odd entry is left: %v", err)
	}
}

// inTouch reports whether neither a gateway nor the platform was disturbed in the time before a moment.
func (s *soak) inTouch(gateway string, at time.Time) bool {
	return gateway != "" && !s.wasDisturbed(gateway, at, "") && !s.wasDisturbed(soakPlatform, at, "")
}

// wasDisturbed reports whether a daemon had an event, apart from those of one kind, in the time before
// a moment.
func (s *soak) wasDisturbed(name string, at time.Time, except string) bool {
	return slices.ContainsFunc(s.disturbed[name], func(p period) bool {
		return p.what != except && p.from.Before(at) && at.Before(p.to.Add(contactTime))
	})
}

// checkCrashes requires that the request which crashes servers reaches hardly any after the third
// crash is known.
func (s *soak) checkCrashes() {
	all := crashesOf(s.mortal)
	late := 0
	for i, c := range all {
		if i >= crashLimit && c.at.Sub(all[crashLimit-1].at) > refusalDelay && s.inTouch(s.sentTo[c.attempt], c.at) {
			late++
		}
	}
	s.t.Logf("%d crashes, %d late", len(all), late)
	require.LessOrEqual(s.t, late, maxLateRetries, "late retries of %d crashes", len(all))
}

// checkLimits requires that no run of a till got more than its limit allows, from gateways that had
// heard of it.
func (s *soak) checkLimits() {
	for _, m := range s.mortal {
		counted := s.countedReceipts(m)
		s.t.Logf("%s got %d requests, %d count for its limit", m.addr, len(m.receipts), len(counted))
		for i, first := range counted {
			n, highest := 0, 0.0
			for _, r := range counted[i:] {
				if r.run == first.run && r.at.Sub(first.at) < limitWindow {
					n++
					highest = max(highest, r.limit)
				}
			}
			require.LessOrEqual(s.t, float64(n), limitFactor*highest*limitWindow.Seconds()+limitSlack, "requests at %s", m.addr)
		}
	}
}

// countedReceipts returns the requests that a server got after it has named a limit for contactTime,
// from gateways that had heard of it toldBefore or earlier and were not restarted, paused or stopped
// meanwhile.
func (s *soak) countedReceipts(m *mortalServer) []receipt {
	var counted []receipt
	var namedAt time.Time
	told := map[string]time.Time{}
	for i, r := range m.receipts {
		if r.limit == 0 || i == 0 || m.receipts[i-1].run != r.run || m.receipts[i-1].limit == 0 {
			namedAt = r.at
			clear(told)
		}
		gateway := s.sentTo[r.attempt]
		if gateway == "" || s.wasDisturbed(gateway, r.at, soakReload) {
			delete(told, gateway)
			continue
		}
		at, known := told[gateway]
		if !known {
			told[gateway] = r.at
			continue
		}
		if r.limit > 0 && r.at.Sub(namedAt) > contactTime && r.at.Sub(at) > toldBefore {
			counted = append(counted, r)
		}
	}
	return counted
}
