// Package history keeps the turns of conversations, so that a caller sends only the new input of a
// turn and names the turn that it continues.
//
// A gateway stores a turn, with all turns before it, on the disks of several keepers before it ends
// the response, and reads a conversation from its own memory or from one keeper. Turns are immutable
// and have one writer, so copies need no agreement: a copy is either whole or missing.
package history

import (
	"ibisline/internal/history/turnlog"
)

// Turn is one turn of a conversation.
type Turn = turnlog.Turn

// Chain is a turn after all turns before it, oldest first.
type Chain []Turn

// Prompt returns what a server receives for a turn that continues the chain: for each turn its
// input and its output, then the new input.
func (c Chain) Prompt(input []byte) []byte {
	prompt := make([]byte, 0, c.Bytes()+len(input))
	for _, t := range c {
		prompt = append(prompt, t.Input...)
		prompt = append(prompt, t.Output...)
	}
	return append(prompt, input...)
}

// Bytes returns the size of all inputs and outputs.
func (c Chain) Bytes() int {
	size := 0
	for _, t := range c {
		size += len(t.Input) + len(t.Output)
	}
	return size
}

// Methods of a keeper.
const (
	methodAppend  = "history.append"
	methodChain   = "history.chain"
	methodEntries = "history.entries"
)

// appendRequest asks a keeper to store a turn, the last of Turns, after those before it.
type appendRequest struct {
	Turns []Turn `msgpack:"t"`
}

// appendReply is sent once the turns are durable. With UnknownPrevious nothing was stored: the
// keeper does not hold the turns before those of the request.
type appendReply struct {
	UnknownPrevious bool `msgpack:"u,omitempty"`
}

type chainRequest struct {
	ID string `msgpack:"i"`
}

// chainReply holds no turns if the keeper does not hold the turn. Complete is set if the keeper holds
// everything that it should, so that the turn was not lost with its disk.
type chainReply struct {
	Turns    []Turn `msgpack:"t,omitempty"`
	Complete bool   `msgpack:"c,omitempty"`
}

// entriesRequest asks a keeper for its state and, unless StateOnly is set, for the turns that it holds.
type entriesRequest struct {
	StateOnly bool `msgpack:"s,omitempty"`
}

// entriesReply lists the turns that a keeper holds. Complete is set if it holds everything that it should, and
// Retiring if its copies will be gone, as it is being emptied.
type entriesReply struct {
	Entries  []turnlog.Entry `msgpack:"e,omitempty"`
	Complete bool            `msgpack:"c,omitempty"`
	Retiring bool            `msgpack:"r,omitempty"`
}
