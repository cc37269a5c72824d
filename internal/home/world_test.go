package home

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"ibisline/internal/fake/objects"
	"ibisline/internal/invariant"
	"ibisline/internal/member"
	"ibisline/internal/peer"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

const testRegion = "nav-a"

// world is a store, an engine, a plain service and a few homes.
type world struct {
	// violate is told of broken promises.
	violate  func(format string, args ...any)
	objects  *objects.Store
	backends *backends
	entries  *entries
	live     *liveList
	cfg      Config

	mu    sync.Mutex
	homes map[string]*daemon
}

// daemon is one running home.
type daemon struct {
	*Home
	name string
	view *view
	stop context.CancelFunc
	done chan struct{}
}

func newWorld() *world {
	store := objects.New()
	return &world{
		violate:  func(format string, args ...any) { panic(fmt.Sprintf(format, args...)) },
		objects:  store,
		backends: newBackends(),
		entries:  &entries{byName: map[string]structs.Entry{"desk": {Name: "desk", Owner: "weavers", Class: "agent", Share: 1}}},
		live:     &liveList{changed: make(chan struct{})},
		homes:    map[string]*daemon{},
		cfg:      Config{Region: testRegion, Shards: 1, CommitInterval: time.Millisecond},
	}
}

// start runs a home and makes it live.
func (w *world) start(name string) *daemon {
	return w.startWith(name, func(*Deps) {})
}

// startWith is start with other services around the home.
func (w *world) startWith(name string, change func(*Deps)) *daemon {
	logger := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	v := w.live.viewOf(name)
	deps := Deps{
		Self:      name,
		Store:     w.objects,
		View:      v,
		Catalogue: w.entries,
		Router:    w.backends,
		Sender:    w.backends,
		Dialer:    w,
		Metrics:   metrics.NewSet(),
		Log:       logger,
	}
	change(&deps)
	h := New(w.cfg, deps)
	ctx, cancel := context.WithCancel(context.Background())
	d := &daemon{Home: h, name: name, view: v, stop: cancel, done: make(chan struct{})}
	go func() {
		defer close(d.done)
		_ = h.Run(ctx)
	}()
	<-h.started
	w.mu.Lock()
	w.homes[name] = d
	w.mu.Unlock()
	w.live.add(name)
	return d
}

// daemon returns a running home, or nil.
func (w *world) daemon(name string) *daemon {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.homes[name]
}

func (w *world) dropDaemon(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.homes, name)
}

// crash ends a home without a hand-over and takes it off the list.
func (w *world) crash(name string) {
	d := w.daemon(name)
	w.dropDaemon(name)
	w.live.remove(name)
	d.stop()
	<-d.done
}

// stopAll ends all homes.
func (w *world) stopAll() {
	close(w.backends.closing)
	for name := range w.homes {
		w.crash(name)
	}
}

// Open implements peer.Dialer with direct calls of the hand-over.
func (w *world) Open(ctx context.Context, name, method string) (peer.Stream, error) {
	d := w.daemon(name)
	if d == nil {
		return nil, verdict.Refuse(verdict.PeerLost, "%s is not reachable", name)
	}
	return &handoverStream{ctx: ctx, home: d.Home}, nil
}

type handoverStream struct {
	peer.Stream
	ctx      context.Context
	home     *Home
	released bool
}

func (s *handoverStream) Send(message any) error {
	s.released = s.home.giveAway(s.ctx, message.(handoverRequest).Shard)
	return nil
}

func (s *handoverStream) Recv(message any) error {
	message.(*handoverReply).Released = s.released
	return nil
}

func (s *handoverStream) Close() error { return nil }

// liveList is a membership shared by all homes, unless one is given its own.
type liveList struct {
	mu      sync.Mutex
	names   []string
	leaving []string
	servers []structs.Server
	changed chan struct{}
}

func (l *liveList) add(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.names = append(l.names, name)
	slices.Sort(l.names)
	l.names = slices.Compact(l.names)
	l.leaving = slices.DeleteFunc(l.leaving, func(n string) bool { return n == name })
	l.wake()
}

// all returns the names of the live homes.
func (l *liveList) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.names)
}

// home returns the home of a program's shard.
func (l *liveList) home(program string) string {
	id, _ := structs.ShardOf(program)
	owner, _ := member.Home(l.viewOf(""), id)
	return owner.Name
}

func (l *liveList) remove(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.names = slices.DeleteFunc(l.names, func(n string) bool { return n == name })
	l.leaving = slices.DeleteFunc(l.leaving, func(n string) bool { return n == name })
	l.wake()
}

// leave turns a live home into a leaving one.
func (l *liveList) leave(name string) {
	l.remove(name)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = append(l.leaving, name)
}

func (l *liveList) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// viewOf returns the view of one home.
func (l *liveList) viewOf(self string) *view { return &view{liveList: l, self: self} }

type view struct {
	*liveList
	self string

	own sync.Mutex
	// alone makes the home believe that it is the only one.
	alone bool
}

var _ member.View = (*view)(nil)

func instance(name string) structs.Instance {
	return structs.Instance{Name: name, Region: testRegion, State: structs.StateLive}
}

func (v *view) Self() structs.Instance { return instance(v.self) }

func (v *view) setAlone(alone bool) {
	v.own.Lock()
	defer v.own.Unlock()
	v.alone = alone
}

