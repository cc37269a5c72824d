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

// sequence numbers the writes of the tests.
var sequence int64

// bridge is what the first home writes next.
func bridge(covers []ledger.ProgramTotal) journal.Bridge {
	for i := range covers {
		sequence++
		covers[i].Sequence = sequence
	}
	return journal.Bridge{Fence: fence(1, "a"), Sequence: sequence, Covers: covers}
}

func cover(program string, total int) []ledger.ProgramTotal {
	return []ledger.ProgramTotal{{Program: program, Total: total, Expires: later}}
}

func TestWhatWasWrittenIsThereAfterARestart(t *testing.T) {
	file, err := journal.NewFile(t.TempDir())
	require.NoError(t, err)
	j := open(t, file)
	id := j.ID()
	_, _, err = j.Take(fence(1, "a"), time.Now())
	require.NoError(t, err)
	require.NoError(t, j.Extend(bridge(cover("p", 500))))
	last := bridge(cover("p", 400))
	require.NoError(t, j.Extend(last))
	require.NoError(t, j.Close())
	j = open(t, file)
	require.Equal(t, id, j.ID(), "a journal that was there before is the same")
	before, found, err := j.Take(fence(2, "b"), time.Now())
	require.NoError(t, err)
	require.Equal(t, fence(1, "a"), before)
	require.Equal(t, last, found, "the newest total counts")
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
	first := bridge(cover("p", 1))
	require.NoError(t, j.Extend(first))
	whole := disk.Content()
	require.NoError(t, j.Extend(bridge(cover("q", 2))))
	for size := len(whole); size < len(disk.Content()); size++ {
		torn := journaltest.NewDisk()
		require.NoError(t, torn.Replace(disk.Content()[:size]))
		_, found, err := open(t, torn).Take(fence(2, "b"), time.Now())
		require.NoError(t, err)
		require.Equal(t, first.Covers, found.Covers)
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

func TestWholeBridgeReplacesWhatWasThereBefore(t *testing.T) {
	disk := journaltest.NewDisk()
	j := open(t, disk)
	_, _, err := j.Take(fence(1, "a"), time.Now())
	require.NoError(t, err)
	require.NoError(t, j.Extend(bridge(cover("p", 900))))
	whole := bridge(cover("q", 200))
	whole.Whole = true
	later := bridge(cover("r", 300))
	require.NoError(t, j.Extend(later))
	require.NoError(t, j.Extend(whole), "it was overtaken by a later write")
	_, seen := j.Holder(3)
	require.True(t, seen.Whole)
	require.Empty(t, seen.Covers)
	for range 2 {
		_, found, err := open(t, disk).Take(fence(1, "a"), time.Now())
		require.NoError(t, err)
		require.True(t, found.Whole)
		require.ElementsMatch(t, append(whole.Covers, later.Covers...), found.Covers)
	}
}

func TestBridgeOfTheNextHomeBeginsAnew(t *testing.T) {
	j := open(t, journaltest.NewDisk())
	_, _, err := j.Take(fence(1, "a"), time.Now())
	require.NoError(t, err)
	whole := bridge(cover("p", 900))
	whole.Whole = true
	require.NoError(t, j.Extend(whole))
	_, found, err := j.Take(fence(2, "b"), time.Now())
	require.NoError(t, err)
	require.Equal(t, whole, found)
	next := journal.Bridge{Fence: fence(2, "b"), Sequence: 1, Covers: cover("q", 1)}
	require.NoError(t, j.Extend(next))
	_, found, err = j.Take(fence(3, "c"), time.Now())
	require.NoError(t, err)
	require.Equal(t, next, found, "changes alone are not the whole")
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
	last := bridge(cover("q", 3))
	require.NoError(t, j.Extend(last))
	_, found, err := open(t, disk).Take(fence(2, "b"), time.Now())
	require.NoError(t, err)
	require.Contains(t, found.Covers, last.Covers[0])
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
