package home

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"ibisline/internal/invariant"
)

// benchHome runs a home with open programs over a fake store and a fake engine of
// negligible cost.
func benchHome(b *testing.B, programs int) (*cluster, *daemon) {
	invariant.SetFatal(false)
	b.Cleanup(func() { invariant.SetFatal(true) })
	cl := newCluster()
	b.Cleanup(cl.stopAll)
	cl.cfg.Journal.BytesPerSecond = 1 << 40
	d := cl.start("a")
	opened := make(chan struct{})
	for i := range programs {
		go func() {
			cl.open(b, d, fmt.Sprintf("p%030d", i))
			opened <- struct{}{}
		}()
	}
	for range programs {
		<-opened
	}
	return cl, d
}

// BenchmarkTurn measures concurrent turns of different programs in one shard, for
// several numbers of programs.
func BenchmarkTurn(b *testing.B) {
	for _, programs := range []int{100, 400} {
		b.Run(fmt.Sprint(programs), func(b *testing.B) {
			cl, d := benchHome(b, programs)
			b.ReportAllocs()
			before := cl.objects.Counts().Puts
			b.ResetTimer()
			for i := 0; i < b.N; i += programs {
				done := make(chan struct{})
				for p := range programs {
					go func() {
						runTurn(b, d, turnRequest(programID(fmt.Sprintf("p%030d", p)), i/programs+1))
						done <- struct{}{}
					}()
				}
				for range programs {
					<-done
				}
			}
			b.StopTimer()
			turns := (b.N + programs - 1) / programs * programs
			b.ReportMetric(float64(cl.objects.Counts().Puts-before)/float64(turns), "writes/turn")
		})
	}
}

// BenchmarkCall measures sequential non-repeatable calls, each with an intent, a send
// and an outcome.
func BenchmarkCall(b *testing.B) {
	const programs = 100
	cl, d := benchHome(b, programs)
	before := cl.objects.Counts().Puts
	for i := range b.N {
		id := programID(fmt.Sprintf("p%030d", i%programs))
		_, err := d.Call(context.Background(), callRequest(id, fmt.Sprint(i)))
		require.NoError(b, err)
	}
	b.ReportMetric(float64(cl.objects.Counts().Puts-before)/float64(b.N), "writes/call")
}
