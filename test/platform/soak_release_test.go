package platform_test

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/platform/platformtest"
)

const (
	// soakDrain is the time after which a server that is draining must get no request any more, and
	// soakServesOn how much longer it serves.
	soakDrain    = 2500 * time.Millisecond
	soakServesOn = 1500 * time.Millisecond
	// longEvents are the events of a long stream, longGap apart, and longBudgetTurns the budget of its program.
	longEvents      = 12
	longGap         = 250 * time.Millisecond
	longBudgetTurns = 4
	longTurnTokens  = longEvents * tokensPerEvent
	// soakMemoryMB is the memory of a gateway, and soakBody the size of a long body: a few of them fit.
	soakMemoryMB = 64
	soakBody     = 1_000_000
)

// releases are the engines that are replaced in a soak, and what their callers got.
type releases struct {
	mu sync.Mutex
	// ready are the engines that may be replaced, the one that was started first at the beginning.
	ready   []releasedEngine
	started int
	// drainedAt holds when the platform accepted that an engine is draining, by its name.
	drainedAt map[string]time.Time
	streams   []answer
}

// releasedEngine is an engine with what is needed to end it.
type releasedEngine struct {
	name, addr string
	location   int
	server     *platformtest.Server
	listener   net.Listener
}

// replyOfEngine streams the events of a run. Every eighth long stream loses its end.
func replyOfEngine(run platformtest.Run) platformtest.Reply {
	if run.Header.Get("Long") == "" {
		return platformtest.Reply{Events: []string{"one of " + run.ID, "two of " + run.ID}}
	}
	events := make([]string, longEvents)
	length := 0
	for i := range events {
		events[i] = fmt.Sprintf("%d of %s", i+1, run.ID)
		length += len(fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, events[i]))
	}
	reply := platformtest.Reply{Events: events, EventGap: longGap}
	if run.Header.Get("Last-Event-Id") == "" && strings.HasSuffix(run.ID, "7") {
		reply.CutAfter = length - 1
	}
	return reply
}

// startEngine starts an engine and registers it.
func (s *soak) startEngine() {
	r := &s.releases
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Errorf("start an engine: %v", err)
		return
	}
	r.mu.Lock()
	r.started++
	e := releasedEngine{
		name: fmt.Sprint("engine-new-", r.started), addr: listener.Addr().String(), location: r.started % len(locations), listener: listener,
	}
	r.mu.Unlock()
	e.server = platformtest.NewServer(e.name)
	e.server.Script(replyOfEngine)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.server.Serve(conn)
		}
	}()
	s.t.Cleanup(func() { listener.Close() })
	s.retry("register "+e.name, func() error {
		return s.tryPut("servers/"+e.name, serverEntry(engines, e.location, e.addr, "ready"))
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ready = append(r.ready, e)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers[e.name] = e.server
}

// releaseEngine replaces the engine that was started first: the new one starts, the old one drains and ends.
func (s *soak) releaseEngine() {
	s.begin("release of", "an engine", func() {
		s.startEngine()
		r := &s.releases
		r.mu.Lock()
		old := r.ready[0]
		r.ready = r.ready[1:]
		r.mu.Unlock()
		s.retry("drain "+old.name, func() error {
			return s.tryPut("servers/"+old.name, serverEntry(engines, old.location, old.addr, "draining"))
		})
		r.mu.Lock()
		r.drainedAt[old.name] = time.Now()
		r.mu.Unlock()
		time.Sleep(soakDrain + soakServesOn)
		old.listener.Close()
		old.server.Crash()
		s.retry("remove "+old.name, func() error { return s.tryRemove("servers/" + old.name) })
	})
}

// replaceEngines replaces the engines of the fleet by some that are released.
func (s *soak) replaceEngines() {
	s.releases.drainedAt = map[string]time.Time{}
	for name, server := range s.servers {
		if strings.HasPrefix(name, "engine-") {
			// It may get requests for a while.
			server.Script(replyOfEngine)
			s.removeEntry("servers/" + name)
		}
	}
	for range len(locations) {
		s.startEngine()
	}
}

// runLongStreams sends long turns, which are resumed at their end, to one gateway after the other. Their programs
// have far larger turns than all others.
func (s *soak) runLongStreams(planned bool, stop <-chan struct{}) {
	var streams sync.WaitGroup
	defer streams.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(4 * pollInterval):
		}
		name := s.names[n%len(s.names)]
		streams.Go(func() {
			got := s.callWith(s.client, name, http.MethodPost, "/turn/1", s.recordAttempt(name), func(r *http.Request) {
				r.Header.Set("Long", "1")
				r.Header.Set("Program-Id", fmt.Sprint("long-", planned, n/3))
				r.Header.Set("Token-Budget", fmt.Sprint(longBudgetTurns*longTurnTokens))
				r.Header.Set("Token-Usage", fmt.Sprintf("10,%d", longTurnTokens))
			})
			s.releases.mu.Lock()
			defer s.releases.mu.Unlock()
			s.releases.streams = append(s.releases.streams, got)
		})
	}
}

