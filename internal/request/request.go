// Package request holds a caller's request as the gateway decides about it, apart
// from the wire on which it came.
package request

import (
	"net/http"
	"time"
)

// Request is one attempt of a caller.
type Request struct {
	// ID identifies the attempt; a repeated attempt has another one.
	ID     string
	Method string
	Host   string
	// Target is the path with the query, as it was sent.
	Target string
	Path   string
	// Header holds the fields that go on to the backend server.
	Header http.Header
	Body   []byte

	Arrived time.Time
	// Patience is the time for which the caller waits from Arrived on; 0 when
	// it did not say.
	Patience time.Duration
	// ResumeAfter is the last event that the caller already has; 0 for none.
	ResumeAfter int

	// Program and Session identify the agent program and its line of turns.
	Program string
	Session string
	// ProgramLeft is the time until the whole program should be finished; 0
	// when it is not known.
	ProgramLeft time.Duration
	// Budget bounds the tokens that all turns of the program generate; 0 for a
	// request that is no turn.
	Budget int
	// MaxTokens is the most that this turn generates, and LikelyTokens the
	// caller's estimate.
	MaxTokens    int
	LikelyTokens int
	PromptTokens int
	Prompt       []PromptPart
}

// PromptPart is a part of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// IsTurn reports whether the request generates tokens on a program's budget.
func (r *Request) IsTurn() bool { return r.Budget > 0 && r.Program != "" }

// Deadline returns the time at which the caller must have its answer, under a
// route's timeout.
func (r *Request) Deadline(timeout time.Duration) time.Time {
	if r.Patience > 0 && (timeout <= 0 || r.Patience < timeout) {
		return r.Arrived.Add(r.Patience)
	}
	return r.Arrived.Add(timeout)
}
