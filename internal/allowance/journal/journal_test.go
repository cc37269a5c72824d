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
func open(t *testing.T, disk journal.Disk) *journal.Journal {
	j, err := journal.Open(disk)
	require.NoError(t, err)
	return j
}

func fence(number int64, home string) journal.Fence {
	return journal.Fence{Shard: 3, Number: number, Home: home}
}

// bridge is one that the first home builds.
func bridge(covers []ledger.Cover) journal.Bridge {
	return journal.Bridge{Fence: fence(1, "a"), Generation: 1, Covers: covers}
}

func cover(program string, total int) []ledger.Cover {
	return []ledger.Cover{{Program: program, Total: total, Expires: later}}
}

func TestWhatWasWrittenIsThereAfterARestart(t *testing.T) {
	file, err := journal.NewFile(t.TempDir())
	require.NoError(t, err)
	j := open(t, file)
	id := j.ID()
	_, _, err = j.Take(fence(1, "a"), time.Now())
	require.NoError(t, err)
	require.NoError(t, j.Extend(bridge(cover("p", 500))))
	require.NoError(t, j.Extend(bridge(cover("p", 400))))
	require.NoError(t, j.Close())
	j = open(t, file)
	require.Equal(t, id, j.ID(), "a journal that was there before is the same")
	before, found, err := j.Take(fence(2, "b"), time.Now())
	require.NoError(t, err)
	require.Equal(t, fence(1, "a"), before)
	require.Equal(t, bridge(cover("p", 500)), found, "the highest total counts")
	require.NoError(t, j.Close())
}

func TestFormerHomeCanWriteNothing(t *testing.T) {
	j := open(t, journaltest.NewDisk())
	_, _, err := j.Take(fence(1, "a"), time.Now())
	require.NoError(t, err)
	_, _, err = j.Take(fence(2, "b"), time.Now())
	require.NoError(t, err)
	require.ErrorIs(t, j.Extend(bridge(cover("p", 1))), journal.ErrFenced)
	held, _, err := j.Take(fence(1, "a"), time.Now())
	require.ErrorIs(t, err, journal.ErrFenced)
	require.Equal(t, fence(2, "b"), held)
	_, _, err = j.Take(fence(2, "c"), time.Now())
	require.ErrorIs(t, err, journal.ErrFenced, "of two with one number the first holds")
}

func TestTornEndIsLeftOut(t *testing.T) {
	disk := journaltest.NewDisk()
	j := open(t, disk)
	_, _, err := j.Take(fence(1, "a"), time.Now())
	require.NoError(t, err)
	require.NoError(t, j.Extend(bridge(cover("p", 1))))
	whole := disk.Content()
	require.NoError(t, j.Extend(bridge(cover("q", 2))))
	for size := len(whole); size < len(disk.Content()); size++ {
		torn := journaltest.NewDisk()
		require.NoError(t, torn.Replace(disk.Content()[:size]))
		_, found, err := open(t, torn).Take(fence(2, "b"), time.Now())
		require.NoError(t, err)
		require.Equal(t, cover("p", 1), found.Covers)
	}
}

func TestJournalThatLostItsDiskIsAnotherOne(t *testing.T) {
	disk := journaltest.NewDisk()
	id := open(t, disk).ID()
	require.NotZero(t, id)
	require.Equal(t, id, open(t, disk).ID())
	disk.Wipe()
	require.NotEqual(t, id, open(t, disk).ID())
}

func TestNextGenerationOfABridgeReplacesTheLast(t *testing.T) {
	disk := journaltest.NewDisk()
	j := open(t, disk)
	_, _, err := j.Take(fence(1, "a"), time.Now())
	require.NoError(t, err)
	require.NoError(t, j.Extend(bridge(cover("p", 900))))
	second := bridge(cover("p", 200))
	second.Generation = 2
	require.NoError(t, j.Extend(second))
	_, seen := j.Holder(3)
	require.EqualValues(t, 2, seen.Generation)
	require.Empty(t, seen.Covers)
	closed := journal.Bridge{Fence: fence(1, "a"), Generation: 2, Closed: true}
	for range 2 {
		_, found, err := open(t, disk).Take(fence(1, "a"), time.Now())
		require.NoError(t, err)
		require.Equal(t, second, found)
	}
	require.NoError(t, j.Extend(closed))
	_, found, err := open(t, disk).Take(fence(2, "b"), time.Now())
	require.NoError(t, err)
	require.True(t, found.Closed)
	require.Empty(t, found.Covers)
}

func TestJournalThatCannotBeWrittenPromisesNothing(t *testing.T) {
	disk := journaltest.NewDisk()
	j := open(t, disk)
	_, _, err := j.Take(fence(1, "a"), time.Now())
	require.NoError(t, err)
	disk.Fail(errors.New("no space left"))
	require.ErrorIs(t, j.Extend(bridge(cover("p", 1))), journal.ErrDisk)
	require.Error(t, j.Extend(bridge(cover("p", 2))))
	require.Error(t, j.Retry())
	disk.Fail(nil)
	require.NoError(t, j.Retry())
	require.NoError(t, j.Extend(bridge(cover("q", 3))))
	_, found, err := open(t, disk).Take(fence(2, "b"), time.Now())
	require.NoError(t, err)
	require.Contains(t, found.Covers, cover("q", 3)[0])
}

func TestFileStaysSmall(t *testing.T) {
	disk := journaltest.NewDisk()
	j := open(t, disk)
	_, _, err := j.Take(fence(1, "a"), time.Now())
	require.NoError(t, err)
	name := strings.Repeat("p", 1<<10)
	for i := range 10_000 {
		require.NoError(t, j.Extend(bridge(cover(name, i))))
	}
	require.Less(t, len(disk.Content()), 5<<20)
}