// runLongBodies sends orders whose bodies do not fit into a gateway together, over kept connections.
func (s *soak) runLongBodies(planned bool, stop <-chan struct{}) {
	var callers sync.WaitGroup
	defer callers.Wait()
	body := strings.Repeat("b", soakBody)
	for i := range 24 {
		callers.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
			defer client.CloseIdleConnections()
			// Several send to the same gateway at a time.
			for n := i / 12; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(pollInterval):
				}
				name, trouble := s.names[n%len(s.names)], ""
				if !planned {
					trouble = []string{"", "", "", troubleEarly, troubleStatus}[n%5]
				}
				got := s.callWith(client, name, http.MethodPost, "/redeem/1", s.recordAttempt(name), withBody(body),
					func(r *http.Request) { r.Header.Set("Trouble", trouble) })
				s.mu.Lock()
				if trouble == "" {
					s.answers = append(s.answers, soakAnswer{answer: got, planned: planned})
				} else {
					s.troubled = append(s.troubled, got)
				}
				s.mu.Unlock()
				if got.status != http.StatusOK {
					time.Sleep(max(retryAfter(got), soakRetryPause))
				}
			}
		})
	}
}

// Troubles of a server, by the header of the request: it answers during the upload with a 200 that has no length, sends a
// part of its body and closes the connection; or its status is 000.
const (
	troubleEarly  = "early"
	troubleStatus = "status"
)

// replyInTrouble makes a till answer as the header of a request says, and reports whether that is set.
func replyInTrouble(run platformtest.Run) (platformtest.Reply, bool) {
	head := "Server-Stamp: stamp\r\nAttempt-Id: " + run.ID + "\r\n"
	return platformtest.Reply{Raw: "HTTP/1.1 000 \r\n" + head + "Content-Length: 6\r\n\r\nbroken"}, run.Header.Get("Trouble") == troubleStatus
}

// answerEarlyInTrouble is platformtest.Server.AnswerEarly for such a request.
func answerEarlyInTrouble(run platformtest.Run) string {
	if run.Header.Get("Trouble") != troubleEarly {
		return ""
	}
	return "HTTP/1.1 200 OK\r\nServer-Stamp: stamp\r\nAttempt-Id: " + run.ID + "\r\n\r\npart"
}

// checkTroubled requires that no caller took what a server in trouble has sent for an answer.
func (s *soak) checkTroubled() {
	ran, runs := 0, s.runsByAttempt()
	for _, a := range s.troubled {
		require.NotEqual(s.t, http.StatusOK, a.status, "%s got %q", a.id, a.body)
		require.False(s.t, a.status == http.StatusServiceUnavailable && runs[a.id] > 0, "%s was refused and ran", a.id)
		ran += runs[a.id]
	}
	s.t.Logf("%d requests to servers in trouble, %d ran", len(s.troubled), ran)
}

// checkReleases requires that no engine got a request long after it was draining, and that streams which are
// complete have each event once, also if they were resumed.
func (s *soak) checkReleases() {
	r := &s.releases
	released, resumed := 0, 0
	for name, drainedAt := range r.drainedAt {
		released++
		for _, run := range s.servers[name].Runs() {
			if run.Header.Get("Last-Event-Id") != "" {
				resumed++
			}
			late := run.At.Sub(drainedAt)
			require.False(s.t, late > soakDrain && s.inTouch(s.sentTo[run.ID], run.At), "%s reaches %s %s after it was draining:\n%s",
				run.ID, name, late, s.linesAbout(run.ID))
		}
	}
	whole, statuses := 0, map[int]int{}
	for _, a := range r.streams {
		statuses[a.status]++
		require.NotEqual(s.t, http.StatusPaymentRequired, a.status, "the budget holds all turns of the program")
		if a.status != http.StatusOK {
			continue
		}
		whole++
		var ids []string
		for line := range strings.Lines(a.body) {
			if id, found := strings.CutPrefix(line, "id: "); found {
				ids = append(ids, strings.TrimSpace(id))
			}
		}
		want := make([]string, longEvents)
		for i := range want {
			want[i] = fmt.Sprint(i + 1)
		}
		require.True(s.t, slices.Equal(want, ids), "%s got the events %v", a.id, ids)
	}
	s.t.Logf("%d engines released, %d of their runs were resumes; long streams by status: %v", released, resumed, statuses)
	require.Greater(s.t, whole, len(r.streams)/3, "long streams are served")
}

// checkConnections requires that gateways keep connections to present servers only, once these are idle.
func (s *soak) checkConnections() {
	s.waitUntil("connections to servers that are gone are closed", func() bool {
		for _, name := range s.names {
			if metric(s.client, "http://"+s.daemons[name].httpAddr+"/metrics", "ibisline_upstream_connections") > 16*(len(locations)+soakServers) {
				return false
			}
		}
		return true
	})
}

// metric returns the value of a metric without labels, or a very large one if it cannot be read.
func metric(client *http.Client, url, name string) int {
	const unknown = 1 << 30
	response, err := client.Get(url)
	if err != nil {
		return unknown
	}
	defer response.Body.Close()
	text, err := readAll(response)
	if err != nil {
		return unknown
	}
	for line := range strings.Lines(text) {
		value := unknown
		if rest, found := strings.CutPrefix(line, name+" "); found {
			if _, err := fmt.Sscan(rest, &value); err == nil {
				return value
			}
		}
	}
	return unknown
}
