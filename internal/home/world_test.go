package home

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"ibisline/internal/fake/objects"
	"ibisline/internal/invariant"
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

func TestMain(m *testing.M) {
	invariant.Fatal(true)
	m.Run()
}
