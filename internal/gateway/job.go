package gateway

import (
	"sync"
	"time"

	"ibisline/internal/history"
	"ibisline/internal/policy/prefix"
	"ibisline/internal/request"
	"ibisline/internal/structs"
)

// job is the state of a request while the gateway processes it.
type job struct {
	*request.Request
	route    *structs.Route
	service  structs.Service
	deadline time.Time
	// team is the team of the caller, nil if none was proven, and charged is set once the request was
	// taken from its quota.
	team    *structs.Team
	charged bool
	// maxBodyBytes limits what is sent to a server; 0 for the default.
	maxBodyBytes int64
	// input and chain are the new input of a turn that is kept, and the turns before it.
	input []byte
	chain history.Chain

	mu sync.Mutex
	// sentTo holds the names of servers that the request was sent to and that may run
	// it, notRunOn those that provably did not run it.
	sentTo   map[string]bool
	notRunOn map[string]bool
	// executionPossible is set once some server may have run the request.
	executionPossible bool
	summary           summary
}

func newJob(r *request.Request) *job {
	return &job{Request: r, sentTo: map[string]bool{}, notRunOn: map[string]bool{}, summary: summary{sends: []string{}}}
}

// affinity returns what requests have in common that should go to the same server.
func (j *job) affinity() string {
	if j.route.PrefersAffinity && j.Affinity != "" {
		return j.Affinity
	}
	return j.Session
}

// promptParts are the parts of a prompt that an engine may have to read.
type promptParts struct {
	// shared is the part that other prompts share, empty if there is none or the engines keep all such
	// parts anyway.
	shared prefix.Part
	// own is what belongs to the session.
	own prefix.Part
}

// promptParts returns the parts of a request's prompt.
func (g *Gateway) promptParts(j *job) promptParts {
	if len(j.Prompt) < 2 || !j.route.PrefersAffinity {
		return promptParts{}
	}
	parts := promptParts{own: prefix.Part{Tokens: j.PromptTokens - j.Prompt[0].Tokens}}
	if g.config.ScarceMemory {
		parts.shared = prefix.Part{ID: j.Prompt[0].ID, Tokens: j.Prompt[0].Tokens}
	}
	return parts
}

// triedServer reports whether the request was already sent to a server.
func (j *job) triedServer(server string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.sentTo[server] || j.notRunOn[server]
}

// markSent records a server before the request is sent to it, so that a concurrent send
// counts that server.
func (j *job) markSent(server string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.notRunOn, server)
	j.sentTo[server] = true
}

// markMayHaveRun records that a server may have run the request.
func (j *job) markMayHaveRun() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.executionPossible = true
}

// markNotRun records that a server did not run the request that was sent to it.
func (j *job) markNotRun(server string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.sentTo, server)
	j.notRunOn[server] = true
}

// rejected reports whether servers have rejected the request since they were last all eligible.
func (j *job) rejected() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.notRunOn) > 0
}

// clearNotRun makes the servers that did not run the request eligible again.
func (j *job) clearNotRun() {
	j.mu.Lock()
	defer j.mu.Unlock()
	clear(j.notRunOn)
}

// mayHaveRun reports whether some server may have run the request.
func (j *job) mayHaveRun() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.executionPossible
}

// maySendToAnother reports whether the route allows sending the request to one more server.
func (j *job) maySendToAnother() bool {
	if j.route.Kind == structs.AtMostOnce {
		return false
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.sentTo) < j.route.MaxServers
}
