// Package structs defines the messages and records shared by the services: requests
// of callers, requests to backend servers, and platform objects. It contains only
// small helpers and imports no service.
package structs

import (
	"time"

	"ibisline/internal/verdict"
)

// Message is one chat message. Role is "system", "user", "assistant" or "tool".
type Message struct {
	Role    string `json:"role" msgpack:"r"`
	Content string `json:"content" msgpack:"c"`
}

// OpenRequest opens a program under a catalogue entry. A sub-agent names its
// Parent and draws on the parent's budget. Key, when set, makes the call
// idempotent: the same Key opens the same program.
type OpenRequest struct {
	Entry  string `json:"entry" msgpack:"e"`
	Parent string `json:"parent,omitempty" msgpack:"p,omitempty"`
	Key    string `json:"key,omitempty" msgpack:"k,omitempty"`
	// Program is the identifier assigned by the front; see NewProgramID.
	Program string `json:"-" msgpack:"id"`
}

// OpenReply answers OpenRequest.
type OpenReply struct {
	Program string `json:"program" msgpack:"id"`
}

// TurnRequest is the next model call of a program. Turn is numbered from 1. Messages
// contains only the messages added since the previous turn.
type TurnRequest struct {
	Program   string    `json:"-" msgpack:"p"`
	Turn      int       `json:"turn" msgpack:"t"`
	Messages  []Message `json:"messages" msgpack:"m"`
	Model     string    `json:"model" msgpack:"o"`
	MaxTokens int       `json:"max_tokens" msgpack:"x"`
	// DeadlineMS bounds the time spent waiting for a slot, in milliseconds
	// from arrival; 0 means the configured default.
	DeadlineMS int `json:"deadline_ms,omitempty" msgpack:"d,omitempty"`
	// ResendFrom is set if Messages repeats the history of the program from that
	// turn on, after a refusal with a history gap.
	ResendFrom int `json:"resend_from,omitempty" msgpack:"f,omitempty"`
	// Digest is the digest of the last answer that the caller received, in
	// hexadecimal. It verifies resent history and is required with ResendFrom.
	Digest    string `json:"digest,omitempty" msgpack:"h,omitempty"`
	RequestID string `json:"-" msgpack:"q"`
}

// ResumeRequest asks for the events of an answer after event After.
type ResumeRequest struct {
	Program string `msgpack:"p"`
	Turn    int    `msgpack:"t"`
	After   int    `msgpack:"a"`
	// Run is the Run of the events that the caller already has. If it differs from
	// the current execution, delivery starts over at event 1.
	Run string `msgpack:"u,omitempty"`
	// From, if it has a checksum, replaces After: the front then verifies that the
	// text before it is unchanged. Homes ignore it.
	From      Position `msgpack:"-"`
	RequestID string   `msgpack:"q"`
}

// Event is one server-sent event of an answer. Seq is numbered from 1 without gaps.
// The final event has Done set, and either Usage and Engine, or Err.
type Event struct {
	Seq int `json:"seq" msgpack:"s"`
	// Run identifies the execution that produced the answer. Events of different
	// runs of a turn must not be combined.
	Run    string         `json:"run,omitempty" msgpack:"n,omitempty"`
	Text   string         `json:"text,omitempty" msgpack:"t,omitempty"`
	Done   bool           `json:"done,omitempty" msgpack:"d,omitempty"`
	Usage  *Usage         `json:"usage,omitempty" msgpack:"u,omitempty"`
	Engine string         `json:"engine,omitempty" msgpack:"e,omitempty"`
	Home   string         `json:"home,omitempty" msgpack:"h,omitempty"`
	Digest string         `json:"digest,omitempty" msgpack:"g,omitempty"`
	Err    *verdict.Error `json:"error,omitempty" msgpack:"x,omitempty"`
}

// Sink receives events in order. An error returned by it stops the delivery to this
// reader only; the turn itself continues.
type Sink func(Event) error

// Usage contains the token counts reported by the engine.
type Usage struct {
	PromptTokens int `json:"prompt_tokens" msgpack:"p"`
	CachedTokens int `json:"cached_tokens" msgpack:"c"`
	OutputTokens int `json:"completion_tokens" msgpack:"o"`
}

// Total is the number of tokens charged to a program's budget.
func (u Usage) Total() int { return u.PromptTokens + u.OutputTokens }

