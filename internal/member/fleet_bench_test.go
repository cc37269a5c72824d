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

// Bytes that each segment adds on an Ethernet link: IPv4 and TCP headers with
// the timestamp option.
const segmentOverhead = 20 + 32

// benchNode is a daemon over real connections.
type benchNode struct {
	set       *metrics.Set
	transport *peer.Transport
	members   *member.Members
}

func startBenchNode(b *testing.B, ctx context.Context, done *sync.WaitGroup, store *objects.Store, name string) *benchNode {
	logger := testbed.NoLog()
	set := metrics.NewSet()
	transport := peer.NewTransport(peer.Config{Listen: "127.0.0.1:0"}, name, nil, set, logger)
	if err := transport.Listen(); err != nil {
		b.Fatal(err)
	}
	self := structs.Instance{Name: name, Region: "nav-a", DataCentre: "nav-a-1", PeerAddr: transport.Addr(), HTTPAddr: transport.Addr()}
	members := member.New(member.Config{}, self, store, transport, transport, set, logger)
	transport.SetResolver(members.Address)
	done.Go(func() { _ = transport.Run(ctx) })
	done.Go(func() { _ = members.Run(ctx) })
	return &benchNode{set: set, transport: transport, members: members}
}

func (n *benchNode) counter(name string) float64 {
	return float64(n.set.GetOrCreateCounter(name).Get())
}

// processorTime is the time that this process has spent on a processor.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkIdleFleet measures what the membership costs each daemon of an idle
// fleet, over loopback in one process. The time of an operation means nothing;
// the reported metrics are those of a window of ten seconds.
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
				// Each daemon also receives what another sent.
				b.ReportMetric(2*(sent+writes*segmentOverhead)/daemonSeconds, "linkB/s")
				b.ReportMetric(100*float64(processorTime()-cpu)/float64(time.Second)/daemonSeconds, "core%")
				b.ReportMetric(sum("ibisline_member_changes_total")-changes, "changes")
				b.ReportMetric(0, "ns/op")
			}
			b.ReportMetric(float64(runtime.NumGoroutine())/float64(size), "goroutines")
		})
	}
}
