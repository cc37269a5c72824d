package objectcache_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"ibisline/internal/fake/objects"
	"ibisline/internal/fake/peers"
	"ibisline/internal/fake/testbed"
	"ibisline/internal/objectapi"
	"ibisline/internal/objectcache"
	"ibisline/internal/structs"
)

// slowStore answers listings late, and refuses those of a daemon that is cut off.
type slowStore struct {
	*objects.Store
	random *rand.Rand
	mu     *sync.Mutex
	cut    *bool
}

func (s slowStore) delay() {
	s.mu.Lock()
	d := time.Duration(s.random.IntN(400)) * time.Millisecond
	s.mu.Unlock()
	time.Sleep(d)
}

func (s slowStore) List(ctx context.Context, prefix string) ([]objectapi.Object, int64, error) {
	s.delay()
	s.mu.Lock()
	cut := *s.cut
	s.mu.Unlock()
	if cut {
		return nil, 0, objectapi.ErrUnavailable
	}
	found, revision, err := s.Store.List(ctx, prefix)
	s.delay()
	return found, revision, err
}

// Guards against a copy that counts as current at a time before which the store had accepted a change
// that the copy lacks: after late answers, of the store or of daemons, and through daemons that are
// cut off. The proof of a daemon that nobody reaches must end.
func TestProofsNeverOvertakeTheStore(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			const prefix, daemons = "config/", 4
			started := time.Now()
			clock := func() time.Duration { return time.Since(started) + time.Hour }
			random, mu := rand.New(rand.NewPCG(seed, 1)), &sync.Mutex{}
			latency := func(_, _ structs.Instance) time.Duration { return 120 * time.Millisecond }
			store, network := objects.New(), peers.New(latency)
			cuts := make([]bool, daemons)
			var caches []*objectcache.Cache
			var loops []*testbed.Loop
			for i := range daemons {
				node := network.Join(structs.Instance{Name: fmt.Sprint("d", i)})
				source := slowStore{Store: store, random: random, mu: mu, cut: &cuts[i]}
				cache := objectcache.New(objectcache.Config{Rank: func(string) int { return i }, Clock: clock},
					prefix, source, node, node, metrics.NewSet(), testbed.NoLog())
				caches = append(caches, cache)
				loops = append(loops, testbed.Start(cache.Run))
			}
			// acceptedAt holds when the store had accepted each version.
			type edit struct {
				version int64
				at      time.Duration
			}
			var edits []edit
			version := objectapi.NoVersion
			check := func() {
				for i, cache := range caches {
					at, newest := cache.Current()
					for _, e := range edits {
						require.False(t, e.at < at && e.version > newest, "daemon %d lacks version %d", i, e.version)
					}
				}
			}
			for step := range 120 {
				mu.Lock()
				action, from, to, first, second := random.IntN(8), random.IntN(daemons), random.IntN(daemons), random.IntN(300), random.IntN(300)
				mu.Unlock()
				switch {
				case action == 0:
					next, err := store.Put(context.Background(), prefix+"main", []byte(fmt.Sprint(step)), version)
					require.NoError(t, err)
					version = next
					edits = append(edits, edit{next, clock()})
				case action == 1:
					mu.Lock()
					cuts[to] = !cuts[to]
					mu.Unlock()
				default:
					// A probe and its answer, as members exchange them.
					go func() {
						askedAt := clock()
						time.Sleep(time.Duration(first) * time.Millisecond)
						at, newest := caches[from].Current()
						listing, age := caches[from].Listing(), clock()-at
						time.Sleep(time.Duration(second) * time.Millisecond)
						caches[to].HandlePeerState(context.Background(), fmt.Sprint("d", from), newest, listing)
						if at > 0 {
							caches[to].ProveCurrent(askedAt-age, newest)
						}
					}()
				}
				time.Sleep(100 * time.Millisecond)
				check()
			}
			mu.Lock()
			for i := range cuts {
				cuts[i] = true
			}
			mu.Unlock()
			time.Sleep(2 * time.Second)
			before, _ := caches[0].Current()
			require.NotZero(t, before)
			time.Sleep(5 * time.Second)
			after, _ := caches[0].Current()
			require.Equal(t, before, after)
			check()
			for _, loop := range loops {
				loop.Stop()
			}
		})
	}
}
