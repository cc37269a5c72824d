package peer_test

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"ibisline/internal/fake/testbed"
	"ibisline/internal/peer"
)

// benchTransport runs a transport until the benchmark ends.
func benchTransport(b *testing.B, name string) (*peer.Transport, *metrics.Set) {
	set := metrics.NewSet()
	tr := peer.NewTransport(peer.Config{Listen: "127.0.0.1:0"}, name, nil, set, testbed.NoLog())
	serveEcho(tr)
	if err := tr.Listen(); err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = tr.Run(ctx)
	}()
	b.Cleanup(func() {
		cancel()
		<-done
	})
	return tr, set
}

// usedTime is the time that this process has spent on a processor.
func usedTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkCall measures a call with a message of 100 bytes each way: payload
// bytes in both directions, and processor time of both sides together. The bytes
// are those of one side's counters, which hold what it sent and received.
func BenchmarkCall(b *testing.B) {
	server, _ := benchTransport(b, "b")
	client, set := benchTransport(b, "a")
	client.SetResolver(func(string) (string, bool) { return server.Addr(), true })
	message := note{Text: strings.Repeat("x", 90)}
	call := func() {
		var reply note
		if err := peer.Call(context.Background(), client, "b", "echo", message, &reply); err != nil {
			b.Fatal(err)
		}
	}
	call()
	bytes := func() uint64 {
		return set.GetOrCreateCounter("ibisline_peer_sent_bytes_total").Get() +
			set.GetOrCreateCounter("ibisline_peer_received_bytes_total").Get()
	}
	before, used := bytes(), usedTime()
	for b.Loop() {
		call()
	}
	b.ReportMetric(float64(bytes()-before)/float64(b.N), "payload-B/op")
	b.ReportMetric(float64((usedTime()-used).Microseconds())/float64(b.N), "cpu-us/op")
}

// memoryInUse returns the bytes of live heap objects and of stacks.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapInuse + stats.StackInuse)
}

// BenchmarkConnections measures the memory that one end of a connection holds
// after a call, without a stream: half of what both ends hold.
func BenchmarkConnections(b *testing.B) {
	const peers = 100
	servers := map[string]*peer.Transport{}
	for i := range peers {
		name := fmt.Sprint("b", i)
		servers[name], _ = benchTransport(b, name)
	}
	for b.Loop() {
		client, _ := benchTransport(b, "a")
		client.SetResolver(func(name string) (string, bool) { return servers[name].Addr(), true })
		before := memoryInUse()
		for name := range servers {
			if err := peer.Call(context.Background(), client, name, "echo", note{Text: "x"}, &note{}); err != nil {
				b.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		b.ReportMetric((memoryInUse()-before)/(2*peers), "B/end")
		b.ReportMetric(0, "ns/op")
	}
}
