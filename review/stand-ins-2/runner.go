package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// runner is a stand-in of one start of a runner. It processes slots requests at once, queues some
// more, rejects further ones with Not-Executed, and drops a request whose connection closes.
type runner struct {
	id, service, zone, addr string
	slots, queue            int
	born                    int64
	listener                net.Listener
	scene                   *scene
	// work returns what to do with a request that begins to run.
	work func(run) outcome

	mu       sync.Mutex
	busy     int
	waiting  int
	freed    chan struct{}
	conns    map[net.Conn]bool // true while a request is in progress
	draining bool
	gone     bool
}

// run is a request that a runner began to work on.
type run struct {
	runner  *runner
	attempt string
	header  http.Header
	method  string
	target  string
	body    int
	at      time.Time
}

// outcome is how a runner works on one request.
type outcome struct {
	took time.Duration
	// lost: the request runs, and its connection is reset instead of an answer.
	lost bool
	// events, if positive, are sent as a stream, gap apart.
	events int
	gap    time.Duration
	size   int
}

// startRunner starts a runner at a free address, which takes maxConns connections at most. It is not listed yet.
func (s *scene) startRunner(id, service, zone string, slots, queue, maxConns int, work func(run) outcome) (*runner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{
		id: id, service: service, zone: zone, addr: listener.Addr().String(), slots: slots, queue: queue,
		born: time.Now().UnixMilli(), listener: listener, scene: s, work: work,
		freed: make(chan struct{}), conns: map[net.Conn]bool{},
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			r.mu.Lock()
			full := len(r.conns) >= maxConns
			if !full {
				r.conns[c] = false
			}
			r.mu.Unlock()
			if full {
				// Connections beyond the cap are reset.
				s.capped.Add(1)
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
				continue
			}
			go r.serve(c)
		}
	}()
	return r, nil
}

// register writes the runner's entry to the store.
func (r *runner) register(state string) {
	spec, _ := json.Marshal(map[string]any{
		"service": r.service, "address": r.addr, "zone": r.zone, "version": "v1", "slots": r.slots, "state": state,
		"coldLeftMs": 0, "sequence": 1, "born": r.born,
	})
	r.scene.store.put("servers", r.id, string(spec))
}

// leave drains the runner as the pages say: it serves for drain and a little longer, then it exits and
// its entry is removed.
func (r *runner) leave(drain time.Duration) {
	r.register("draining")
	time.Sleep(drain + 100*time.Millisecond)
	r.exit(false)
	r.scene.store.remove("servers", r.id)
}

// exit ends the runner: its listener and its connections close, with a reset after a crash.
func (r *runner) exit(crash bool) {
	r.mu.Lock()
	r.gone = true
	conns := r.conns
	r.conns = map[net.Conn]bool{}
	r.mu.Unlock()
	_ = r.listener.Close()
	for c := range conns {
		if crash {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	}
}

func (r *runner) serve(c net.Conn) {
	defer func() {
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		n, err := io.Copy(io.Discard, request.Body)
		if err != nil {
			return
		}
		if !r.handle(c, in, request, int(n)) {
			return
		}
	}
}

// handle answers one request and reports whether the connection is kept.
func (r *runner) handle(c net.Conn, in *bufio.Reader, request *http.Request, body int) bool {
	attempt := request.Header.Get("Attempt-Id")
	head := func(status int, more string, length int) string {
		return fmt.Sprintf("HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n", status, http.StatusText(status), attempt, more, length)
	}
	if want := request.Header.Get("Expect-Instance"); want != "" && want != r.id {
		_, err := io.WriteString(c, head(421, "Instance-Id: "+r.id+"\r\n", 0))
		return err == nil
	}
	// Whether the connection closes is seen while the request waits and runs.
	closed := make(chan struct{})
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			_ = c.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
			_, err := in.Peek(1)
			if err == nil {
				return
			}
			if t, ok := err.(net.Error); !ok || !t.Timeout() {
				close(closed)
				return
			}
			select {
			case <-stop:
				return
			default:
			}
		}
	}()
	defer func() {
		close(stop)
		<-done
		_ = c.SetReadDeadline(time.Time{})
	}()
	if !r.enter(closed) {
		select {
		case <-closed:
			return false
		default:
		}
		r.scene.record.note("runner %s is full: rejects %s", r.id, attempt)
		_, err := io.WriteString(c, head(503, "Not-Executed: 1\r\n", 0))
		return err == nil
	}
	defer r.leaveSlot()
	running := run{
		runner: r, attempt: attempt, header: request.Header, method: request.Method, target: request.RequestURI,
		body: body, at: time.Now(),
	}
	o := r.work(running)
	r.scene.ran(running)
	stamp := "Server-Stamp: " + r.id + "." + attempt + "\r\n"
	if o.events > 0 {
		return r.stream(c, closed, attempt, stamp, o)
	}
	select {
	case <-time.After(o.took):
	case <-closed:
		r.scene.record.note("runner %s drops %s: its connection closed", r.id, attempt)
		return false
	}
	if o.lost {
		r.scene.record.note("runner %s has run %s, its answer is lost", r.id, attempt)
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	}
	r.scene.record.note("runner %s answers %s", r.id, attempt)
	text := make([]byte, max(o.size, 1))
	for i := range text {
		text[i] = 'a' + byte(i%26)
	}
	_, err := io.WriteString(c, head(200, stamp, len(text))+string(text))
	return err == nil
}

func (r *runner) stream(c net.Conn, closed chan struct{}, attempt, stamp string, o outcome) bool {
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", attempt, stamp); err != nil {
		return false
	}
	for i := 1; i <= o.events; i++ {
		select {
		case <-time.After(o.gap):
		case <-closed:
			r.scene.record.note("runner %s drops %s: its connection closed", r.id, attempt)
			return false
		}
		event := "id: " + strconv.Itoa(i) + "\ndata: token\n\n"
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	r.scene.record.note("runner %s ends the stream of %s", r.id, attempt)
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// enter waits for a slot, in the queue if there is room. It returns false if there is none, or if
// the connection closes meanwhile.
func (r *runner) enter(closed chan struct{}) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy < r.slots && r.waiting == 0 {
		r.busy++
		return true
	}
	if r.waiting >= r.queue {
		return false
	}
	r.waiting++
	for r.busy >= r.slots {
		freed := r.freed
		r.mu.Unlock()
		select {
		case <-freed:
		case <-closed:
			r.mu.Lock()
			r.waiting--
			return false
		}
		r.mu.Lock()
	}
	r.waiting--
	r.busy++
	return true
}

func (r *runner) leaveSlot() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.busy--
	close(r.freed)
	r.freed = make(chan struct{})
}
