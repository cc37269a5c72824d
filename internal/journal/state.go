// Package journal keeps the durable record of a shard of programs in one object
// of the platform. Every change is a conditional update of that object, and
// changes that arrive while a write is under way share the next one. An epoch in
// the object fences the homes of the shard: taking over raises it, and the
// former home's next write fails.
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
	// Epoch grows with each change of the home.
	Epoch int64 `msgpack:"e"`
	// Home is the daemon that holds the shard; empty after a hand-over.
	Home string `msgpack:"h"`
	// Nonce is unique to the write that stored this state.
	Nonce string `msgpack:"n"`
	// NextSegment numbers the segment objects of this epoch.
	NextSegment int64 `msgpack:"g"`
	// Segments are the segment objects of this shard that are not deleted yet.
	Segments []string            `msgpack:"o,omitempty"`
	Programs map[string]*Program `msgpack:"p"`
}

// Program is the record of one program.
type Program struct {
	Entry  string `msgpack:"e"`
	Owner  string `msgpack:"o"`
	Parent string `msgpack:"p,omitempty"`
	// Root is the top of the tree of sub-agents. The budget of the tree is kept
	// in the root's record.
	Root string `msgpack:"r"`
	// Turns is the number of finished turns.
	Turns int `msgpack:"t"`
	// Digest covers the whole history; see NextDigest.
	Digest []byte        `msgpack:"d,omitempty"`
	Tokens budget.Escrow `msgpack:"k"`
	Calls  budget.Escrow `msgpack:"c"`
	// Context is the length of the context after the last turn in tokens, as
	// counted by an engine of Model.
	Context int    `msgpack:"x,omitempty"`
	Model   string `msgpack:"m,omitempty"`
	// Used is the number of tokens of this program's own turns.
	Used int `msgpack:"u,omitempty"`
	// Orders are the non-repeatable calls by key.
	Orders map[string]*Order `msgpack:"w,omitempty"`
	// Engines may hold KV memory of the program. AnyEngine is set when a turn
	// may have run at an engine that is not known.
	Engines   []string `msgpack:"g,omitempty"`
	AnyEngine bool     `msgpack:"a,omitempty"`
	// Blocks are the parts of the history kept in segment objects, Tail the
	// newest part, kept here.
	Blocks []Block `msgpack:"b,omitempty"`
	Tail   []Turn  `msgpack:"l,omitempty"`
	Ended  bool    `msgpack:"z,omitempty"`
	// EndedAt is in seconds since 1970.
	EndedAt int64 `msgpack:"y,omitempty"`

	// encoded is the record as last encoded, or nil after an edit.
	encoded []byte
}

// Order is a non-repeatable call. Without Outcome it is an intent: the call may
// have been sent.
type Order struct {
	// Content identifies the request; see CallContent.
	Content []byte `msgpack:"c"`
	// Server is the backend server that the call was meant for.
	Server structs.Server `msgpack:"s"`
	// Epoch is the one under which the intent was written.
	Epoch   int64              `msgpack:"e"`
	Outcome *structs.CallReply `msgpack:"o,omitempty"`
	// Body names the segment object that holds the outcome's body, when it is
	// too large for the shard object.
	Body string `msgpack:"b,omitempty"`
	// BodyLost is set when the body could not be kept.
	BodyLost bool `msgpack:"l,omitempty"`
}

// Turn is one finished turn of a program's history.
type Turn struct {
	Number int `msgpack:"n"`
	// Content identifies the request; see TurnContent.
	Content  []byte            `msgpack:"c"`
	Messages []structs.Message `msgpack:"m"`
	Answer   string            `msgpack:"a"`
	// Pieces are the lengths in bytes of the answer's events.
	Pieces []int         `msgpack:"p,omitempty"`
	Usage  structs.Usage `msgpack:"u"`
	Engine string        `msgpack:"e,omitempty"`
	// Run identifies the execution that gave the answer.
	Run    string `msgpack:"r,omitempty"`
	Digest []byte `msgpack:"d"`
}

