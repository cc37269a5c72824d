package journal_test

import (
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"ibisline/internal/allowance/journal"
	"ibisline/internal/allowance/journal/journaltest"
	"ibisline/internal/allowance/ledger"
)

// later is a time at which no program of these tests has expired yet.
var later = time.Now().Add(time.Hour).UnixMilli()

// open returns the journal on a disk.
func open(t *testing.T, disk journal.Disk, fresh bool) *journal.Journal {
	j, err := journal.Open(disk, fresh, time.Now())
	require.NoError(t, err)
	return j
}

func fence(number int64, home string) journal.Fence {
	return journal.Fence{Shard: 3, Number: number, Home: home}
}

func cover(program string, total int) []ledger.Cover {
	return []ledger.Cover{{Program: program, Total: total, Expires: later}}
}

func TestWhatWasWrittenIsThereAfterARestart(t *testing.T) {
	file, err := journal.NewFile(t.TempDir())
	require.NoError(t, err)
	j := open(t, file, true)
	_, _, err = j.Take(fence(1, "a"), time.Now())
	require.NoError(t, err)
	require.NoError(t, j.Append(fence(1, "a"), cover("p", 500)))
	require.NoError(t, j.Append(fence(1, "a"), cover("p", 400)))
	require.NoError(t, j.Close())
	j = open(t, file, false)
	require.Zero(t, j.Born(), "a journal that was there before lacks nothing")
	before, covers, err := j.Take(fence(2, "b"), time.Now())
	require.NoError(t, err)
	require.Equal(t, fence(1, "a"), before)
	require.Equal(t, cover("p", 500), covers, "the highest total counts")
	require.NoError(t, j.Close())
}

func TestFormerHomeCanWriteNothing(t *testing.T) {
	j := open(t, journaltest.NewDisk(), true)
	_, _, err := j.Take(fence(1, "a"), time.Now())
	require.NoError(t, err)
	_, _, err = j.Take(fence(2, "b"), time.Now())
	require.NoError(t, err)
	require.ErrorIs(t, j.Append(fence(1, "a"), cover("p", 1)), journal.ErrFenced)
	held, _, err := j.Take(fence(1, "a"), time.Now())
	require.ErrorIs(t, err, journal.ErrFenced)
	require.Equal(t, fence(2, "b"), held)
	_, _, err = j.Take(fence(2, "c"), time.Now())
	require.ErrorIs(t, err, journal.ErrFenced, "of two with one number the first holds")
}

func TestTornEndIsLeftOut(t *testing.T) {
	disk := journaltest.NewDisk()
	j := open(t, disk, true)
	_, _, err := j.Take(fence(1, "a"), time.Now())
	require.NoError(t, err)
	require.NoError(t, j.Append(fence(1, "a"), cover("p", 1)))
	whole := disk.Content()
	require.NoError(t, j.Append(fence(1, "a"), cover("q", 2)))
	for size := len(whole); size < len(disk.Content()); size++ {
		torn := journaltest.NewDisk()
		require.NoError(t, torn.Replace(disk.Content()[:size]))
		_, covers, err := open(t, torn, false).Take(fence(2, "b"), time.Now())
		require.NoError(t, err)
		require.Equal(t, cover("p", 1), covers)
	}
}

func TestEmptyJournalLacksSomethingUnlessTheFleetIsNew(t *testing.T) {
	require.Zero(t, open(t, journaltest.NewDisk(), true).Born())
	disk := journaltest.NewDisk()
	born := open(t, disk, false).Born()
	require.NotZero(t, born)
	require.Equal(t, born, open(t, disk, false).Born(), "it still does after a restart")
}

func TestJournalThatCannotBeWrittenPromisesNothing(t *testing.T) {
	disk := journaltest.NewDisk()
	j := open(t, disk, true)
	_, _, err := j.Take(fence(1, "a"), time.Now())
	require.NoError(t, err)
	disk.Fail(errors.New("no space left"))
	require.ErrorIs(t, j.Append(fence(1, "a"), cover("p", 1)), journal.ErrDisk)
	require.Error(t, j.Append(fence(1, "a"), cover("p", 2)))
	require.Error(t, j.Retry())
	disk.Fail(nil)
	require.NoError(t, j.Retry())
	require.NoError(t, j.Append(fence(1, "a"), cover("q", 3)))
	_, covers, err := open(t, disk, false).Take(fence(2, "b"), time.Now())
	require.NoError(t, err)
	require.Contains(t, covers, cover("q", 3)[0])
}

func TestFileStaysSmall(t *testing.T) {
	disk := journaltest.NewDisk()
	j := open(t, disk, true)
	_, _, err := j.Take(fence(1, "a"), time.Now())
	require.NoError(t, err)
	name := strings.Repeat("p", 1<<10)
	for i := range 10_000 {
		require.NoError(t, j.Append(fence(1, "a"), cover(name, i)))
	}
	require.Less(t, len(disk.Content()), 5<<20)
}
