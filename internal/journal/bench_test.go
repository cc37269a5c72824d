package journal_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"ibisline/internal/fake/objects"
	"ibisline/internal/journal"
)

// BenchmarkCommit measures one durable update of a shard that holds many programs.
func BenchmarkCommit(b *testing.B) {
	for _, programs := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(programs), func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			store := objects.New()
			head, err := journal.Read(ctx, store, shardID)
			require.NoError(b, err)
			shard, err := journal.Claim(ctx, store, head, "a", journal.Config{BytesPerSecond: 1 << 40})
			require.NoError(b, err)
			go func() { _ = shard.Run(ctx) }()
			for i := range programs {
				_, err := shard.Update(func(s *journal.State) error {
					id := fmt.Sprintf("%s.%032d", shardID, i)
					s.Programs[id] = &journal.Program{Entry: "desk", Owner: "weavers", Root: id, Digest: make([]byte, 32), Engines: []string{"engine-1"}}
					return nil
				})
				require.NoError(b, err)
			}
			b.ReportAllocs()
			for b.Loop() {
				seq, err := shard.Update(func(*journal.State) error { return nil })
				require.NoError(b, err)
				require.NoError(b, shard.Wait(ctx, seq))
			}
			b.StopTimer()
			object, err := store.Get(ctx, journal.Key(shardID))
			require.NoError(b, err)
			b.ReportMetric(float64(len(object.Value)), "bytes/object")
		})
	}
}
