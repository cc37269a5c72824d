package structs

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPositionRoundTripAndChecksum(t *testing.T) {
	p := StartPosition()
	p.Seq = 2
	p.Advance("one ")
	p.Advance("two")
	other := StartPosition()
	other.Seq = 2
	other.Advance("one two")
	require.Equal(t, p, other, "the split into events must not change the position")
	require.Equal(t, len("one two"), p.Bytes)
	read, ok := ParsePosition(p.String())
	require.True(t, ok)
	require.Equal(t, p, read)
	require.True(t, read.HasChecksum())
	other = StartPosition()
	other.Advance("one 2wo")
	require.NotEqual(t, p.Checksum, other.Checksum)

	count, ok := ParsePosition(p.SeqString())
	require.True(t, ok)
	require.False(t, count.HasChecksum())
	for _, text := range []string{"", "x", "-1", "1-2", "1-x-3", "1--2-3", "1-2-z", "1-2-3-4"} {
		_, ok := ParsePosition(text)
		require.False(t, ok, text)
	}
}

func TestProgramIDContainsShard(t *testing.T) {
	program := NewProgramID("nav-a", 1, "e", "k")
	require.Equal(t, program, NewProgramID("nav-a", 1, "e", "k"))
	require.NotEqual(t, program, NewProgramID("nav-a", 1, "f", "k"))
	require.NotEqual(t, NewProgramID("nav-a", 1, "e", ""), NewProgramID("nav-a", 1, "e", ""))
	shard, ok := ShardOf(program)
	require.True(t, ok)
	require.Equal(t, ShardID("nav-a.0"), shard)
	require.Equal(t, "nav-a", shard.Region())
	for _, malformed := range []string{"", "p", "a.p", ".0.p", "a.0."} {
		_, ok := ShardOf(malformed)
		require.False(t, ok, malformed)
	}
	require.Empty(t, ShardID("nav-a").Region())
	_, ok = NewChildID("p", "e", "k")
	require.False(t, ok)
}