// CallRequest is a tool call to a plain service. Key identifies the call within the
// program; if empty, the front derives it from Turn, Service, Path and Body. A call
// with Repeatable false runs at most once.
type CallRequest struct {
	Program    string `json:"-" msgpack:"p"`
	Turn       int    `json:"turn" msgpack:"t"`
	Key        string `json:"key,omitempty" msgpack:"k"`
	Service    string `json:"service" msgpack:"s"`
	Path       string `json:"path" msgpack:"a"`
	Body       []byte `json:"body,omitempty" msgpack:"b"`
	Repeatable bool   `json:"repeatable" msgpack:"r"`
	TimeoutMS  int    `json:"timeout_ms,omitempty" msgpack:"m"`
	RequestID  string `json:"-" msgpack:"q"`
}

// CallReply is the outcome of a tool call. Status is the HTTP status returned by the
// plain service. Replayed is set if the outcome was returned from storage.
type CallReply struct {
	Status   int             `json:"status" msgpack:"s"`
	Body     []byte          `json:"body,omitempty" msgpack:"b"`
	Verdict  verdict.Verdict `json:"verdict" msgpack:"v"`
	Server   string          `json:"server,omitempty" msgpack:"e"`
	Home     string          `json:"home,omitempty" msgpack:"h"`
	Replayed bool            `json:"replayed,omitempty" msgpack:"y"`
}

// ProgramState is the state of a program that callers can read.
type ProgramState struct {
	Program     string `json:"program" msgpack:"p"`
	Entry       string `json:"entry" msgpack:"e"`
	Owner       string `json:"owner" msgpack:"o"`
	Parent      string `json:"parent,omitempty" msgpack:"r,omitempty"`
	Home        string `json:"home" msgpack:"h"`
	Epoch       int64  `json:"epoch" msgpack:"c"`
	NextTurn    int    `json:"next_turn" msgpack:"n"`
	Ended       bool   `json:"ended" msgpack:"d"`
	SpentTokens int    `json:"spent_tokens" msgpack:"s"`
	// BudgetLeft is in tokens; nil when the entry sets no budget.
	BudgetLeft *int     `json:"budget_left,omitempty" msgpack:"l,omitempty"`
	Engines    []string `json:"engines,omitempty" msgpack:"g,omitempty"`
	Digest     string   `json:"digest,omitempty" msgpack:"i,omitempty"`
}

// GenerateRequest is a model call that a home sends to a dispatcher. It is
// repeatable. Messages contains the complete prompt.
type GenerateRequest struct {
	Program string `msgpack:"p"`
	// Root is the root of the tree of sub-agents that Program belongs to.
	Root      string    `msgpack:"r"`
	Turn      int       `msgpack:"t"`
	Entry     string    `msgpack:"e"`
	Owner     string    `msgpack:"o"`
	Class     string    `msgpack:"c"`
	Model     string    `msgpack:"m"`
	Messages  []Message `msgpack:"g"`
	MaxTokens int       `msgpack:"x"`
	// PromptTokens is the home's upper bound estimate of the prompt length.
	PromptTokens int `msgpack:"n"`
	// AttainedTokens is the service that the whole program has received so far, in tokens.
	AttainedTokens int `msgpack:"a"`
	// Age is the time since the first call of the root program that the router of
	// its home recorded. The router sets it.
	Age time.Duration `msgpack:"b"`
	// LastEngine is the engine that ran the program's previous turn.
	LastEngine string `msgpack:"l"`
	// Source is the engine from which to import the KV cache of the program. The
	// router sets it. With the zero value nothing is imported.
	Source KVSource `msgpack:"s"`
	// Deadline is the latest time at which the request may be granted a slot.
	Deadline  time.Time `msgpack:"d"`
	RequestID string    `msgpack:"q"`
}

// KVSource is an engine that holds a KV cache of a program.
type KVSource struct {
	Engine string `msgpack:"e,omitempty"`
	// Addr is IP:port.
	Addr string `msgpack:"a,omitempty"`
	// Tokens is the estimated length of the prompt prefix cached there.
	Tokens int `msgpack:"t,omitempty"`
	// Timeout bounds the import; after it the prompt is recomputed instead.
	Timeout time.Duration `msgpack:"l,omitempty"`
}

// GenerateResult is the result of a finished model call.
type GenerateResult struct {
	Engine string `msgpack:"e"`
	Usage  Usage  `msgpack:"u"`
	// Finish is "stop" or "length".
	Finish string `msgpack:"f"`
}

// SlotRequest requests a slot at a plain service before a call is sent.
type SlotRequest struct {
	Program   string    `msgpack:"p"`
	Entry     string    `msgpack:"e"`
	Owner     string    `msgpack:"o"`
	Class     string    `msgpack:"c"`
	Service   string    `msgpack:"s"`
	Deadline  time.Time `msgpack:"d"`
	RequestID string    `msgpack:"q"`
}

// Slot is the right to open one connection to a plain service.
type Slot struct {
	ID     string `msgpack:"i"`
	Server Server `msgpack:"s"`
}
