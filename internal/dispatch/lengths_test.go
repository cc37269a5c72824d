package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ibisline/internal/structs"
)

func TestLengthsFollowWhatTheEntryUsed(t *testing.T) {
	l := newLengths()
	request := &structs.GenerateRequest{Entry: "e", PromptTokens: 5_000, MaxTokens: 400}
	require.Equal(t, 400, l.output(request))
	require.Equal(t, 2_000, l.prompt(request, 2_000))
	for range 10 {
		l.observeOutput(request, 90)
		l.observePrompt(request, 2_000, 3_500)
	}
	require.Equal(t, 91, l.output(request))
	require.InDelta(t, 500, l.prompt(request, 2_000), 1)
	require.Equal(t, 2_000, l.prompt(&structs.GenerateRequest{Entry: "other"}, 2_000))
}
