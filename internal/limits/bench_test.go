package limits_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"ibisline/internal/fake/peers"
	"ibisline/internal/fake/testbed"
	"ibisline/internal/limits"
	"ibisline/internal/structs"
)

// anyEntry is a catalogue that returns an entry with the same limit for every name.
type anyEntry struct{}

func (anyEntry) Entry(name string) (structs.Entry, bool) {
	return structs.Entry{Name: name, Owner: name, Share: 1, MaxConcurrent: 20, Version: 1}, true
}
func (anyEntry) Entries() []structs.Entry { return nil }
func (anyEntry) Revision() int64          { return 1 }
func (anyEntry) Admit() error             { return nil }

// BenchmarkHeldPermits measures the message rate between a home that holds one permit
// of each entry and the limiters of the entries, over a window of real time. The time
// per operation is not meaningful.
func BenchmarkHeldPermits(b *testing.B) {
	const (
		window  = 5 * time.Second
		entries = 500
	)
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	network := peers.New(nil)
	set := metrics.NewSet()
	var home *limits.Limits
	for _, name := range []string{"d0", "d1"} {
		node := network.Join(structs.Instance{Name: name, Region: "nav-a", DataCentre: "1"})
		started := limits.New(limits.Config{}, anyEntry{}, node, node, node, set, testbed.NoLog())
		done.Go(func() { _ = started.Run(ctx) })
		home = started
	}
	defer done.Wait()
	defer cancel()
	var starts sync.WaitGroup
	for i := range entries {
		entry, _ := anyEntry{}.Entry(fmt.Sprintf("team-%05d", i))
		starts.Go(func() {
			if _, err := home.Acquire(ctx, entry, time.Now().Add(time.Minute)); err != nil {
				b.Error(err)
			}
		})
	}
	starts.Wait()
	asked := set.GetOrCreateCounter("ibisline_limits_asked_total")
	for b.Loop() {
		reports := asked.Get()
		frames, bytes := network.Traffic()
		time.Sleep(window)
		framesLater, bytesLater := network.Traffic()
		entrySeconds := entries * window.Seconds()
		b.ReportMetric(float64(asked.Get()-reports)/entrySeconds, "questions/entry-s")
		// Half of the entries have their limiter at the home itself.
		b.ReportMetric(float64(bytesLater-bytes)/float64(framesLater-frames), "B/message")
		b.ReportMetric(0, "ns/op")
	}
}
