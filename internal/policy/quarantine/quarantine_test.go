package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ibisline/internal/fake/testbed"
	"ibisline/internal/policy/quarantine"
)

func TestMain(m *testing.M) { testbed.Main(m, testbed.DefaultSchedules) }

var epoch = time.Unix(1_000_000, 0)

// When suspects are retried one at a time, a request that crashes every engine is
// refused after the second crash and no other request is, whatever runs
// concurrently.
func TestOnlyCrashingRequestIsRefusedAfterTwoCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := quarantine.NewList()
		others := rapid.IntRange(0, 20).Draw(t, "first_others")
		first := []string{"guilty"}
		for i := range others {
			first = append(first, fmt.Sprint("first-", i))
		}
		list.RecordCrash("e1", first, epoch)
		second := []string{"guilty"}
		for i := range rapid.IntRange(0, 20).Draw(t, "others") {
			second = append(second, fmt.Sprint("second-", i))
		}
		list.RecordCrash("e2", second, epoch.Add(time.Second))
		for _, entry := range list.All() {
			guilty := entry.Fingerprint == "guilty"
			require.Equal(t, guilty, entry.Standing == quarantine.Refused, entry.Fingerprint)
		}
		require.Equal(t, quarantine.Clear, list.Find("second-0", epoch).Standing)
	})
}

func TestSeveralSuspectsAtACrashAreNotRefused(t *testing.T) {
	list := quarantine.NewList()
	list.RecordCrash("e1", []string{"a", "b"}, epoch)
	require.Empty(t, list.RecordCrash("e2", []string{"a", "b", "c"}, epoch))
	require.Equal(t, quarantine.Suspect, list.Find("a", epoch).Standing)
	require.Equal(t, quarantine.Clear, list.Find("c", epoch).Standing)
}

func TestFinishedSuspectIsClearAndRefusedStays(t *testing.T) {
	list := quarantine.NewList()
	list.RecordCrash("e1", []string{"a", "b"}, epoch)
	list.RecordCrash("e2", []string{"b"}, epoch)
	list.RecordCompletion("a")
	list.RecordCompletion("b")
	require.Equal(t, quarantine.Clear, list.Find("a", epoch).Standing)
	require.Equal(t, quarantine.Refused, list.Find("b", epoch).Standing)
}

func TestEntriesExpire(t *testing.T) {
	list := quarantine.NewList()
	list.RecordCrash("e1", []string{"a"}, epoch)
	later := epoch.Add(quarantine.SuspectLifetime)
	require.Equal(t, quarantine.Clear, list.Find("a", later).Standing)
	list.RecordCrash("e1", []string{"a"}, later)
	require.Equal(t, quarantine.Suspect, list.Find("a", later).Standing)
	list.Expire(later.Add(quarantine.SuspectLifetime))
	require.Zero(t, list.Len())
}

// Entries merged in any order and any number of times give the same list.
func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) quarantine.Entry {
			return quarantine.Entry{
				Fingerprint: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "fingerprint"),
				Standing:    rapid.SampledFrom([]quarantine.Standing{quarantine.Suspect, quarantine.Refused}).Draw(t, "standing"),
				Expires:     epoch.Add(time.Duration(rapid.IntRange(-5, 5).Draw(t, "second")) * time.Second),
			}
		}), 1, 10).Draw(t, "entries")
		one, two := quarantine.NewList(), quarantine.NewList()
		for _, entry := range entries {
			one.Merge(entry, epoch)
		}
		for _, entry := range rapid.Permutation(append(entries, entries...)).Draw(t, "order") {
			two.Merge(entry, epoch)
		}
		require.Equal(t, one.All(), two.All())
	})
}
