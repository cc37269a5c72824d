package explain_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/explain"
)

var noon = time.Date(2026, 3, 3, 12, 0, 0, 0, time.UTC)

// line is a record as daemons write it.
func line(at time.Duration, instance, message, fields string) string {
	return fmt.Sprintf(`{"fields":{"instance":%q%s},"level":"info","timestamp":%q,"message":%q}`,
		instance, fields, noon.Add(at).Format(time.RFC3339Nano), message)
}

// storyOf tells the story of request r1 from lines.
func storyOf(t *testing.T, lines ...string) (explain.Story, error) {
	logs := explain.NewLogs("r1")
	_, err := explain.Read(strings.NewReader(strings.Join(lines, "\n")), logs.Add)
	require.NoError(t, err)
	return logs.Story()
}

const refused = `,"request":"r1","program":"p1","status":402,"took_ms":40,"verdict":"not_run","reason":"budget_spent","sends":[]`

// TestStoryPutsClocksThatDifferInOrder: the home decided while the request was under way.
func TestStoryPutsClocksThatDifferInOrder(t *testing.T) {
	for _, skew := range []time.Duration{-2 * time.Second, 2 * time.Second} {
		story, err := storyOf(t,
			line(time.Second, "gateway-1", "request ended", refused),
			line(time.Second-20*time.Millisecond+skew, "gateway-2", "budget spent", `,"request":"r1","total":900`),
		)
		require.NoError(t, err)
		require.Equal(t, "gateway-1", story.Gateway)
		require.Len(t, story.Lines, 2)
		for _, l := range story.Lines {
			require.GreaterOrEqual(t, l.At, time.Duration(0))
			require.LessOrEqual(t, l.At, 40*time.Millisecond)
		}
		require.Contains(t, story.Cause, "answered 402; it did not run; its program has not enough tokens left")
	}
}

// TestStoryTellsWhatItsGatewayKnew, and nothing of other requests, servers and times.
func TestStoryTellsWhatItsGatewayKnew(t *testing.T) {
	story, err := storyOf(t,
		"a collector's line",
		line(0, "gateway-1", "platform lost", `,"feed":"config/"`),
		line(100*time.Millisecond, "gateway-1", "backend server vanished", `,"server":"till-1"`),
		line(100*time.Millisecond, "gateway-1", "backend server vanished", `,"server":"till-9"`),
		line(200*time.Millisecond, "gateway-2", "platform lost", `,"feed":"config/"`),
		line(300*time.Millisecond, "gateway-1", "request ended", `,"request":"r2","status":200,"took_ms":1`),
		"  37.954 gateway-1 "+line(400*time.Millisecond, "gateway-1", "request ended",
			`,"request":"r1","status":502,"took_ms":350,"verdict":"may_have_run","reason":"backend_failed","sends":["till-1:broken"]`),
		line(time.Minute, "gateway-1", "platform regained", ""),
	)
	require.NoError(t, err)
	var told []string
	for _, l := range story.Lines {
		told = append(told, l.Message)
	}
	require.Equal(t, []string{"platform lost", "backend server vanished", "request ended"}, told)
	var text strings.Builder
	require.NoError(t, story.Render(&text))
	require.Contains(t, text.String(), "request r1 at gateway-1\n")
	require.Contains(t, text.String(), "   -0.050s gateway-1: platform lost feed=config/\n")
	require.Contains(t, text.String(), "cause: answered 502; it may have run; a backend server broke the connection")
}

func TestUnknownRequestIsAnError(t *testing.T) {
	_, err := storyOf(t, line(0, "gateway-1", "request ended", `,"request":"r2"`), "{not json")
	require.ErrorIs(t, err, explain.ErrUnknownRequest)
}
