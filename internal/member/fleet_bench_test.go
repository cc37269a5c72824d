package member_test

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"ibisline/internal/fake/objects"
	"ibisline/internal/fake/testbed"
	"ibisline/internal/member"
	"ibisline/internal/peer"
	"ibisline/internal/structs"
)

// segmentOverheadBytes is the size of the IPv4 and TCP headers of a segment, with the
// TCP timestamp option.
const segmentOverheadBytes = 20 + 32

// benchNode is a daemon that uses real TCP connections.
type benchNode struct {
	set       *metrics.Set
	transport *peer.Transport
	members   *member.Members
}

// startBenchNode starts a daemon whose goroutines end with ctx and are counted in done.
func startBenchNode(
	b *testing.B, ctx context.Context, done *sync.WaitGroup, store *objects.Store, name string,
) *benchNode {
	logger := testbed.NoLog()
	set := metrics.NewSet()
	transport := peer.NewTransport(peer.Config{Listen: "127.0.0.1:0"}, name, nil, set, logger)
	if err := transport.Listen(); err != nil {
		b.Fatal(err)
	}
	self := structs.Instance{
		Name: name, Region: "nav-a", DataCentre: "nav-a-1", PeerAddr: transport.Addr(), HTTPAddr: transport.Addr(),
	}
	members := member.New(member.Config{}, self, store, transport, transport, set, logger)
	transport.SetResolver(members.Address)
	done.Go(func() { _ = transport.Run(ctx) })
	done.Go(func() { _ = members.Run(ctx) })
	return &benchNode{set: set, transport: transport, members: members}
}

func (n *benchNode) counter(name string) float64 {
	return float64(n.set.GetOrCreateCounter(name).Get())
}

// processorTime returns the CPU time used by this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkIdleFleet measures the cost of the membership per daemon of an idle fleet,
// over loopback in one process. The metrics cover a window of ten seconds; the time
// per operation has no meaning.
func BenchmarkIdleFleet(b *testing.B) {
	const window = 10 * time.Second
	for _, size := range []int{3, 9, 27, 60} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			var done sync.WaitGroup
			store := objects.New()
			var nodes []*benchNode
			for i := range size {
				nodes = append(nodes, startBenchNode(b, ctx, &done, store, fmt.Sprintf("entry-%03d", i)))
			}
			defer done.Wait()
			defer cancel()
			for _, n := range nodes {
				for len(n.members.Live()) != size {
					time.Sleep(10 * time.Millisecond)
				}
			}
			time.Sleep(window / 2)
			sum := func(name string) (total float64) {
				for _, n := range nodes {
					total += n.counter(name)
				}
				return total
			}
			for b.Loop() {
				sent, writes, cpu := sum("ibisline_peer_sent_bytes_total"), sum("ibisline_peer_writes_total"), processorTime()
				changes := sum("ibisline_member_changes_total")
				time.Sleep(window)
				daemonSeconds := float64(size) * window.Seconds()
				sent = sum("ibisline_peer_sent_bytes_total") - sent
				writes = sum("ibisline_peer_writes_total") - writes
				b.ReportMetric(sent/daemonSeconds, "payloadB/s")
				b.ReportMetric(writes/daemonSeconds, "writes/s")
				// Twice the sent bytes, since each daemon also receives as much.
				b.ReportMetric(2*(sent+writes*segmentOverheadBytes)/daemonSeconds, "linkB/s")
				b.ReportMetric(100*float64(processorTime()-cpu)/float64(time.Second)/daemonSeconds, "core%")
				b.ReportMetric(sum("ibisline_member_changes_total")-changes, "changes")
				b.ReportMetric(0, "ns/op")
			}
			b.ReportMetric(float64(runtime.NumGoroutine())/float64(size), "goroutines")
		})
	}
}
