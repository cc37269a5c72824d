package home

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// backends plays one engine and one plain service, and records what they saw.
type backends struct {
	mu sync.Mutex
	// prompts are the prompts of finished generations, by program and turn.
	prompts map[string][]string
	used    map[string]int // tokens generated and read, by root
	held    map[string]bool
	sent    map[string]int // by program and key
	seen    map[string]bool
	settled map[string]structs.CallReply
	// before runs before each generation and each send, outside the lock.
	before func(what, id string)
	// onSend and onGenerate play failures, before and after the execution.
	onSend     func(r structs.CallRequest, executed bool) error
	onGenerate func(r structs.GenerateRequest, begun bool) error
	// onImport is told of each import of KV cache.
	onImport func(program string)
	// check is given each prompt.
	check func(r structs.GenerateRequest, prompt string)
	// onForget plays failures of release orders.
	onForget func() error
	// pickEngine spreads runs over the engines.
	pickEngine bool
	callsOf    map[string]int // calls by root
	runs       int
	// tokenTime is the time between pieces.
	tokenTime time.Duration
	pieces    int
	forgets   int
	closing   chan struct{} // ends what hold holds
	lookup    bool
	body      []byte // of the service's answers, unless nil
}

func newBackends() *backends {
	return &backends{
		prompts:    map[string][]string{},
		used:       map[string]int{},
		held:       map[string]bool{},
		sent:       map[string]int{},
		seen:       map[string]bool{},
		settled:    map[string]structs.CallReply{},
		onGenerate: func(structs.GenerateRequest, bool) error { return nil },
		onImport:   func(string) {},
		before:     func(string, string) {},
		onSend:     func(structs.CallRequest, bool) error { return nil },
		onForget:   func() error { return nil },
		check:      func(structs.GenerateRequest, string) {},
		callsOf:    map[string]int{},
		pieces:     3,
		closing:    make(chan struct{}),
	}
}

// hold makes work of the given kind wait until release is closed. The returned
// channel is closed when the first piece of work waits.
func (b *backends) hold(kind string, release <-chan struct{}) <-chan struct{} {
	reached := make(chan struct{})
	var once sync.Once
	b.before = func(what, _ string) {
		if what != kind {
			return
		}
		once.Do(func() { close(reached) })
		select {
		case <-release:
		case <-b.closing:
		}
	}
	return reached
}

// engines are the engines of the tests.
var engines = []structs.Server{
	{Name: "engine-1", Kind: structs.KindEngine},
	{Name: "engine-2", Kind: structs.KindEngine},
	{Name: "engine-3", Kind: structs.KindEngine},
}

func turnID(program string, turn int) string { return fmt.Sprintf("%s#%d", program, turn) }

// writeMessages writes messages as the engine counts them.
func writeMessages(b *strings.Builder, messages []structs.Message) {
	for _, m := range messages {
		b.WriteString(m.Role + ":" + m.Content + "|")
	}
}

// wholeText reports whether text is a whole answer of one run of the turn.
func wholeText(text, program string, turn int) bool {
	words := strings.Fields(text)
	for i, word := range words {
		if word != fmt.Sprintf("%s.%d.%s.%d", program, turn, strings.Split(words[0], ".")[4], i) {
			return false
		}
	}
	return len(words) > 0
}

// Generate answers with words that name the program, the turn and the run; a
// token is a byte.
func (b *backends) Generate(ctx context.Context, r structs.GenerateRequest, emit func(string) error) (structs.Generated, error) {
	if err := b.onGenerate(r, false); err != nil {
		return structs.Generated{}, err
	}
	run, engine := b.begin(r)
	b.before("generate", turnID(r.Program, r.Turn))
	var whole strings.Builder
	writeMessages(&whole, r.Messages)
	b.check(r, whole.String())
	output, err := b.speak(ctx, r, run, emit)
	if err != nil {
		return structs.Generated{}, err
	}
	usage := structs.Usage{PromptTokens: whole.Len(), OutputTokens: output}
	b.finish(r, whole.String(), usage)
	if err := b.onGenerate(r, true); err != nil {
		return structs.Generated{}, err
	}
	return structs.Generated{Engine: engine, Usage: usage, Finish: "stop"}, nil
}

// begin records a generation and returns its number and engine.
func (b *backends) begin(r structs.GenerateRequest) (run int, engine string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seen[r.RequestID] = true
	b.runs++
	engine = engines[0].Name
	if b.pickEngine {
		engine = engines[b.runs%len(engines)].Name
	}
	b.held[engine+"/"+r.Program] = true
	return b.runs, engine
}

// speak emits the pieces of an answer and returns their tokens.
func (b *backends) speak(ctx context.Context, r structs.GenerateRequest, run int, emit func(string) error) (int, error) {
	output := 0
	for i := range b.pieces {
		if err := ctx.Err(); err != nil {
			return 0, verdict.Wrap(err, verdict.MayHaveRun, verdict.Canceled, "generation canceled")
		}
		time.Sleep(b.tokenTime)
		piece := fmt.Sprintf("%s.%d.%d.%d ", r.Program, r.Turn, run, i)
		if output+len(piece) > r.MaxTokens {
			break
		}
		output += len(piece)
		if err := emit(piece); err != nil {
			return 0, err
		}
	}
	return output, nil
}

// finish records the prompt and the tokens of a generation that ended.
func (b *backends) finish(r structs.GenerateRequest, prompt string, usage structs.Usage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := turnID(r.Program, r.Turn)
	b.prompts[id] = append(b.prompts[id], prompt)
	b.used[r.Root] += usage.Total()
}

func (b *backends) AcquireSlot(_ context.Context, r structs.SlotRequest) (structs.Slot, error) {
	return structs.Slot{ID: r.RequestID, Server: structs.Server{Name: "desk-1", Service: r.Service, Lookup: b.lookup}}, nil
}

func (b *backends) ReleaseSlot(structs.Slot) {}

func (b *backends) ReleaseKV(_ context.Context, engine, program string) error {
	b.before("forget", program)
	if err := b.onForget(); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forgets++
	delete(b.held, engine+"/"+program)
	return nil
}

func (b *backends) Send(ctx context.Context, _ structs.Server, r structs.CallRequest) (structs.CallReply, error) {
	b.before("send", r.Program+"/"+r.Key)
	if err := ctx.Err(); err != nil {
		return structs.CallReply{}, verdict.Wrap(err, verdict.NotRun, verdict.Canceled, "not sent")
	}
	if err := b.onSend(r, false); err != nil {
		return structs.CallReply{}, err
	}
	b.mu.Lock()
	b.sent[r.Program+"/"+r.Key]++
	b.callsOf[strings.TrimSuffix(r.Program, "c")]++
	b.seen[r.RequestID] = true
	reply := structs.CallReply{Status: 200, Body: []byte("done " + r.Key)}
	if b.body != nil {
		reply.Body = b.body
	}
	b.settled[r.Program+"/"+r.Key] = reply
	b.mu.Unlock()
	if err := b.onSend(r, true); err != nil {
		return structs.CallReply{}, err
	}
	return reply, nil
}

func (b *backends) LookUpOutcome(_ context.Context, _ structs.Server, key string) (structs.CallReply, bool, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	reply, ok := b.settled[key]
	return reply, ok, nil
}

// promptsOf returns the prompts of a turn's finished generations.
func (b *backends) promptsOf(program string, turn int) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.prompts[turnID(program, turn)])
}

func (b *backends) heldPrograms() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Collect(maps.Keys(b.held))
}

func (b *backends) sends(key string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sent[key]
}
