// Package journal stores the durable state of a shard of programs in one platform
// object. Every write is a conditional update of that object; changes that arrive
// during a write are batched into the next one. An epoch in the object fences the
// homes of the shard: claiming the shard raises the epoch, and the next write of
// the previous home fails.
package journal

import (
	"crypto/sha256"
	"slices"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"ibisline/internal/budget"
	"ibisline/internal/structs"
)

// State is the content of a shard object.
type State struct {
	Shard structs.ShardID `msgpack:"s"`
	// Epoch increases with each claim.
	Epoch int64 `msgpack:"e"`
	// Home is the daemon that holds the shard. It is empty after a handover.
	Home string `msgpack:"h"`
	// Nonce identifies the write that stored this state.
	Nonce string `msgpack:"n"`
	// NextSegment is the number of the last segment key assigned in this epoch.
	NextSegment int64 `msgpack:"g"`
	// Segments are the keys of the segment objects that are not deleted yet.
	Segments []string            `msgpack:"o,omitempty"`
	Programs map[string]*Program `msgpack:"p"`
}

// Program is the record of one program.
type Program struct {
	Entry  string `msgpack:"e"`
	Owner  string `msgpack:"o"`
	Parent string `msgpack:"p,omitempty"`
	// Root is the root program of the tree of sub-agents. Its record holds the
	// budget of the tree.
	Root string `msgpack:"r"`
	// Turns is the number of finished turns.
	Turns int `msgpack:"t"`
	// Digest is the head of the digest chain over the history; see NextDigest.
	Digest []byte        `msgpack:"d,omitempty"`
	Tokens budget.Escrow `msgpack:"k"`
	Calls  budget.Escrow `msgpack:"c"`
	// ContextTokens is the context length after the last turn, as counted by an
	// engine that serves Model.
	ContextTokens int    `msgpack:"x,omitempty"`
	Model         string `msgpack:"m,omitempty"`
	// UsedTokens is the number of tokens used by this program's own turns.
	UsedTokens int `msgpack:"u,omitempty"`
	// Orders are the non-repeatable calls by idempotency key.
	Orders map[string]*Order `msgpack:"w,omitempty"`
	// Engines are the engines that may hold KV cache of the program.
	// EnginesIncomplete is set if a turn may have run on an engine that is not listed.
	Engines           []string `msgpack:"g,omitempty"`
	EnginesIncomplete bool     `msgpack:"a,omitempty"`
	// Blocks reference the older turns, stored in segment objects. Tail holds the
	// newest turns.
	Blocks []Block `msgpack:"b,omitempty"`
	Tail   []Turn  `msgpack:"l,omitempty"`
	Ended  bool    `msgpack:"z,omitempty"`
	// EndedAt is the time of the end in Unix seconds.
	EndedAt int64 `msgpack:"y,omitempty"`

	// encoded is the cached encoding of the record, or nil after Edit.
	encoded []byte
}

// Order is the record of a non-repeatable call. Without Outcome it is an intent: the
// call may have been sent.
type Order struct {
	// Content is the hash of the request; see CallContent.
	Content []byte `msgpack:"c"`
	// Server is the backend server selected for the call.
	Server structs.Server `msgpack:"s"`
	// Epoch is the epoch of the shard in which the intent was written.
	Epoch   int64              `msgpack:"e"`
	Outcome *structs.CallReply `msgpack:"o,omitempty"`
	// Body is the key of the segment object that holds the body of the outcome if
	// it is too large for the shard object.
	Body string `msgpack:"b,omitempty"`
	// BodyLost is set if the body could not be stored.
	BodyLost bool `msgpack:"l,omitempty"`
}

// Turn is one finished turn in the history of a program.
type Turn struct {
	Number int `msgpack:"n"`
	// Content is the hash of the request; see TurnContent.
	Content  []byte            `msgpack:"c"`
	Messages []structs.Message `msgpack:"m"`
	Answer   string            `msgpack:"a"`
	// EventLengths are the lengths of the streamed events of the answer in bytes.
	EventLengths []int         `msgpack:"p,omitempty"`
	Usage        structs.Usage `msgpack:"u"`
	Engine       string        `msgpack:"e,omitempty"`
	// ExecutionID identifies the execution that produced the answer.
	ExecutionID string `msgpack:"r,omitempty"`
	Digest      []byte `msgpack:"d"`
}

// Block references the segment object that holds the turns First to Last.
type Block struct {
	Segment string `msgpack:"s"`
	First   int    `msgpack:"f"`
	Last    int    `msgpack:"l"`
	// Bytes is the estimated encoded size of the turns.
	Bytes int `msgpack:"b"`
}

