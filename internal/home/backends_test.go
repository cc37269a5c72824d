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

// backends simulates the engines and one plain service, and records what they received.
type backends struct {
	mu sync.Mutex
	// prompts are the prompts of finished generations, by turnID.
	prompts    map[string][]string
	usedTokens map[string]int  // prompt and output tokens, by root
	held       map[string]bool // KV cache, by engine and program
	sent       map[string]int  // by program and key
	executed   map[string]bool
	replies    map[string]structs.CallReply
	// before is called before each generation and each send, outside the lock.
	before func(what, id string)
	// onSend and onGenerate inject failures. They are called before and after the
	// execution.
	onSend     func(r structs.CallRequest, executed bool) error
	onGenerate func(r structs.GenerateRequest, begun bool) error
	// onImport is called at each import of KV cache.
	onImport func(program string)
	// checkPrompt is called with each prompt.
	checkPrompt func(r structs.GenerateRequest, prompt string)
	// onForget injects failures of release orders.
	onForget func() error
	// rotateEngines distributes runs over the engines.
	rotateEngines bool
	callsByRoot   map[string]int // number of calls
	runs          int
	// pieceInterval is the time between pieces of an answer.
	pieceInterval time.Duration
	pieces        int
	forgets       int
	closing       chan struct{} // closed at the end of the test, unblocks blockAt
	lookup        bool
	body          []byte // of the service's answers; nil for the default
}

func newBackends() *backends {
	return &backends{
		prompts:     map[string][]string{},
		usedTokens:  map[string]int{},
		held:        map[string]bool{},
		sent:        map[string]int{},
		executed:    map[string]bool{},
		replies:     map[string]structs.CallReply{},
		onGenerate:  func(structs.GenerateRequest, bool) error { return nil },
		onImport:    func(string) {},
		before:      func(string, string) {},
		onSend:      func(structs.CallRequest, bool) error { return nil },
		onForget:    func() error { return nil },
		checkPrompt: func(structs.GenerateRequest, string) {},
		callsByRoot: map[string]int{},
		pieces:      3,
		closing:     make(chan struct{}),
	}
}

// blockAt blocks work of the given kind until release is closed. The returned channel
// is closed when the first piece of work blocks.
func (b *backends) blockAt(kind string, release <-chan struct{}) <-chan struct{} {
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

// engines are the simulated engines.
var engines = []structs.Server{
	{Name: "engine-1", Kind: structs.KindEngine},
	{Name: "engine-2", Kind: structs.KindEngine},
	{Name: "engine-3", Kind: structs.KindEngine},
}

func turnID(program string, turn int) string { return fmt.Sprintf("%s#%d", program, turn) }

// writeMessages appends messages in the form in which the simulated engine counts them.
func writeMessages(b *strings.Builder, messages []structs.Message) {
	for _, m := range messages {
		b.WriteString(m.Role + ":" + m.Content + "|")
	}
}

// isWholeAnswer reports whether text is the complete answer of a single run of the
// turn.
func isWholeAnswer(text, program string, turn int) bool {
	words := strings.Fields(text)
	for i, word := range words {
		if word != fmt.Sprintf("%s.%d.%s.%d", program, turn, strings.Split(words[0], ".")[4], i) {
			return false
		}
	}
	return len(words) > 0
}

// Generate answers with words that contain the program, the turn and the run. One token
// is one byte.
func (b *backends) Generate(
	ctx context.Context, r structs.GenerateRequest, emit func(string) error,
) (structs.GenerateResult, error) {
	if err := b.onGenerate(r, false); err != nil {
		return structs.GenerateResult{}, err
	}
	run, engine := b.beginRun(r)
	b.before("generate", turnID(r.Program, r.Turn))
	var whole strings.Builder
	writeMessages(&whole, r.Messages)
	b.checkPrompt(r, whole.String())
	output, err := b.emitPieces(ctx, r, run, emit)
	if err != nil {
		return structs.GenerateResult{}, err
	}
	usage := structs.Usage{PromptTokens: whole.Len(), OutputTokens: output}
	b.finishRun(r, whole.String(), usage)
	if err := b.onGenerate(r, true); err != nil {
		return structs.GenerateResult{}, err
	}
	return structs.GenerateResult{Engine: engine, Usage: usage, Finish: "stop"}, nil
}

// beginRun records a generation and returns its run number and engine.
func (b *backends) beginRun(r structs.GenerateRequest) (run int, engine string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.executed[r.RequestID] = true
	b.runs++
	engine = engines[0].Name
	if b.rotateEngines {
		engine = engines[b.runs%len(engines)].Name
	}
	b.held[engine+"/"+r.Program] = true
	return b.runs, engine
}

// emitPieces emits the pieces of an answer and returns their size in tokens.
func (b *backends) emitPieces(
	ctx context.Context, r structs.GenerateRequest, run int, emit func(string) error,
) (int, error) {
	output := 0
	for i := range b.pieces {
		if err := ctx.Err(); err != nil {
			return 0, verdict.Wrap(err, verdict.MayHaveRun, verdict.Canceled, "generation canceled")
		}
		time.Sleep(b.pieceInterval)
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

// finishRun records the prompt and the tokens of a finished generation.
func (b *backends) finishRun(r structs.GenerateRequest, prompt string, usage structs.Usage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := turnID(r.Program, r.Turn)
	b.prompts[id] = append(b.prompts[id], prompt)
	b.usedTokens[r.Root] += usage.Total()
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
	b.callsByRoot[strings.TrimSuffix(r.Program, "c")]++
	b.executed[r.RequestID] = true
	reply := structs.CallReply{Status: 200, Body: []byte("done " + r.Key)}
	if b.body != nil {
		reply.Body = b.body
	}
	b.replies[r.Program+"/"+r.Key] = reply
	b.mu.Unlock()
	if err := b.onSend(r, true); err != nil {
		return structs.CallReply{}, err
	}
	return reply, nil
}

func (b *backends) LookUpOutcome(_ context.Context, _ structs.Server, key string) (structs.CallReply, bool, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	reply, ok := b.replies[key]
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
