package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"ibisline/internal/peer"
	"ibisline/internal/policy/fairshare"
	"ibisline/internal/policy/window"
	"ibisline/internal/structs"
)

// benchView is a member view and catalogue without entries; BenchmarkPlacement
// fills it with 300 engines, the target size of a region.
type benchView struct{ servers []structs.Server }

func (v benchView) Self() structs.Instance                 { return structs.Instance{Name: "d1", Region: "r1"} }
func (v benchView) Live() []structs.Instance               { return []structs.Instance{v.Self()} }
func (v benchView) Reachable() []structs.Instance          { return v.Live() }
func (v benchView) Lookup(string) (structs.Instance, bool) { return v.Self(), true }
func (v benchView) Servers() []structs.Server              { return v.servers }
func (v benchView) Changed() <-chan struct{}               { return nil }
func (v benchView) Handle(string, peer.Handler)            {}
func (v benchView) Entry(string) (structs.Entry, bool)     { return structs.Entry{}, false }
func (v benchView) Entries() []structs.Entry               { return nil }
func (v benchView) Revision() int64                        { return 1 }
func (v benchView) Admit() error                           { return nil }

// BenchmarkPlacement measures the placement of a call among 300 engines.
func BenchmarkPlacement(b *testing.B) {
	view := benchView{}
	for i := range 300 {
		view.servers = append(view.servers, structs.Server{
			Name: fmt.Sprintf("engine-%d", i), Kind: structs.KindEngine, Region: "r1",
			State: structs.StateLive, Models: []string{"m"}, KVTokens: 64_000,
		})
	}
	d := New(Config{}, Deps{Self: "d1", Region: "r1", View: view, Catalogue: view, Mux: view, Metrics: metrics.NewSet()})
	for _, server := range view.servers {
		d.statusCache.put(EngineStatus{Engine: server.Name, Window: 32, Running: 20, Gap: 30 * time.Millisecond, KVFree: 64_000}, time.Now())
	}
	call := &routedCall{request: structs.GenerateRequest{Program: "p", Root: "p", Model: "m", PromptTokens: 2_000, MaxTokens: 100}}
	for b.Loop() {
		d.pickEngine(call)
	}
}

// BenchmarkGrant measures queueing and granting a request in a queue with 1,000
// waiting requests of 100 owners.
func BenchmarkGrant(b *testing.B) {
	queue := newServerQueue(fairshare.NewFair(), window.New(window.Config{Limit: 1, Fixed: true}), newShareTable(benchView{}), 10_000)
	push := func(i int) *waiter {
		item := &fairshare.Item{Owner: fmt.Sprintf("owner-%d", i%100), Cost: 100, Arrived: time.Now()}
		w := &waiter{item: item, ready: make(chan error, 1)}
		_ = queue.enqueue(w, time.Now().Add(time.Hour))
		return w
	}
	running := push(0)
	for i := range 1_000 {
		push(i)
	}
	i := 0
	for b.Loop() {
		i++
		push(i)
		(&grant{queue: queue, item: running.item, need: running.need}).release(100)
	}
}

// BenchmarkToken measures recording one streamed token.
func BenchmarkToken(b *testing.B) {
	queue := newServerQueue(fairshare.NewFair(), window.New(window.Config{Limit: 64, GapTarget: time.Second}), newShareTable(benchView{}), 10)
	g, err := queue.acquire(context.Background(), &fairshare.Item{Owner: "o", Cost: 1}, window.Need{}, time.Time{})
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		g.recordPiece(time.Now())
		g.recordPassedOn(time.Now())
	}
}
