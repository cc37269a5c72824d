//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runner is a stand-in of a sound runner: an engine, which streams events, or a plain server.
type runner struct {
	id, service, zone, addr string
	slots, queue            int
	born                    int64
	// gap is the time before each event of a stream, and work that of another request.
	gap, work time.Duration
	log       *record
	// longQueue is the number of waiting requests from which on new connections are reset; 0: never.
	longQueue int
	// loses decides for a run of the engine after how many events its answer is lost by a reset of the
	// connection; 0: it is not. The run goes on.
	loses func() int
	// losesEnd decides at the end of a run of the engine whether the end of its answer is lost by a reset of the
	// connection.
	losesEnd func() bool
	// arrived, if set, is told of each request for this runner.
	arrived func(id, lastEvent string)

	mu       sync.Mutex
	admitted int
	// draining is set once the runner is leaving, and ended once it has exited.
	draining, ended bool
	// running is the number of requests that have a slot, resets that of the connections that were reset.
	running, resets int
	places          chan struct{}
	sequence        int
	server          *http.Server
}

// tokensPerEvent is the engine's chunkTokens.
const tokensPerEvent = 35

func newRunner(id, service, zone string, slots, queue int, log *record) *runner {
	return &runner{
		id: id, service: service, zone: zone, slots: slots, queue: queue, born: time.Now().UnixMilli(),
		gap: 20 * time.Millisecond, work: 10 * time.Millisecond, places: make(chan struct{}, slots), log: log,
	}
}

func (r *runner) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.addr = listener.Addr().String()
	r.server = &http.Server{Handler: r, IdleTimeout: 20 * time.Second}
	go r.server.Serve(&cappedListener{Listener: listener, runner: r})
	return nil
}

// entry is what the runner writes about itself into the store.
func (r *runner) entry(state string) map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	return map[string]any{
		"service": r.service, "address": r.addr, "zone": r.zone, "version": 1, "slots": r.slots, "state": state,
		"coldLeftMs": 0, "sequence": r.sequence, "born": r.born,
	}
}

func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Attempt-Id")
	header := w.Header()
	header.Set("Attempt-Id", id)
	header.Set("Instance-Id", r.id)
	header.Set("Server-Stamp", "stamp."+r.id+"."+id)
	if state, _ := r.state(); state == "draining" {
		header.Set("Connection", "close")
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	if expected := q.Header.Get("Expect-Instance"); expected != "" && expected != r.id {
		header.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if q.URL.Path == "/healthz" {
		return
	}
	if r.arrived != nil {
		r.arrived(id, q.Header.Get("Last-Event-Id"))
	}
	r.mu.Lock()
	full := r.admitted >= r.slots+r.queue
	if !full {
		r.admitted++
	}
	r.mu.Unlock()
	if full {
		header.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		r.mu.Lock()
		r.admitted--
		r.mu.Unlock()
	}()
	select {
	case r.places <- struct{}{}:
	case <-q.Context().Done():
		return
	}
	defer func() { <-r.places }()
	r.changeRunning(1)
	defer r.changeRunning(-1)
	work := r.log.run(r.id, id, len(body))
	defer r.log.endRun(work)
	if r.service != engineService {
		select {
		case <-time.After(r.work):
			fmt.Fprintf(w, "answer of %s to %s\n", r.id, id)
		case <-q.Context().Done():
		}
		return
	}
	r.stream(w, q)
}

// stream sends one event for each tokensPerEvent of the request's most tokens.
func (r *runner) stream(w http.ResponseWriter, q *http.Request) {
	_, most, _ := strings.Cut(q.Header.Get("Token-Usage"), ",")
	tokens, _ := strconv.Atoi(most)
	after, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	lostAfter := 0
	if r.loses != nil {
		lostAfter = r.loses()
	}
	last := tokens / tokensPerEvent
	for id := after + 1; id <= last; id++ {
		if lostAfter > 0 && id > lostAfter {
			if id == lostAfter+1 {
				r.lose(w, q)
			}
			time.Sleep(r.gap)
			continue
		}
		select {
		case <-time.After(r.gap):
		case <-q.Context().Done():
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: event %d of %s\n\n", id, id, q.Header.Get("Attempt-Id"))
		w.(http.Flusher).Flush()
	}
	if r.losesEnd != nil && r.losesEnd() {
		r.lose(w, q)
	}
}

// lose resets the connection of a request.
func (r *runner) lose(w http.ResponseWriter, q *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	r.log.note("lost     the answer to %s at %s", q.Header.Get("Attempt-Id"), r.id)
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

func (r *runner) changeRunning(by int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running += by
}

// takesConnections reports whether the runner accepts a further connection.
func (r *runner) takesConnections() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.longQueue == 0 || r.admitted-r.running < r.longQueue {
		return true
	}
	r.resets++
	return false
}

// cappedListener resets the connections beyond those that the runner accepts.
type cappedListener struct {
	net.Listener
	runner *runner
}

func (l *cappedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil || l.runner.takesConnections() {
			return conn, err
		}
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

// exit ends the runner and its connections.
func (r *runner) exit() {
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
	_ = r.server.Close()
}

func (r *runner) state() (state string, ended bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		return "draining", r.ended
	}
	return "ready", r.ended
}
