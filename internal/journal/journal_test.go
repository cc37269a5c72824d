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

// claim claims the shard for home and runs its commit loop until ctx ends.
func claim(ctx context.Context, t require.TestingT, store *objects.Store, home string) *journal.Shard {
	shard, err := tryClaim(ctx, store, home)
	require.NoError(t, err)
	return shard
}

// tryClaim is like claim but returns the error instead of failing the test.
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

func addProgram(name string) func(*journal.State) error {
	return func(s *journal.State) error {
		s.Programs[name] = &journal.Program{Entry: "desk"}
		return nil
	}
}

func storedState(t require.TestingT, store *objects.Store) *journal.State {
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
			last, err = shard.Update(addProgram(fmt.Sprint(i)))
			require.NoError(t, err)
			time.Sleep(100 * time.Microsecond)
		}
		require.NoError(t, shard.Wait(ctx, last))
		require.LessOrEqual(t, store.Counts().Puts-before, 3)
		require.Len(t, storedState(t, store).Programs, 100)
	})
}

func TestWritesWithUnknownOutcomeApplyOnce(t *testing.T) {
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
					seq, err := shard.Update(addProgram(fmt.Sprint(i)))
					require.NoError(t, err)
					require.NoError(t, shard.Wait(ctx, seq))
					require.Contains(t, storedState(t, store).Programs, fmt.Sprint(i))
				}
				time.Sleep(5 * time.Second)
				require.False(t, shard.Lost())
				require.Len(t, storedState(t, store).Programs, 4)
			})
		})
	}
}

func TestClaimFencesPreviousHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store := objects.New()
		previous := claim(ctx, t, store, "a")
		holder := claim(ctx, t, store, "b")
		seq, err := previous.Update(addProgram("late"))
		require.NoError(t, err)
		require.ErrorIs(t, previous.Wait(ctx, seq), journal.ErrLost)
		require.EqualValues(t, 2, previous.Successor().Epoch)
		seq, err = holder.Update(addProgram("good"))
		require.NoError(t, err)
		require.NoError(t, holder.Wait(ctx, seq))
		require.NotContains(t, storedState(t, store).Programs, "late")
	})
}

func TestLateWriteOfPreviousHolderHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store := objects.New()
		previous := claim(ctx, t, store, "a")
		store.SetFaults(objects.Faults{LateWrites: 1, LateBy: time.Minute})
		_, err := previous.Update(addProgram("late"))
		require.NoError(t, err)
		synctest.Wait()
		previous.Abandon()
		claim(ctx, t, store, "b")
		time.Sleep(2 * time.Minute)
		require.NotContains(t, storedState(t, store).Programs, "late")
		require.Equal(t, "b", storedState(t, store).Home)
	})
}

func TestWithdrawIsCleanOnlyIfChangeWasNotWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store := objects.New()
		shard := claim(ctx, t, store, "a")
		remove := func(s *journal.State) { delete(s.Programs, "p") }

		store.SetFaults(objects.Faults{Outage: true})
		seq, err := shard.Update(addProgram("p"))
		require.NoError(t, err)
		require.ErrorIs(t, shard.WaitUnlessDown(ctx, seq), journal.ErrPlatformDown)
		_, clean, err := shard.Withdraw(seq, remove)
		require.NoError(t, err)
		require.True(t, clean)

		store.SetFaults(objects.Faults{LateWrites: 1, LateBy: time.Hour, Slow: time.Second})
		seq, err = shard.Update(addProgram("p"))
		require.NoError(t, err)
		time.Sleep(1500 * time.Millisecond)
		_, clean, err = shard.Withdraw(seq, remove)
		require.NoError(t, err)
		require.False(t, clean)
		cancel()
		time.Sleep(2 * time.Hour)
	})
}

// TestEveryAcknowledgedChangeIsStored checks under random faults and takeovers
// that no acknowledged change is lost.
func TestEveryAcknowledgedChangeIsStored(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 6), 5, 40).Draw(rt, "steps")
		var failure string
		synctest.Test(t, func(*testing.T) { failure = runSteps(steps) })
		if failure != "" {
			rt.Fatalf("%s", failure)
		}
	})
}

// failureRecorder implements require.TestingT. It records the message of the last failed
// assertion.
type failureRecorder struct{ text string }

func (f *failureRecorder) Errorf(format string, args ...any) { f.text = fmt.Sprintf(format, args...) }
func (f *failureRecorder) FailNow()                          {}

func runSteps(steps []int) string {
	ctx, cancel := context.WithCancel(context.Background())
	f := &failureRecorder{}
	store := objects.New()
	shards := []*journal.Shard{claim(ctx, f, store, "a")}
	acknowledged := map[string]bool{}
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
			// A claim fails during an outage and if the holder wrote in between.
			if shard, err := tryClaim(ctx, store, fmt.Sprint("home-", i)); err == nil {
				shards = append(shards, shard)
			}
		default:
			// The update may go to a previous holder.
			shard := shards[(i*7)%len(shards)]
			name := fmt.Sprint("change-", i)
			if seq, err := shard.Update(addProgram(name)); err == nil {
				waitCtx, done := context.WithTimeout(ctx, 300*time.Millisecond)
				if shard.Wait(waitCtx, seq) == nil {
					acknowledged[name] = true
				}
				done()
			}
		}
		store.SetFaults(faults)
	}
	store.SetFaults(objects.Faults{})
	time.Sleep(10 * time.Second)
	state := storedState(f, store)
	for name := range acknowledged {
		if state.Programs[name] == nil {
			f.Errorf("%s was acknowledged and is not stored", name)
		}
	}
	cancel()
	time.Sleep(time.Minute)
	return f.text
}