func (v *view) Live() []structs.Instance {
	v.own.Lock()
	alone := v.alone
	v.own.Unlock()
	if alone {
		return []structs.Instance{instance(v.self)}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	var list []structs.Instance
	for _, name := range v.names {
		list = append(list, instance(name))
	}
	return list
}

func (v *view) Lookup(name string) (structs.Instance, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return instance(name), slices.Contains(v.names, name) || slices.Contains(v.leaving, name)
}

func (v *view) Servers() []structs.Server {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.servers
}

func (v *view) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// entries is a catalogue.
type entries struct {
	mu     sync.Mutex
	byName map[string]structs.Entry
}

func (e *entries) Entry(name string) (structs.Entry, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry, ok := e.byName[name]
	return entry, ok
}

func (e *entries) Entries() []structs.Entry { return nil }
func (e *entries) Revision() int64          { return 1 }
func (e *entries) Admit() error             { return nil }

func (e *entries) put(entry structs.Entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.byName[entry.Name] = entry
}

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
	b.mu.Lock()
	b.seen[r.RequestID] = true
	b.runs++
	run := b.runs
	engine := engines[0].Name
	if b.pickEngine {
		engine = engines[run%len(engines)].Name
	}
	b.held[engine+"/"+r.Program] = true
	b.mu.Unlock()
	b.before("generate", turnID(r.Program, r.Turn))
	var whole strings.Builder
	writeMessages(&whole, r.Messages)
	b.check(r, whole.String())
	output := 0
	for i := range b.pieces {
		if err := ctx.Err(); err != nil {
			return structs.Generated{}, verdict.Wrap(err, verdict.MayHaveRun, verdict.Canceled, "generation canceled")
		}
		time.Sleep(b.tokenTime)
		piece := fmt.Sprintf("%s.%d.%d.%d ", r.Program, r.Turn, run, i)
		if output+len(piece) > r.MaxTokens {
			break
		}
		output += len(piece)
		if err := emit(piece); err != nil {
			return structs.Generated{}, err
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	usage := structs.Usage{PromptTokens: whole.Len(), OutputTokens: output}
	b.prompts[turnID(r.Program, r.Turn)] = append(b.prompts[turnID(r.Program, r.Turn)], whole.String())
	b.used[r.Root] += usage.Total()
	b.mu.Unlock()
	err := b.onGenerate(r, true)
	b.mu.Lock()
	if err != nil {
		return structs.Generated{}, err
	}
	return structs.Generated{Engine: engine, Usage: usage, Finish: "stop"}, nil
}

func (b *backends) AcquireSlot(_ context.Context, r structs.SlotRequest) (structs.Slot, error) {
	return structs.Slot{ID: r.RequestID, Server: structs.Server{Name: "desk-1", Service: r.Service, Lookup: b.lookup}}, nil
}

func (b *backends) ReleaseSlot(structs.Slot) {}

func (b *backends) Forget(_ context.Context, engine, program string) error {
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

func (b *backends) Settle(_ context.Context, _ structs.Server, key string) (structs.CallReply, bool, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	reply, ok := b.settled[key]
	return reply, ok, nil
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

// Helpers of callers.

func programID(name string) string { return testRegion + ".0." + name }

func (w *world) open(t require.TestingT, d *daemon, name string) string {
	id := programID(name)
	_, err := d.Open(context.Background(), structs.OpenRequest{Entry: "desk", Program: id})
	require.NoError(t, err)
	return id
}

func turnRequest(program string, turn int) structs.TurnRequest {
	return structs.TurnRequest{
		Program:   program,
		Turn:      turn,
		Messages:  []structs.Message{{Role: "user", Content: fmt.Sprintf("question %d of %s", turn, program)}},
		Model:     "m",
		MaxTokens: 64,
		RequestID: fmt.Sprintf("%s-%d", program, turn),
	}
}

func callRequest(program, key string) structs.CallRequest {
	return structs.CallRequest{Program: program, Turn: 1, Key: key, Service: "orders", Path: "/order", Body: []byte(key), RequestID: key}
}

// collect gathers the events of an answer.
type collect struct {
	events []structs.Event
	// leaveAfter, when positive, is the number of events after which the reader
	// leaves.
	leaveAfter int
}

var errLeft = errors.New("reader left")

func (c *collect) sink(e structs.Event) error {
	c.events = append(c.events, e)
	if c.leaveAfter > 0 && len(c.events) == c.leaveAfter {
		return errLeft
	}
	return nil
}

func (c *collect) done() bool { return len(c.events) > 0 && c.events[len(c.events)-1].Done }

// failure is the error in the last event.
func (c *collect) failure() error {
	if c.done() && c.events[len(c.events)-1].Err != nil {
		return c.events[len(c.events)-1].Err
	}
	if !c.done() {
		return errLeft
	}
	return nil
}

func (c *collect) text() string {
	var b strings.Builder
	for _, e := range c.events {
		b.WriteString(e.Text)
	}
	return b.String()
}

// runTurn runs a turn and checks that the answer is whole.
func runTurn(t require.TestingT, d *daemon, r structs.TurnRequest) *collect {
	var c collect
	require.NoError(t, d.Turn(context.Background(), r, c.sink))
	requireWhole(t, &c)
	return &c
}

// requireWhole checks that events are numbered without gaps, come from one run
// and end with Done.
func requireWhole(t require.TestingT, c *collect) {
	require.NotEmpty(t, c.events)
	for i, e := range c.events {
		require.Equal(t, i+1, e.Seq)
		require.Equal(t, c.events[0].Run, e.Run)
		require.Equal(t, i == len(c.events)-1, e.Done)
		require.Nil(t, e.Err)
	}
}

func TestMain(m *testing.M) {
	invariant.Fatal(true)
	m.Run()
}