// NewState returns the empty state of a shard that was never claimed.
func NewState(id structs.ShardID) *State {
	return &State{Shard: id, Programs: map[string]*Program{}}
}

// Claim makes home the holder under the next epoch. Unless the previous holder
// released the shard, its unrecorded work is assumed done: open grants are forfeited
// and any engine may hold KV cache of the programs.
func (s *State) Claim(home string) {
	clean := s.Home == ""
	s.Epoch++
	s.Home = home
	s.NextSegment = 0
	if clean {
		return
	}
	for id := range s.Programs {
		p := s.Edit(id)
		p.Tokens.Forfeit()
		p.Calls.Forfeit()
		p.EnginesIncomplete = true
	}
}

// Release removes the holder and settles the budgets. No work may be in progress.
func (s *State) Release() {
	s.Home = ""
	for id := range s.Programs {
		p := s.Edit(id)
		p.Tokens.Settle()
		p.Calls.Settle()
	}
}

// Edit returns the record of a program for modification, or nil if it is unknown.
// Records obtained in any other way are read-only, because their encoding is cached
// between writes.
func (s *State) Edit(id string) *Program {
	p, ok := s.Programs[id]
	if !ok {
		return nil
	}
	p.encoded = nil
	return p
}

// Encode returns the encoded shard object.
func (s *State) Encode() ([]byte, error) {
	value, err := msgpack.Marshal(s)
	if err != nil {
		return nil, errors.Wrap(err, "encode shard")
	}
	return value, nil
}

// Decode decodes a shard object.
func Decode(value []byte) (*State, error) {
	state := &State{}
	if err := msgpack.Unmarshal(value, state); err != nil {
		return nil, errors.Wrap(err, "decode shard")
	}
	if state.Programs == nil {
		state.Programs = map[string]*Program{}
	}
	return state, nil
}

// TreeTurns returns the number of finished turns of all programs in the tree of root.
func (s *State) TreeTurns(root string) int {
	turns := 0
	for _, p := range s.Programs {
		if p.Root == root {
			turns += p.Turns
		}
	}
	return turns
}

// AddTurn appends a finished turn to the tail and updates turn count, digest and
// token usage.
func (p *Program) AddTurn(turn Turn) {
	p.Turns = turn.Number
	p.Digest = turn.Digest
	p.Tail = append(p.Tail, turn)
	p.UsedTokens += turn.Usage.Total()
}

// AddEngine records that an engine may hold KV cache of the program.
func (p *Program) AddEngine(name string) {
	if name != "" && !slices.Contains(p.Engines, name) {
		p.Engines = append(p.Engines, name)
	}
}

// DropEngine records that an engine released the KV cache of the program.
func (p *Program) DropEngine(name string) {
	p.Engines = slices.DeleteFunc(p.Engines, func(e string) bool { return e == name })
}

// NextDigest returns the next element of the digest chain: a hash of the previous
// digest, the program ID, the turn number, the messages and the answer.
func NextDigest(previous []byte, program string, number int, messages []structs.Message, answer string) []byte {
	fields := [][]byte{previous, []byte(program), []byte(strconv.Itoa(number))}
	for _, m := range messages {
		fields = append(fields, []byte(m.Role), []byte(m.Content))
	}
	fields = append(fields, []byte(answer))
	return hash(fields)
}

// TurnContent returns the hash that identifies the content of a turn request.
func TurnContent(r structs.TurnRequest) []byte {
	fields := [][]byte{[]byte(r.Model), []byte(strconv.Itoa(r.MaxTokens))}
	for _, m := range r.Messages {
		fields = append(fields, []byte(m.Role), []byte(m.Content))
	}
	return hash(fields)
}

// CallContent returns the hash that identifies the content of a call request.
func CallContent(r structs.CallRequest) []byte {
	return hash([][]byte{[]byte(r.Service), []byte(r.Path), r.Body})
}

// hash returns the SHA-256 of the length-prefixed fields, so that field boundaries
// are part of the hash.
func hash(fields [][]byte) []byte {
	h := sha256.New()
	for _, field := range fields {
		h.Write([]byte(strconv.Itoa(len(field)) + ":"))
		h.Write(field)
	}
	return h.Sum(nil)
}

// TreeUsedTokens returns the number of tokens used by all programs in the tree of root.
func (s *State) TreeUsedTokens(root string) int {
	used := 0
	for _, p := range s.Programs {
		if p.Root == root {
			used += p.UsedTokens
		}
	}
	return used
}
