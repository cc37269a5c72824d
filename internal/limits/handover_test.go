package limits_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/limits"
	"ibisline/internal/member"
)

// limiterAndHomes returns the limiter of the entry and the other daemons.
func (f *fleet) limiterAndHomes() (limiter *daemon, homes []*daemon) {
	owner, _ := member.Owner(f.daemons[0].node, "", "a")
	at := slices.IndexFunc(f.daemons, func(d *daemon) bool { return d.name == owner.Name })
	return f.daemons[at], slices.Delete(slices.Clone(f.daemons), at, at+1)
}

// holdPermits starts requests at a daemon that stay in flight for the given time.
func (f *fleet) holdPermits(d *daemon, count int, hold time.Duration) {
	for range count {
		go func() { _ = f.request(d, time.Second, hold) }()
	}
	time.Sleep(time.Second)
}

// The permits of a restarted daemon must not stay in the ledger when the new process
// does not use the entry and therefore sends no report.
func TestPermitsOfSilentlyRestartedDaemonAreReclaimed(t *testing.T) {
	run(t, 3, limited(2), func(t *testing.T, f *fleet) {
		_, homes := f.limiterAndHomes()
		f.holdPermits(homes[0], 2, time.Hour)
		f.restart(slices.Index(f.daemons, homes[0]))
		require.NoError(t, f.request(homes[1], time.Minute, 0))
	})
}

// The first limiter has handed over its ledger to the second and must not report it
// as complete to a third daemon, whose view lacks the second limiter. The third
// daemon has to wait until the leases have expired.
func TestHandedOverLedgerIsNotReportedComplete(t *testing.T) {
	run(t, 3, limited(2), func(t *testing.T, f *fleet) {
		first, homes := f.limiterAndHomes()
		second, third := f.joinLimiter(), f.joinLimiter()
		for _, d := range []*daemon{first, homes[0], homes[1]} {
			d.node.SetLive("d0", "d1", "d2", second.name)
		}
		second.node.SetLive("d0", "d1", "d2", second.name)
		time.Sleep(settleTime)
		f.holdPermits(homes[0], 2, time.Hour)
		first.node.SetLive("d0", "d1", "d2", second.name, third.name)
		require.Error(t, f.request(third, time.Second, 0))
	})
}

// A daemon that becomes the limiter again must not grant from its old ledger, because
// another daemon was the limiter in the meantime and granted permits.
func TestFormerLimiterRelearnsHolders(t *testing.T) {
	run(t, 3, limited(2), func(t *testing.T, f *fleet) {
		former, homes := f.limiterAndHomes()
		require.NoError(t, f.request(former, time.Second, 0))
		joined := f.joinLimiter()
		f.network.Cut(joined.name, former.name, true)
		f.setLive("d0", "d1", "d2", joined.name)
		time.Sleep(settleTime)
		f.holdPermits(homes[0], 2, time.Hour)
		f.kill(joined)
		f.setLive("d0", "d1", "d2")
		require.Error(t, f.request(former, time.Second, 0))
	})
}

// A home repeats its last report if it is lost. Otherwise its permits would stay in
// the ledger although it holds none.
func TestLostLastReportIsRepeated(t *testing.T) {
	run(t, 3, limited(2), func(t *testing.T, f *fleet) {
		limiter, homes := f.limiterAndHomes()
		f.holdPermits(homes[0], 2, 2*time.Second)
		f.network.Cut(homes[0].name, limiter.name, true)
		time.Sleep(4 * time.Second)
		f.network.Cut(homes[0].name, limiter.name, false)
		require.NoError(t, f.request(homes[1], limits.DefaultHolderTimeout, 0))
	})
}
