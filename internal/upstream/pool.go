package upstream

import (
	"container/list"
	"slices"
	"sync"
	"time"

	"ibisline/internal/structs"
)

// poolKey identifies one run of a server at one address, so that a connection is never
// reused for another server that has taken over the address.
type poolKey struct {
	server  string
	addr    string
	started int64
}

func keyOf(server structs.Server) poolKey {
	return poolKey{server: server.Name, addr: server.Addr, started: server.StartedMS}
}

// pool holds the idle connections of a client and limits the number of all of its connections.
type pool struct {
	// maxIdle limits the idle connections of one run of a server, and maxOpen all connections; 0 is no limit.
	maxIdle, maxOpen int

	mu sync.Mutex
	// open is the number of connections that are open or being opened.
	open int
	// idle holds the idle connections of each run of a server, the most recently used one last, and byAge
	// all of them, the most recently used one first.
	idle  map[poolKey][]*conn
	byAge *list.List
	// closed is set once no connection is kept any more.
	closed bool
}

func newPool(maxIdle, maxOpen int) *pool {
	return &pool{maxIdle: maxIdle, maxOpen: maxOpen, idle: map[poolKey][]*conn{}, byAge: list.New()}
}

// admit counts a connection that is to be opened. If there are too many, the one that has been idle for
// longest is closed; admit returns false if all are in use. Each admitted connection is released once.
func (p *pool) admit() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.maxOpen > 0 && p.open >= p.maxOpen && !p.closeOldest() {
		return false
	}
	p.open++
	return true
}

// release ends the count of a connection.
func (p *pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// closeOldest closes the connection that has been idle for longest, and returns false if there is none. The
// caller holds mu.
func (p *pool) closeOldest() bool {
	oldest := p.byAge.Back()
	if oldest == nil {
		return false
	}
	cn := oldest.Value.(*conn)
	p.remove(cn)
	p.open--
	_ = cn.Conn.Close()
	return true
}

// reclaim closes some of the connections that have been idle for longest, and returns false if there is none.
func (p *pool) reclaim() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	reclaimed := false
	for range reclaimedConns {
		reclaimed = p.closeOldest() || reclaimed
	}
	return reclaimed
}

// reclaimedConns is the number of connections that are closed when the process has no descriptor left.
const reclaimedConns = 16

// take removes and returns the most recently used idle connection of a run of a server on which a request
// was not rejected before, nil if there is none.
func (p *pool) take(key poolKey, requestID string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, cn := range slices.Backward(p.idle[key]) {
		if !slices.Contains(cn.rejected, requestID) {
			p.remove(cn)
			return cn
		}
	}
	return nil
}

// put keeps a connection until it expires, and returns false if there are enough of its server.
func (p *pool) put(cn *conn, expires time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[cn.key]) >= p.maxIdle {
		return false
	}
	cn.expires = expires
	cn.idle = p.byAge.PushFront(cn)
	p.idle[cn.key] = append(p.idle[cn.key], cn)
	return true
}

// remove removes an idle connection. The caller holds mu.
func (p *pool) remove(cn *conn) {
	p.byAge.Remove(cn.idle)
	cn.idle = nil
	left := slices.DeleteFunc(p.idle[cn.key], func(held *conn) bool { return held == cn })
	if len(left) == 0 {
		delete(p.idle, cn.key)
		return
	}
	p.idle[cn.key] = left
}

// closeStale closes the idle connections that have expired, and those of the runs that keep does not report.
func (p *pool) closeStale(now time.Time, keep func(poolKey) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, idle := range p.idle {
		kept := keep(key)
		for _, cn := range slices.Clone(idle) {
			if !kept || !now.Before(cn.expires) {
				p.remove(cn)
				p.open--
				_ = cn.Conn.Close()
			}
		}
	}
}

// counts returns the number of connections, and that of the idle ones among them.
func (p *pool) counts() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, p.byAge.Len()
}
