package verdict_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"ibisline/internal/verdict"
)

func TestUnclassifiedErrorMayHaveRun(t *testing.T) {
	err := verdict.From(fmt.Errorf("connection reset"))
	require.Equal(t, verdict.MayHaveRun, err.Verdict)
	require.False(t, verdict.Is(err, verdict.NotRun))
}

func TestWrappedErrorKeepsItsVerdict(t *testing.T) {
	inner := verdict.Refuse(verdict.QueueFull, "queue of %d is full", 8)
	err := fmt.Errorf("forward: %w", inner)
	require.True(t, verdict.Is(err, verdict.NotRun))
	require.True(t, verdict.HasReason(err, verdict.QueueFull))
}

func TestVerdictTextRoundTrip(t *testing.T) {
	for _, v := range []verdict.Verdict{verdict.NotRun, verdict.MayHaveRun, verdict.Ran} {
		text, err := v.MarshalText()
		require.NoError(t, err)
		var decoded verdict.Verdict
		require.NoError(t, decoded.UnmarshalText(text))
		require.Equal(t, v, decoded)
	}
}
