package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// firstRequestGrace is the time that a caller has for its first request on a connection while the
// daemon stops.
const firstRequestGrace = time.Second

// connTracker knows which connections of callers have a request in progress. It is safe for
// concurrent use.
type connTracker struct {
	mu sync.Mutex
	// fresh holds the connections without any request yet, and when they were accepted; active those
	// with a request in progress.
	fresh  map[net.Conn]time.Time
	active map[net.Conn]bool
}

func newConnTracker() *connTracker {
	return &connTracker{fresh: map[net.Conn]time.Time{}, active: map[net.Conn]bool{}}
}

// record records the new state of a connection.
func (t *connTracker) record(conn net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.fresh, conn)
	delete(t.active, conn)
	switch state {
	case http.StateNew:
		t.fresh[conn] = time.Now()
	case http.StateActive:
		t.active[conn] = true
	}
}

// busy reports whether a request is in progress, or may be on its way on a new connection.
func (t *connTracker) busy(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, acceptedAt := range t.fresh {
		if now.Sub(acceptedAt) < firstRequestGrace {
			return true
		}
	}
	return len(t.active) > 0
}
