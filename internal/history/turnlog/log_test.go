package turnlog_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/history/turnlog"
	"ibisline/internal/history/turnlog/turnlogtest"
)

// conversation returns a chain of turns with outputs of a size.
func conversation(name string, turns, outputBytes int, expires time.Time) []turnlog.Turn {
	var chain []turnlog.Turn
	previous := ""
	for i := range turns {
		id := fmt.Sprintf("%s-%d", name, i)
		chain = append(chain, turnlog.Turn{
			ID: id, Previous: previous, Input: []byte(id), Output: bytes.Repeat([]byte("x"), outputBytes), Expires: expires.UnixMilli(),
		})
		previous = id
	}
	return chain
}

// TestSpaceOfExpiredTurnsIsFreed guards against a disk that fills up, also where a turn that is still needed lies
// in each segment, and against the loss of that turn.
func TestSpaceOfExpiredTurnsIsFreed(t *testing.T) {
	disk := turnlogtest.NewDisk()
	log, err := turnlog.Open(disk.Start(), true)
	require.NoError(t, err)
	now := time.Now()
	needed := conversation("needed", 40, 10, now.Add(time.Second))
	for i, turn := range needed {
		require.NoError(t, log.Append([]turnlog.Turn{turn}))
		require.NoError(t, log.Append(conversation(fmt.Sprint(i), 5, 100<<10, now.Add(time.Second))))
	}
	last := turnlog.Turn{ID: "last", Previous: needed[len(needed)-1].ID, Expires: now.Add(time.Hour).UnixMilli()}
	require.NoError(t, log.Append([]turnlog.Turn{last}))
	_, before := log.Size()
	require.Greater(t, before, int64(16<<20))
	require.NoError(t, log.Collect(now.Add(time.Minute)))
	turns, after := log.Size()
	require.Equal(t, len(needed)+1, turns)
	require.Less(t, after, int64(4<<20), "at most the newest segment is left")
	for range 2 {
		chain, err := log.Chain("last")
		require.NoError(t, err)
		require.Len(t, chain, len(needed)+1)
		log, err = turnlog.Open(disk.Start(), false)
		require.NoError(t, err)
	}
}

// TestCorruptSegmentIsNotTakenForComplete guards against turns that are said not to exist, or are returned
// changed, after bytes on the disk have changed.
func TestCorruptSegmentIsNotTakenForComplete(t *testing.T) {
	disk := turnlogtest.NewDisk()
	log, err := turnlog.Open(disk.Start(), true)
	require.NoError(t, err)
	chain := conversation("c", 9, 1000, time.Now().Add(time.Hour))
	require.NoError(t, log.Append(chain))
	disk.Corrupt(func(name string, size int) bool { return strings.HasSuffix(name, ".turns") && size > 0 })
	_, err = log.Chain(chain[8].ID)
	require.ErrorContains(t, err, "corrupt")
	log, err = turnlog.Open(disk.Start(), false)
	require.NoError(t, err)
	require.False(t, log.Complete())
	held, _ := log.Size()
	require.Equal(t, 4, held, "the turns before the corrupt one")
	require.NoError(t, log.Append(chain), "the turns are copied again")
	read, err := log.Chain(chain[8].ID)
	require.NoError(t, err)
	require.Equal(t, chain, read)
}

// FuzzReplay guards against segments of any content that end the process, or leave a turn without the turns
// before it.
func FuzzReplay(f *testing.F) {
	disk := turnlogtest.NewDisk()
	log, err := turnlog.Open(disk.Start(), true)
	require.NoError(f, err)
	require.NoError(f, log.Append(conversation("c", 3, 10, time.Now())))
	file, err := disk.Start().Open("0000000000000000.turns")
	require.NoError(f, err)
	size, err := file.Size()
	require.NoError(f, err)
	valid := make([]byte, size)
	_, err = file.ReadAt(valid, 0)
	require.NoError(f, err)
	f.Add(valid, []byte{})
	f.Add(valid[:len(valid)-1], valid[len(valid)/2:])
	f.Add([]byte{0, 0, 0, 255}, valid)
	f.Fuzz(func(t *testing.T, first, second []byte) {
		disk := turnlogtest.NewDisk()
		process := disk.Start()
		for name, content := range map[string][]byte{"0000000000000000.turns": first, "0000000000000001.turns": second} {
			file, err := process.Create(name)
			require.NoError(t, err)
			_, err = file.Write(content)
			require.NoError(t, err)
		}
		log, err := turnlog.Open(disk.Start(), false)
		require.NoError(t, err)
		for _, e := range log.Entries(time.UnixMilli(0)) {
			_, err := log.Chain(e.ID)
			require.NoError(t, err)
		}
	})
}

const (
	benchTurns       = 11
	benchOutputBytes = 1600
)

// BenchmarkAppend stores the turns of a conversation one by one on the file system.
func BenchmarkAppend(b *testing.B) {
	dir, err := turnlog.NewDir(b.TempDir())
	require.NoError(b, err)
	log, err := turnlog.Open(dir, true)
	require.NoError(b, err)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		chain := conversation(fmt.Sprint(i/benchTurns), benchTurns, benchOutputBytes, time.Now().Add(time.Hour))
		require.NoError(b, log.Append(chain[i%benchTurns:i%benchTurns+1]))
	}
}

// BenchmarkChain reads a conversation.
func BenchmarkChain(b *testing.B) {
	dir, err := turnlog.NewDir(b.TempDir())
	require.NoError(b, err)
	log, err := turnlog.Open(dir, true)
	require.NoError(b, err)
	chain := conversation("c", benchTurns, benchOutputBytes, time.Now().Add(time.Hour))
	require.NoError(b, log.Append(chain))
	b.ReportAllocs()
	for b.Loop() {
		_, err := log.Chain(chain[benchTurns-1].ID)
		require.NoError(b, err)
	}
}

// BenchmarkReplay reads a log of 50 MB.
func BenchmarkReplay(b *testing.B) {
	dir, err := turnlog.NewDir(b.TempDir())
	require.NoError(b, err)
	log, err := turnlog.Open(dir, true)
	require.NoError(b, err)
	for i, written := 0, int64(0); written < 50<<20; i++ {
		require.NoError(b, log.Append(conversation(fmt.Sprint(i), benchTurns, benchOutputBytes, time.Now().Add(time.Hour))))
		_, written = log.Size()
	}
	b.ReportAllocs()
	for b.Loop() {
		_, err := turnlog.Open(dir, false)
		require.NoError(b, err)
	}
}
