package limits_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/fake/testbed"
	"ibisline/internal/limits"
	"ibisline/internal/member"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// sendRequests sends count requests round-robin to all daemons, one per interval
// every, and waits for all of them.
func (f *fleet) sendRequests(count int, every, wait, hold time.Duration) {
	var group sync.WaitGroup
	for i := range count {
		d := f.daemon(i % len(f.daemons))
		group.Go(func() { _ = f.request(d, wait, hold) })
		time.Sleep(every)
	}
	group.Wait()
}

func TestUnlimitedEntrySendsNoMessages(t *testing.T) {
	run(t, 3, limited(0), func(t *testing.T, f *fleet) {
		f.sendRequests(100, 0, time.Second, time.Second)
		started, refused := f.outcome()
		require.Equal(t, 100, started)
		require.Empty(t, refused)
		frames, _ := f.network.Traffic()
		require.Zero(t, frames)
	})
}

func TestConcurrencyLimitHoldsAcrossDaemons(t *testing.T) {
	run(t, 9, limited(4), func(t *testing.T, f *fleet) {
		f.sendRequests(90, 10*time.Millisecond, time.Minute, 100*time.Millisecond)
		started, refused := f.outcome()
		require.Equal(t, 90, started)
		require.Empty(t, refused)
	})
}

func TestOneDaemonMayUseTheWholeLimit(t *testing.T) {
	run(t, 9, limited(8), func(t *testing.T, f *fleet) {
		var group sync.WaitGroup
		for range 8 {
			group.Go(func() { require.NoError(t, f.request(f.daemons[2], time.Second, 10*time.Second)) })
		}
		group.Wait()
	})
}

