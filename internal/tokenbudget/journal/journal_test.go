package journal_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"ibisline/internal/tokenbudget/journal"
	"ibisline/internal/tokenbudget/journal/journaltest"
	"ibisline/internal/tokenbudget/ledger"
)

// notExpired is an expiry, in Unix milliseconds, after the end of these tests.
var notExpired = time.Now().Add(time.Hour).UnixMilli()

// open returns the journal on a disk.
func open(t *testing.T, disk journal.Disk) *journal.Journal {
	j, err := journal.Open(disk)
	require.NoError(t, err)
	return j
}

func fence(number int64, home string) journal.Fence {
	return journal.Fence{Shard: 3, Number: number, Home: home}
}

// sequence numbers the writes of the tests.
var sequence int64

// nextWrite returns the next write of the first home.
func nextWrite(totals []ledger.ProgramTotal) journal.Replica {
	for i := range totals {
		sequence++
		totals[i].Sequence = sequence
	}
	return journal.Replica{Fence: fence(1, "a"), Sequence: sequence, Totals: totals}
}

func totalOf(program string, total int) []ledger.ProgramTotal {
	return []ledger.ProgramTotal{{Program: program, Total: total, Expires: notExpired}}
}

func TestWritesSurviveRestart(t *testing.T) {
	file, err := journal.NewFile(t.TempDir())
	require.NoError(t, err)
	j := open(t, file)
	id := j.ID()
	_, _, err = j.Fence(fence(1, "a"), journal.Known{}, time.Now())
	require.NoError(t, err)
	require.NoError(t, j.Append(nextWrite(totalOf("p", 500))))
	last := nextWrite(totalOf("p", 400))
	require.NoError(t, j.Append(last))
	require.NoError(t, j.Close())
	j = open(t, file)
	require.Equal(t, id, j.ID(), "the identity of an existing journal does not change")
	previous, found, err := j.Fence(fence(2, "b"), journal.Known{}, time.Now())
	require.NoError(t, err)
	require.Equal(t, fence(1, "a"), previous)
	require.Equal(t, last, found, "the newest total takes precedence")
	require.NoError(t, j.Close())
}

func TestFencedHomeCannotWrite(t *testing.T) {
	j := open(t, journaltest.NewDisk())
	_, _, err := j.Fence(fence(1, "a"), journal.Known{}, time.Now())
	require.NoError(t, err)
	_, _, err = j.Fence(fence(2, "b"), journal.Known{}, time.Now())
	require.NoError(t, err)
	require.ErrorIs(t, j.Append(nextWrite(totalOf("p", 1))), journal.ErrFenced)
	held, _, err := j.Fence(fence(1, "a"), journal.Known{}, time.Now())
	require.ErrorIs(t, err, journal.ErrFenced)
	require.Equal(t, fence(2, "b"), held)
	_, _, err = j.Fence(fence(2, "c"), journal.Known{}, time.Now())
	require.ErrorIs(t, err, journal.ErrFenced, "of two fences with the same number the first wins")
}

// Guards against a fence that returns totals which its caller has from the checkpoint.
func TestFenceOmitsKnownTotals(t *testing.T) {
	for _, c := range []struct {
		name  string
		known journal.Known
		found int
	}{
		{"nothing known", journal.Known{}, 2},
		{"checkpoint of an earlier fence", journal.Known{Number: 0, Sequence: 9}, 2},
		{"checkpoint between the writes", journal.Known{Number: 1, Sequence: 2}, 1},
		{"checkpoint after the writes", journal.Known{Number: 1, Sequence: 3}, 0},
		{"checkpoint of a later fence", journal.Known{Number: 2}, 0},
	} {
		j := open(t, journaltest.NewDisk())
		_, _, err := j.Fence(fence(1, "a"), journal.Known{}, time.Now())
		require.NoError(t, err)
		for i, program := range []string{"p", "q"} {
			write := nextWrite(totalOf(program, 1))
			write.Sequence = int64(i + 1)
			write.Totals[0].Sequence = write.Sequence
			require.NoError(t, j.Append(write))
		}
		_, found, err := j.Fence(fence(2, "b"), c.known, time.Now())
		require.NoError(t, err)
		require.Len(t, found.Totals, c.found, c.name)
		_, found, err = j.Fence(fence(3, "c"), journal.Known{}, time.Now())
		require.NoError(t, err)
		require.Len(t, found.Totals, 2, "%s: omitted totals stay in the journal", c.name)
	}
}

