package home

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"ibisline/internal/invariant"
)

// benchHome runs a home with open programs over a store and an engine that cost
// next to nothing.
func benchHome(b *testing.B, programs int) (*world, *daemon) {
	invariant.Fatal(false)
	b.Cleanup(func() { invariant.Fatal(true) })
	w := newWorld()
	b.Cleanup(w.stopAll)
	w.cfg.Journal.BytesPerSecond = 1 << 40
	d := w.start("a")
	opened := make(chan struct{})
	for i := range programs {
		go func() {
			w.open(b, d, fmt.Sprintf("p%030d", i))
			opened <- struct{}{}
		}()
	}
	for range programs {
		<-opened
	}
	return w, d
}

// BenchmarkTurn measures turns of different programs, many at a time, in a
// shard with a given number of programs.
func BenchmarkTurn(b *testing.B) {
	for _, programs := range []int{100, 400} {
		b.Run(fmt.Sprint(programs), func(b *testing.B) {
			w, d := benchHome(b, programs)
			b.ReportAllocs()
			before := w.objects.Counts().Puts
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
			b.ReportMetric(float64(w.objects.Counts().Puts-before)/float64(turns), "writes/turn")
		})
	}
}

// BenchmarkCall measures non-repeatable calls one after the other: an intent, a
// send and an outcome each.
func BenchmarkCall(b *testing.B) {
	const programs = 100
	w, d := benchHome(b, programs)
	before := w.objects.Counts().Puts
	for i := range b.N {
		id := programID(fmt.Sprintf("p%030d", i%programs))
		_, err := d.Call(context.Background(), callRequest(id, fmt.Sprint(i)))
		require.NoError(b, err)
	}
	b.ReportMetric(float64(w.objects.Counts().Puts-before)/float64(b.N), "writes/call")
}
