package dispatch

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ibisline/internal/structs"
)

func TestLengthEstimatesFollowFinishedRequests(t *testing.T) {
	l := newLengthEstimator()
	messages := []structs.Message{{Role: "assistant"}, {Role: "user", Content: strings.Repeat("x", 2_000)}}
	request := &structs.GenerateRequest{Entry: "e", PromptTokens: 5_000, MaxTokens: 400, Messages: messages}
	require.Equal(t, 400, l.expectedOutput(request))
	require.Equal(t, 5_000, l.withExpectedPrompt(request).PromptTokens)
	counted := 5_000 - newMessagesBound(request)
	for range 10 {
		l.observeOutput(request, 90)
		l.observePrompt(request, counted+500)
	}
	require.Equal(t, 91, l.expectedOutput(request))
	require.InDelta(t, counted+500, l.withExpectedPrompt(request).PromptTokens, 1)
	other := &structs.GenerateRequest{Entry: "other", PromptTokens: 2_100, Messages: messages[1:]}
	require.InDelta(t, 500, l.withExpectedPrompt(other).PromptTokens, 50, "an entry without finished requests uses the mean of all entries")
}