// Block names the segment object that holds the turns First to Last.
type Block struct {
	Segment string `msgpack:"s"`
	First   int    `msgpack:"f"`
	Last    int    `msgpack:"l"`
	// Bytes estimates the size of the turns.
	Bytes int `msgpack:"b"`
}

// NewState returns the state of a shard that was never held.
func NewState(id structs.ShardID) *State {
	return &State{Shard: id, Programs: map[string]*Program{}}
}

// Claim makes home the holder under the next epoch. What the former holder may
// have done without a write is assumed done, unless it handed the shard over.
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
		p.AnyEngine = true
	}
}

// Release gives the shard up. Nothing may be under way.
func (s *State) Release() {
	s.Home = ""
	for id := range s.Programs {
		p := s.Edit(id)
		p.Tokens.Settle()
		p.Calls.Settle()
	}
}

// Edit returns the record of a program to be modified, or nil. Records reached
// in another way are only read: their encoded form is kept between writes.
func (s *State) Edit(id string) *Program {
	p, ok := s.Programs[id]
	if !ok {
		return nil
	}
	p.encoded = nil
	return p
}

// Encode returns the bytes of the shard object.
func (s *State) Encode() ([]byte, error) {
	value, err := msgpack.Marshal(s)
	if err != nil {
		return nil, errors.Wrap(err, "encode shard")
	}
	return value, nil
}

// Decode reads a shard object.
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

// TreeTurns is the number of finished turns in the tree under root.
func (s *State) TreeTurns(root string) int {
	turns := 0
	for _, p := range s.Programs {
		if p.Root == root {
			turns += p.Turns
		}
	}
	return turns
}

// AddTurn appends a finished turn to the history.
func (p *Program) AddTurn(turn Turn) {
	p.Turns = turn.Number
	p.Digest = turn.Digest
	p.Tail = append(p.Tail, turn)
	p.Used += turn.Usage.Total()
}

// AddEngine notes that an engine may hold KV memory of the program.
func (p *Program) AddEngine(name string) {
	if name != "" && !slices.Contains(p.Engines, name) {
		p.Engines = append(p.Engines, name)
	}
}

// DropEngine notes that an engine released the program's KV memory.
func (p *Program) DropEngine(name string) {
	p.Engines = slices.DeleteFunc(p.Engines, func(e string) bool { return e == name })
}

// NextDigest chains a turn to the history before it: a hash over the former
// digest, the program, the turn's number, its messages and its answer.
func NextDigest(former []byte, program string, number int, messages []structs.Message, answer string) []byte {
	fields := [][]byte{former, []byte(program), []byte(strconv.Itoa(number))}
	for _, m := range messages {
		fields = append(fields, []byte(m.Role), []byte(m.Content))
	}
	fields = append(fields, []byte(answer))
	return hash(fields)
}

// TurnContent identifies the content of a turn's request.
func TurnContent(r structs.TurnRequest) []byte {
	fields := [][]byte{[]byte(r.Model), []byte(strconv.Itoa(r.MaxTokens))}
	for _, m := range r.Messages {
		fields = append(fields, []byte(m.Role), []byte(m.Content))
	}
	return hash(fields)
}

// CallContent identifies the content of a call.
func CallContent(r structs.CallRequest) []byte {
	return hash([][]byte{[]byte(r.Service), []byte(r.Path), r.Body})
}

// hash covers the fields and their boundaries.
func hash(fields [][]byte) []byte {
	h := sha256.New()
	for _, field := range fields {
		h.Write([]byte(strconv.Itoa(len(field)) + ":"))
		h.Write(field)
	}
	return h.Sum(nil)
}

// TreeUsed is the number of tokens used by the turns in the tree under root.
func (s *State) TreeUsed(root string) int {
	used := 0
	for _, p := range s.Programs {
		if p.Root == root {
			used += p.Used
		}
	}
	return used
}
