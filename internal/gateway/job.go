package gateway

import (
	"sync"
	"time"

	"ibisline/internal/request"
	"ibisline/internal/structs"
)

// job is a request on its way through the gateway.
type job struct {
	*request.Request
	route    *structs.Route
	service  structs.Service
	deadline time.Time

	mu sync.Mutex
	// ran names the servers that may have run the request, unrun those that
	// provably did not.
	ran   map[string]bool
	unrun map[string]bool
	// begun is set once any server may have run the request.
	begun bool
}

func newJob(r *request.Request) *job {
	return &job{Request: r, ran: map[string]bool{}, unrun: map[string]bool{}}
}

// tried reports whether the request was sent to a server.
func (j *job) tried(server string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.ran[server] || j.unrun[server]
}

// addRun notes a server that may have run the request.
func (j *job) addRun(server string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.unrun, server)
	j.ran[server] = true
	j.begun = true
}

// addUnrun notes a server that did not run the request.
func (j *job) addUnrun(server string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.ran[server] {
		j.unrun[server] = true
	}
}

// forgetUnrun lets the servers that did not run the request be asked again.
func (j *job) forgetUnrun() {
	j.mu.Lock()
	defer j.mu.Unlock()
	clear(j.unrun)
}

// forgetRun takes a server out of those to which the request was sent, once it is
// known to have ended: it no longer counts among those that a route allows.
func (j *job) forgetRun(server string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.ran, server)
}

// mayHaveRun reports whether any server may have run the request.
func (j *job) mayHaveRun() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.begun
}

// mayRunElsewhere reports whether the request may be sent to one more server.
func (j *job) mayRunElsewhere() bool {
	if j.route.Kind == structs.AtMostOnce {
		return false
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.ran) < j.route.MaxServers
}
