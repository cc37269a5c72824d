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
	// ran names the servers to which the request was sent, unrun those of them
	// that provably did not run it.
	ran   map[string]bool
	unrun map[string]bool
	// begun is set once any server may have run the request.
	begun   bool
	account account
}

func newJob(r *request.Request) *job {
	return &job{Request: r, ran: map[string]bool{}, unrun: map[string]bool{}, account: account{sends: []string{}}}
}

// tried reports whether the request was sent to a server.
func (j *job) tried(server string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.ran[server] || j.unrun[server]
}

// addSent notes a server to which the request is about to be sent, so that another
// send beside it counts it.
func (j *job) addSent(server string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.unrun, server)
	j.ran[server] = true
}

// addRun notes that a server to which the request was sent may have run it.
func (j *job) addRun() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.begun = true
}

// addUnrun notes that a server to which the request was sent did not run it.
func (j *job) addUnrun(server string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.ran, server)
	j.unrun[server] = true
}

// forgetUnrun lets the servers that did not run the request be asked again.
func (j *job) forgetUnrun() {
	j.mu.Lock()
	defer j.mu.Unlock()
	clear(j.unrun)
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
