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

// processCPUTime returns the user and system CPU time of this process.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkCall measures one call with a message of about 100 bytes each way. It
// reports the payload bytes in both directions, from the client's counters of
// sent and received bytes, and the CPU time of client and server together.
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
	bytesBefore, cpuBefore := bytes(), processCPUTime()
	for b.Loop() {
		call()
	}
	b.ReportMetric(float64(bytes()-bytesBefore)/float64(b.N), "payload-B/op")
	b.ReportMetric(float64((processCPUTime()-cpuBefore).Microseconds())/float64(b.N), "cpu-us/op")
}

// memoryInUse returns the heap and stack memory in use, in bytes, after a
// garbage collection.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapInuse + stats.StackInuse)
}

// BenchmarkConnections measures the memory per end of a connection that has
// served a call and has no open stream: half of the total of both ends.
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
