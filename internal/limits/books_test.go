package limits_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/limits"
	"ibisline/internal/member"
)

// roles returns the limiter of the entry and the other daemons.
func (f *fleet) roles() (limiter *daemon, homes []*daemon) {
	owner, _ := member.Owner(f.daemons[0].node, "", "a")
	at := slices.IndexFunc(f.daemons, func(d *daemon) bool { return d.name == owner.Name })
	return f.daemons[at], slices.Delete(slices.Clone(f.daemons), at, at+1)
}

// hold starts requests at a daemon that stay under way for a while.
func (f *fleet) hold(d *daemon, count int, hold time.Duration) {
	for range count {
		go func() { _ = f.request(d, time.Second, hold) }()
	}
	time.Sleep(time.Second)
}

// TestPermitsOfAnUnreportedRestartComeBack: the new process does not use the
// entry and so reports nothing.
func TestPermitsOfAnUnreportedRestartComeBack(t *testing.T) {
	run(t, 3, limited(2), func(t *testing.T, f *fleet) {
		_, homes := f.roles()
		f.hold(homes[0], 2, time.Hour)
		f.restart(slices.Index(f.daemons, homes[0]))
		require.NoError(t, f.request(homes[1], time.Minute, 0))
	})
}

// TestBooksGivenAwayAreNotGivenOnAsComplete: a third daemon, which does not know
// the second limiter, must let the leases end first.
func TestBooksGivenAwayAreNotGivenOnAsComplete(t *testing.T) {
	run(t, 3, limited(2), func(t *testing.T, f *fleet) {
		first, homes := f.roles()
		second, third := f.joinOwner(), f.joinOwner()
		for _, d := range []*daemon{first, homes[0], homes[1]} {
			d.node.SetLive("d0", "d1", "d2", second.name)
		}
		second.node.SetLive("d0", "d1", "d2", second.name)
		time.Sleep(settleTime)
		f.hold(homes[0], 2, time.Hour)
		first.node.SetLive("d0", "d1", "d2", second.name, third.name)
		require.Error(t, f.request(third, time.Second, 0))
	})
}

// TestFormerLimiterLearnsTheBooksAnew: another daemon was the limiter in between
// and granted permits that the former one has not heard of.
func TestFormerLimiterLearnsTheBooksAnew(t *testing.T) {
	run(t, 3, limited(2), func(t *testing.T, f *fleet) {
		former, homes := f.roles()
		require.NoError(t, f.request(former, time.Second, 0))
		joined := f.joinOwner()
		f.network.Cut(joined.name, former.name, true)
		f.setLive("d0", "d1", "d2", joined.name)
		time.Sleep(settleTime)
		f.hold(homes[0], 2, time.Hour)
		f.kill(joined)
		f.setLive("d0", "d1", "d2")
		require.Error(t, f.request(former, time.Second, 0))
	})
}

// TestLostLastReportIsRepeated: the books would otherwise name a home that holds
// nothing any more.
func TestLostLastReportIsRepeated(t *testing.T) {
	run(t, 3, limited(2), func(t *testing.T, f *fleet) {
		limiter, homes := f.roles()
		f.hold(homes[0], 2, 2*time.Second)
		f.network.Cut(homes[0].name, limiter.name, true)
		time.Sleep(4 * time.Second)
		f.network.Cut(homes[0].name, limiter.name, false)
		require.NoError(t, f.request(homes[1], limits.DefaultHoldFor, 0))
	})
}
