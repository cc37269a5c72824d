// Package request defines the caller's request as decoded by the gateway, independent of
// the HTTP dialect of a platform.
package request

import (
	"net/http"
	"time"

	"ibisline/internal/structs"
)

// Request is one attempt of a caller to have a request run.
type Request struct {
	// ID identifies the attempt; a retry by the caller has a different ID.
	ID     string
	Method string
	Host   string
	// Target is the path with the query, as sent by the caller.
	Target string
	Path   string
	// Header holds the fields that are forwarded to the backend server.
	Header http.Header
	Body   []byte

	Arrived time.Time
	// CallerTimeout is how long the caller waits, counted from Arrived; 0 if unspecified.
	CallerTimeout time.Duration
	// ResumeAfter is the ID of the last event that the caller already has; 0 for none.
	ResumeAfter int

	// Key is the digest of the caller's key, nil without a single valid one.
	Key *structs.KeyDigest
	// Team is the team of the caller, empty if none was proven. ChecksKeys is set if the configuration
	// has teams: only then are fields about keys and teams withheld from the server.
	Team       string
	ChecksKeys bool
	// Program and Session identify the agent program and its sequence of turns.
	Program string
	Session string
	// Affinity is the same for all requests about one object, empty if unknown.
	Affinity string
	// PreviousTurn is the ID of the turn that this one continues, empty for none. On routes whose
	// turns are kept, Body then holds the new input only.
	PreviousTurn string
	// ProgramLeft is the time left until the deadline of the whole program; 0 if unknown.
	ProgramLeft time.Duration
	// Budget limits the tokens that all turns of the program generate in total; 0 if the
	// request is not a turn.
	Budget int
	// MaxTokens limits the tokens that this turn generates.
	MaxTokens    int
	PromptTokens int
	Prompt       []PromptPart
}

// PromptPart is a part of a prompt that several requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// IsTurn reports whether the request is a turn, which generates tokens on a program's budget.
func (r *Request) IsTurn() bool { return r.Budget > 0 && r.Program != "" }

// Deadline returns the time by which the caller must have the response: Arrived plus the
// shorter of the caller's timeout and the route's timeout. Without a caller's timeout, the
// route's applies.
func (r *Request) Deadline(timeout time.Duration) time.Time {
	if r.CallerTimeout > 0 && (timeout <= 0 || r.CallerTimeout < timeout) {
		return r.Arrived.Add(r.CallerTimeout)
	}
	return r.Arrived.Add(timeout)
}