func TestLoweredLimitTakesEffectUnderLoad(t *testing.T) {
	run(t, 9, limited(20), func(t *testing.T, f *fleet) {
		for range 3 {
			go f.sendRequests(200, 5*time.Millisecond, time.Minute, 200*time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		f.edit(func(e *structs.Entry) { e.MaxConcurrent = 3 })
		time.Sleep(10 * time.Second)
		f.edit(func(e *structs.Entry) { e.MaxConcurrent = 50 })
		time.Sleep(time.Minute)
		started, refused := f.outcome()
		require.Equal(t, 600, started)
		require.Empty(t, refused)
	})
}

func TestRefusalsReportNotRun(t *testing.T) {
	entry := limited(1)
	entry.MaxQueued = 2
	run(t, 3, entry, func(t *testing.T, f *fleet) {
		go func() { _ = f.request(f.daemons[0], time.Second, time.Minute) }()
		time.Sleep(time.Second)
		f.sendRequests(9, 0, 5*time.Second, time.Second)
		_, refused := f.outcome()
		require.Len(t, refused, 9)
		reasons := map[verdict.Reason]int{}
		for _, err := range refused {
			require.True(t, verdict.Is(err, verdict.NotRun))
			require.Positive(t, verdict.From(err).RetryAfter)
			reasons[verdict.From(err).Reason]++
		}
		require.Equal(t, map[verdict.Reason]int{verdict.QueueFull: 7, verdict.LimitReached: 2}, reasons)
		_, err := f.daemons[1].Acquire(context.Background(), entry, time.Now())
		require.True(t, verdict.HasReason(err, verdict.DeadlinePassed))
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err = f.daemons[1].Acquire(ctx, entry, time.Now().Add(time.Minute))
		require.True(t, verdict.HasReason(err, verdict.Canceled), "%v", err)
	})
}

// Entries beyond maxNewBorrowers are refused. The daemon is not started, so that no
// borrower leaves the queue of new borrowers.
func TestTooManyNewEntriesAreNotRun(t *testing.T) {
	run(t, 1, limited(1), func(t *testing.T, f *fleet) {
		idle := f.join(1)
		var err error
		for i := 0; !verdict.HasReason(err, verdict.LimitReached); i++ {
			require.Less(t, i, 2000)
			entry := limited(1)
			entry.Name = fmt.Sprint("e", i)
			_, err = idle.Acquire(context.Background(), entry, time.Now().Add(time.Millisecond))
			require.True(t, verdict.Is(err, verdict.NotRun))
		}
	})
}

func TestRateLimitHoldsAcrossDaemons(t *testing.T) {
	entry := limited(0)
	entry.RatePerSecond = 10
	run(t, 9, entry, func(t *testing.T, f *fleet) {
		f.sendRequests(300, 0, time.Minute, 10*time.Millisecond)
		require.Len(t, f.started, 300)
		for i := range f.started[:200] {
			require.GreaterOrEqual(t, f.started[i+100].Sub(f.started[i]), 8*time.Second, "100 starts at 10 a second with a burst of 10")
		}
		require.Less(t, f.started[299].Sub(f.started[0]), 45*time.Second, "the rate limit is fully used")
	})
}

func TestPermitsOfDeadDaemonAreReclaimed(t *testing.T) {
	run(t, 3, limited(2), func(t *testing.T, f *fleet) {
		limiter, homes := f.limiterAndHomes()
		f.holdPermits(homes[0], 2, time.Hour)
		f.kill(homes[0])
		f.setLive(limiter.name, homes[1].name)
		require.NoError(t, f.request(homes[1], 10*time.Second, time.Second))
	})
}

func TestPermitsOfRestartedDaemonAreReclaimed(t *testing.T) {
	run(t, 3, limited(2), func(t *testing.T, f *fleet) {
		f.holdPermits(f.daemons[0], 2, time.Hour)
		f.restart(0)
		require.NoError(t, f.request(f.daemons[0], 10*time.Second, time.Second), "a report of the new process releases the permits of the old one")
	})
}

func TestStaleLimiterGrantsNothing(t *testing.T) {
	run(t, 3, limited(2), func(t *testing.T, f *fleet) {
		for _, d := range f.daemons {
			d.entries.mu.Lock()
			d.entries.stale = true
			d.entries.mu.Unlock()
		}
		require.Error(t, f.request(f.daemons[0], 5*time.Second, time.Second))
	})
}

func TestLimiterRestartsUnderLoad(t *testing.T) {
	run(t, 5, limited(3), func(t *testing.T, f *fleet) {
		go f.sendRequests(2000, 20*time.Millisecond, 30*time.Second, 50*time.Millisecond)
		for i := range f.daemons {
			time.Sleep(5 * time.Second)
			f.restart(i)
		}
		time.Sleep(time.Minute)
		started, _ := f.outcome()
		require.Greater(t, started, 1000)
	})
}

func TestPartitionedHomeStartsNothingAfterLeaseExpiry(t *testing.T) {
	run(t, 3, limited(3), func(t *testing.T, f *fleet) {
		for _, d := range f.daemons {
			for range 4 {
				go f.keepBusy(d)
			}
		}
		time.Sleep(time.Second)
		for _, a := range f.daemons {
			for _, b := range f.daemons {
				f.network.Cut(a.name, b.name, a != b)
			}
		}
		time.Sleep(limits.DefaultLeaseTTL + time.Second)
		working := 0
		for _, d := range f.daemons {
			if f.request(d, 500*time.Millisecond, 0) == nil {
				working++
			}
		}
		require.LessOrEqual(t, working, 1, "only the limiter's own daemon may start requests")
	})
}

// keepBusy sends requests sequentially to a daemon until it stops.
func (f *fleet) keepBusy(d *daemon) {
	for {
		select {
		case <-d.loop.Done():
			return
		default:
			_ = f.request(d, 200*time.Millisecond, 20*time.Millisecond)
		}
	}
}

func TestDifferingViewsYieldOneLimiter(t *testing.T) {
	run(t, 3, limited(3), func(t *testing.T, f *fleet) {
		for _, d := range f.daemons {
			for range 4 {
				go f.keepBusy(d)
			}
		}
		time.Sleep(time.Second)
		joined := f.joinLimiter()
		for _, d := range f.daemons[:3] {
			d.node.SetLive("d0", "d1", "d2")
		}
		for range 4 {
			go f.keepBusy(joined)
		}
		time.Sleep(time.Minute)
		require.Error(t, f.request(joined, 5*time.Second, 0), "the old limiter has not handed over its ledger yet")
		f.setLive("d0", "d1", "d2", joined.name)
		time.Sleep(settleTime)
		require.NoError(t, f.request(joined, 10*time.Second, 0), "the new limiter grants")
	})
}

// joinLimiter adds and starts a daemon that is the limiter of the entry in its own
// view.
func (f *fleet) joinLimiter() *daemon {
	for {
		d := f.join(f.next)
		f.next++
		owner, _ := member.Owner(d.node, "", "a")
		if owner.Name == d.name {
			d.node.SetLive("d0", "d1", "d2", d.name)
			d.loop = testbed.Start(d.Run)
			f.daemons = append(f.daemons, d)
			return d
		}
	}
}
