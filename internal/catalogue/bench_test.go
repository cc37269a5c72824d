package catalogue

import (
	"context"
	"fmt"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"ibisline/internal/fake/objects"
	"ibisline/internal/fake/peers"
	"ibisline/internal/fake/testbed"
	"ibisline/internal/objectapi"
	"ibisline/internal/structs"
)

// sizes are the numbers of entries in the benchmarks. The last one is the target.
var sizes = []int{1000, 10000, 43000}

// benchEntry returns an entry of typical size. Its owner is one of 43,000 teams.
func benchEntry(i int) structs.Entry {
	return structs.Entry{
		Name: fmt.Sprintf("team-%05d.orders", i), Owner: fmt.Sprintf("team-%05d", i), Class: "orders",
		Share: 1, MaxConcurrent: 8, MaxQueued: 64, BudgetTokens: 200000, BudgetTurns: 300, IdleSeconds: 900,
		Author: "operator", Reason: "created with the team", ChangedAt: time.Now().UTC(),
	}
}

// fill stores n entries.
func fill(b *testing.B, store *objects.Store, n int) {
	for i := range n {
		value, err := Encode(benchEntry(i))
		require.NoError(b, err)
		_, err = store.Put(context.Background(), Key(benchEntry(i).Name), value, objectapi.NoVersion)
		require.NoError(b, err)
	}
}

// benchCatalogue returns the catalogue of a single daemon on store.
func benchCatalogue(store objectapi.Store) *Catalogue {
	node := peers.New(nil).Join(structs.Instance{Name: "d0", Region: "nav-a", DataCentre: "1"})
	return New(Config{}, store, node, node, node, metrics.NewSet(), testbed.NoLog())
}

// heapInUse returns the bytes of live heap objects.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// BenchmarkLoad lists the catalogue over HTTP, as a daemon does at startup, and
// reports the retained heap per entry.
func BenchmarkLoad(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			store := objects.New()
			fill(b, store, n)
			server := httptest.NewServer(objects.Handler(store))
			defer server.Close()
			config := objectapi.Config{Addrs: []string{strings.TrimPrefix(server.URL, "http://")}}
			client := objectapi.NewClient(config, metrics.NewSet(), testbed.NoLog())
			before := heapInUse()
			var c *Catalogue
			for b.Loop() {
				c = benchCatalogue(client)
				require.NoError(b, c.list(context.Background()))
			}
			b.ReportMetric((heapInUse()-before)/float64(n), "heap-B/entry")
			require.Equal(b, n, c.table.Size())
		})
	}
}

// BenchmarkEdit applies one edit received by the watch.
func BenchmarkEdit(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			store := objects.New()
			fill(b, store, n)
			c := benchCatalogue(store)
			require.NoError(b, c.list(context.Background()))
			version := c.Revision()
			edited := benchEntry(n / 2)
			value, err := Encode(edited)
			require.NoError(b, err)
			for b.Loop() {
				object := objectapi.Object{Key: Key(edited.Name), Value: value, Version: version + 1}
				c.applyEvents(version, version+1, []objectapi.Event{{Object: object}})
				version++
			}
		})
	}
}

// BenchmarkExchange builds the reply to a neighbour that has all changes, encodes,
// decodes and applies it, and reports its size.
func BenchmarkExchange(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			store := objects.New()
			fill(b, store, n)
			c := benchCatalogue(store)
			require.NoError(b, c.list(context.Background()))
			for i := range 6 {
				c.contact.recordDataCentre(fmt.Sprint("region-a/", i), time.Now(), time.Now())
			}
			var size int
			for b.Loop() {
				reply := exchangeReply{Batch: c.table.Since(c.Revision())}
				reply.ContactAge, reply.DataCentres = c.contact.ages(time.Now())
				body, err := msgpack.Marshal(reply)
				require.NoError(b, err)
				require.NoError(b, msgpack.Unmarshal(body, &reply))
				c.applyFromPeer(reply.Batch)
				size = len(body)
			}
			b.ReportMetric(float64(size), "reply-B")
		})
	}
}

// BenchmarkEntry looks up one entry, as every request does.
func BenchmarkEntry(b *testing.B) {
	store := objects.New()
	fill(b, store, sizes[len(sizes)-1])
	c := benchCatalogue(store)
	require.NoError(b, c.list(context.Background()))
	name := benchEntry(7).Name
	for b.Loop() {
		if _, ok := c.Entry(name); !ok {
			b.Fatal("entry is missing")
		}
	}
}
