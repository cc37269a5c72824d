package journal_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ibisline/internal/fake/objects"
	"ibisline/internal/fake/testbed"
	"ibisline/internal/journal"
	"ibisline/internal/structs"
)

func TestMain(m *testing.M) { testbed.Main(m, testbed.DefaultSchedules) }

const shardID = structs.ShardID("nav-a.0")

// claim takes the shard over and runs its journal until the test ends.
func claim(ctx context.Context, t require.TestingT, store *objects.Store, home string) *journal.Shard {
	shard, err := tryClaim(ctx, store, home)
	require.NoError(t, err)
	return shard
}

// tryClaim is claim without a requirement.
func tryClaim(ctx context.Context, store *objects.Store, home string) (*journal.Shard, error) {
	head, err := journal.Read(ctx, store, shardID)
	if err != nil {
		return nil, err
	}
	shard, err := journal.Claim(ctx, store, head, home, journal.Config{})
	if err != nil {
		return nil, err
	}
	go func() { _ = shard.Run(ctx) }()
	return shard, nil
}

func add(name string) func(*journal.State) error {
	return func(s *journal.State) error {
		s.Programs[name] = &journal.Program{Entry: "desk"}
		return nil
	}
}

func stored(t require.TestingT, store *objects.Store) *journal.State {
	head, err := journal.Read(context.Background(), store, shardID)
	require.NoError(t, err)
	return head.State
}

func TestChangesShareWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store := objects.New()
		shard := claim(ctx, t, store, "a")
		store.SetFaults(objects.Faults{Slow: 10 * time.Millisecond})
		before := store.Counts().Puts
		var last int64
		for i := range 100 {
			var err error
			last, err = shard.Update(add(fmt.Sprint(i)))
			require.NoError(t, err)
			time.Sleep(100 * time.Microsecond)
		}
		require.NoError(t, shard.Wait(ctx, last))
		require.LessOrEqual(t, store.Counts().Puts-before, 3)
		require.Len(t, stored(t, store).Programs, 100)
	})
}

func TestLostReplyAndLateWriteCountOnce(t *testing.T) {
	for name, faults := range map[string]objects.Faults{
		"lost reply":                {LoseReplies: 1},
		"lost replies":              {LoseReplies: 3},
		"write before the retry":    {LateWrites: 1, LateBy: time.Millisecond},
		"write after the retry":     {LateWrites: 1, LateBy: time.Second},
		"two late, one reply lost":  {LateWrites: 2, LateBy: 30 * time.Millisecond, LoseReplies: 1},
		"three late, all at a time": {LateWrites: 3, LateBy: 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				store := objects.New()
				shard := claim(ctx, t, store, "a")
				store.SetFaults(faults)
				for i := range 4 {
					seq, err := shard.Update(add(fmt.Sprint(i)))
					require.NoError(t, err)
					require.NoError(t, shard.Wait(ctx, seq))
					require.Contains(t, stored(t, store).Programs, fmt.Sprint(i))
				}
				time.Sleep(5 * time.Second)
				require.False(t, shard.Lost())
				require.Len(t, stored(t, store).Programs, 4)
			})
		})
	}
}

func TestTakeoverFencesTheFormerHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store := objects.New()
		former := claim(ctx, t, store, "a")
		holder := claim(ctx, t, store, "b")
		seq, err := former.Update(add("late"))
		require.NoError(t, err)
		require.ErrorIs(t, former.Wait(ctx, seq), journal.ErrLost)
		require.EqualValues(t, 2, former.Successor().Epoch)
		seq, err = holder.Update(add("good"))
		require.NoError(t, err)
		require.NoError(t, holder.Wait(ctx, seq))
		require.NotContains(t, stored(t, store).Programs, "late")
	})
}

func TestLateWriteOfAFormerHolderHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store := objects.New()
		former := claim(ctx, t, store, "a")
		store.SetFaults(objects.Faults{LateWrites: 1, LateBy: time.Minute})
		_, err := former.Update(add("late"))
		require.NoError(t, err)
		synctest.Wait()
		former.Abandon()
		claim(ctx, t, store, "b")
		time.Sleep(2 * time.Minute)
		require.NotContains(t, stored(t, store).Programs, "late")
		require.Equal(t, "b", stored(t, store).Home)
	})
}

func TestWithdrawalIsCleanOnlyIfNothingWasExposed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store := objects.New()
		shard := claim(ctx, t, store, "a")
		remove := func(s *journal.State) { delete(s.Programs, "p") }

		store.SetFaults(objects.Faults{Outage: true})
		seq, err := shard.Update(add("p"))
		require.NoError(t, err)
		require.ErrorIs(t, shard.Try(ctx, seq), journal.ErrDown)
		_, clean, err := shard.Withdraw(seq, remove)
		require.NoError(t, err)
		require.True(t, clean)

		store.SetFaults(objects.Faults{LateWrites: 1, LateBy: time.Hour, Slow: time.Second})
		seq, err = shard.Update(add("p"))
		require.NoError(t, err)
		time.Sleep(1500 * time.Millisecond)
		_, clean, err = shard.Withdraw(seq, remove)
		require.NoError(t, err)
		require.False(t, clean)
		cancel()
		time.Sleep(2 * time.Hour)
	})
}

// TestEveryAcknowledgedChangeIsStored draws faults and takeovers and checks
// that no acknowledged change is lost and no refused one appears.
func TestEveryAcknowledgedChangeIsStored(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 6), 5, 40).Draw(rt, "steps")
		var missing string
		synctest.Test(t, func(*testing.T) { missing = acknowledged(steps) })
		if missing != "" {
			rt.Fatalf("%s", missing)
		}
	})
}

// failure collects the first message of a failed requirement.
type failure struct{ text string }

func (f *failure) Errorf(format string, args ...any) { f.text = fmt.Sprintf(format, args...) }
func (f *failure) FailNow()                          {}

func acknowledged(steps []int) string {
	ctx, cancel := context.WithCancel(context.Background())
	f := &failure{}
	store := objects.New()
	shards := []*journal.Shard{claim(ctx, f, store, "a")}
	want := map[string]bool{}
	for i, step := range steps {
		faults := store.Faults()
		switch step {
		case 0:
			faults.LoseReplies++
		case 1:
			faults.LateWrites, faults.LateBy = 1, time.Duration(i*i)*time.Millisecond
		case 2:
			faults.Outage = !faults.Outage
		case 3:
			// A claim fails in an outage, or when the holder wrote meanwhile.
			if shard, err := tryClaim(ctx, store, fmt.Sprint("home-", i)); err == nil {
				shards = append(shards, shard)
			}
		default:
			// An older holder may try, too.
			shard := shards[(i*7)%len(shards)]
			name := fmt.Sprint("change-", i)
			if seq, err := shard.Update(add(name)); err == nil {
				wait, done := context.WithTimeout(ctx, 300*time.Millisecond)
				if shard.Wait(wait, seq) == nil {
					want[name] = true
				}
				done()
			}
		}
		store.SetFaults(faults)
	}
	store.SetFaults(objects.Faults{})
	time.Sleep(10 * time.Second)
	state := stored(f, store)
	for name := range want {
		if state.Programs[name] == nil {
			f.Errorf("%s was acknowledged and is not stored", name)
		}
	}
	cancel()
	time.Sleep(time.Minute)
	return f.text
}