func TestTornRecordIsIgnored(t *testing.T) {
	disk := journaltest.NewDisk()
	j := open(t, disk)
	_, _, err := j.Fence(fence(1, "a"), journal.Known{}, time.Now())
	require.NoError(t, err)
	first := nextWrite(totalOf("p", 1))
	require.NoError(t, j.Append(first))
	intact := disk.Content()
	require.NoError(t, j.Append(nextWrite(totalOf("q", 2))))
	for size := len(intact); size < len(disk.Content()); size++ {
		torn := journaltest.NewDisk()
		require.NoError(t, torn.Replace(disk.Content()[:size]))
		_, found, err := open(t, torn).Fence(fence(2, "b"), journal.Known{}, time.Now())
		require.NoError(t, err)
		require.Equal(t, first.Totals, found.Totals)
	}
}

func TestLostDiskChangesIdentity(t *testing.T) {
	disk := journaltest.NewDisk()
	id := open(t, disk).ID()
	require.NotZero(t, id)
	require.Equal(t, id, open(t, disk).ID())
	disk.Wipe()
	require.NotEqual(t, id, open(t, disk).ID())
}

func TestCompleteReplicaReplacesEarlierTotals(t *testing.T) {
	disk := journaltest.NewDisk()
	j := open(t, disk)
	_, _, err := j.Fence(fence(1, "a"), journal.Known{}, time.Now())
	require.NoError(t, err)
	require.NoError(t, j.Append(nextWrite(totalOf("p", 900))))
	complete := nextWrite(totalOf("q", 200))
	complete.Complete = true
	later := nextWrite(totalOf("r", 300))
	require.NoError(t, j.Append(later))
	require.NoError(t, j.Append(complete), "a later write arrived before it")
	_, seen := j.Holder(3)
	require.True(t, seen.Complete)
	require.Empty(t, seen.Totals)
	for range 2 {
		_, found, err := open(t, disk).Fence(fence(1, "a"), journal.Known{}, time.Now())
		require.NoError(t, err)
		require.True(t, found.Complete)
		require.ElementsMatch(t, append(complete.Totals, later.Totals...), found.Totals)
	}
}

func TestNextHomeStartsNewReplica(t *testing.T) {
	j := open(t, journaltest.NewDisk())
	_, _, err := j.Fence(fence(1, "a"), journal.Known{}, time.Now())
	require.NoError(t, err)
	complete := nextWrite(totalOf("p", 900))
	complete.Complete = true
	require.NoError(t, j.Append(complete))
	_, found, err := j.Fence(fence(2, "b"), journal.Known{}, time.Now())
	require.NoError(t, err)
	require.Equal(t, complete, found)
	next := journal.Replica{Fence: fence(2, "b"), Sequence: 1, Totals: totalOf("q", 1)}
	require.NoError(t, j.Append(next))
	_, found, err = j.Fence(fence(3, "c"), journal.Known{}, time.Now())
	require.NoError(t, err)
	require.Equal(t, next, found, "changes alone are not a complete replica")
}

func TestFailedDiskAcknowledgesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := journaltest.NewDisk()
		j := open(t, disk)
		_, _, err := j.Fence(fence(1, "a"), journal.Known{}, time.Now())
		require.NoError(t, err)
		disk.Fail(errors.New("no space left"))
		require.ErrorIs(t, j.Append(nextWrite(totalOf("p", 1))), journal.ErrDisk)
		// The goroutine of the failed write ends after Append has returned, and Retry
		// does not try the disk before that.
		synctest.Wait()
		require.Error(t, j.Append(nextWrite(totalOf("p", 2))))
		require.Error(t, j.Retry())
		disk.Fail(nil)
		require.NoError(t, j.Retry())
		last := nextWrite(totalOf("q", 3))
		require.NoError(t, j.Append(last))
		_, found, err := open(t, disk).Fence(fence(2, "b"), journal.Known{}, time.Now())
		require.NoError(t, err)
		require.Contains(t, found.Totals, last.Totals[0])
	})
}

func TestFileIsCompacted(t *testing.T) {
	disk := journaltest.NewDisk()
	j := open(t, disk)
	_, _, err := j.Fence(fence(1, "a"), journal.Known{}, time.Now())
	require.NoError(t, err)
	name := strings.Repeat("p", 1<<10)
	for i := range 10_000 {
		require.NoError(t, j.Append(nextWrite(totalOf(name, i))))
	}
	require.Less(t, len(disk.Content()), 5<<20)
}
