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

// cluster consists of a store, the simulated backends and some homes.
type cluster struct {
	// reportViolation is called for each violated invariant.
	reportViolation func(format string, args ...any)
	objects         *objects.Store
	backends        *backends
	entries         *entries
	membership      *sharedMembership
	cfg             Config

	mu    sync.Mutex
	homes map[string]*daemon
}

// daemon is a running home.
type daemon struct {
	*Home
	name string
	view *view
	stop context.CancelFunc
	done chan struct{}
}

func newCluster() *cluster {
	store := objects.New()
	return &cluster{
		reportViolation: func(format string, args ...any) { panic(fmt.Sprintf(format, args...)) },
		objects:         store,
		backends:        newBackends(),
		entries:         &entries{byName: map[string]structs.Entry{"desk": {Name: "desk", Owner: "weavers", Class: "agent", Share: 1}}},
		membership:      &sharedMembership{changed: make(chan struct{})},
		homes:           map[string]*daemon{},
		cfg:             Config{Region: testRegion, Shards: 1, CommitInterval: time.Millisecond},
	}
}

// start runs a home and makes it live.
func (cl *cluster) start(name string) *daemon {
	return cl.startWith(name, func(*Deps) {})
}

// startWith is like start, with dependencies modified by change.
func (cl *cluster) startWith(name string, change func(*Deps)) *daemon {
	logger := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	v := cl.membership.viewOf(name)
	deps := Deps{
		Self:      name,
		Store:     cl.objects,
		View:      v,
		Catalogue: cl.entries,
		Router:    cl.backends,
		Sender:    cl.backends,
		Dialer:    cl,
		Metrics:   metrics.NewSet(),
		Log:       logger,
	}
	change(&deps)
	h := New(cl.cfg, deps)
	ctx, cancel := context.WithCancel(context.Background())
	d := &daemon{Home: h, name: name, view: v, stop: cancel, done: make(chan struct{})}
	go func() {
		defer close(d.done)
		_ = h.Run(ctx)
	}()
	<-h.started
	cl.mu.Lock()
	cl.homes[name] = d
	cl.mu.Unlock()
	cl.membership.add(name)
	return d
}

// daemon returns a running home, or nil.
func (cl *cluster) daemon(name string) *daemon {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.homes[name]
}

func (cl *cluster) dropDaemon(name string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	delete(cl.homes, name)
}

// crash stops a home without a handover and removes it from the membership.
func (cl *cluster) crash(name string) {
	d := cl.daemon(name)
	cl.dropDaemon(name)
	cl.membership.remove(name)
	d.stop()
	<-d.done
}

// stopAll stops all homes.
func (cl *cluster) stopAll() {
	close(cl.backends.closing)
	for name := range cl.homes {
		cl.crash(name)
	}
}

// Open implements peer.Dialer with direct calls of the handover handler.
func (cl *cluster) Open(ctx context.Context, name, method string) (peer.Stream, error) {
	d := cl.daemon(name)
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
	s.released = s.home.handOverOnRequest(s.ctx, message.(handoverRequest).Shard)
	return nil
}

func (s *handoverStream) Recv(message any) error {
	message.(*handoverReply).Released = s.released
	return nil
}

func (s *handoverStream) Close() error { return nil }

// entries is a fake catalogue.
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

func programID(name string) string { return testRegion + ".0." + name }

func (cl *cluster) open(t require.TestingT, d *daemon, name string) string {
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
	invariant.SetFatal(true)
	m.Run()
}
