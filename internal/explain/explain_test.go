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

// logLine returns a log line in the format of the daemons.
func logLine(at time.Duration, instance, message, fields string) string {
	return fmt.Sprintf(`{"fields":{"instance":%q%s},"level":"info","timestamp":%q,"message":%q}`,
		instance, fields, noon.Add(at).Format(time.RFC3339Nano), message)
}

// buildTimeline returns the timeline of request r1 from log lines.
func buildTimeline(t *testing.T, lines ...string) (explain.Timeline, error) {
	logs := explain.NewLogs("r1")
	_, err := explain.Read(strings.NewReader(strings.Join(lines, "\n")), logs.Add)
	require.NoError(t, err)
	return logs.Timeline()
}

const refusedFields = `,"request":"r1","program":"p1","status":402,"took_ms":40,"verdict":"not_run","reason":"budget_spent","sends":[]`

// TestTimelineAlignsClocks checks that a line of a home whose clock is off is placed
// between the arrival and the end of the request at its gateway.
func TestTimelineAlignsClocks(t *testing.T) {
	for _, skew := range []time.Duration{-2 * time.Second, 2 * time.Second} {
		timeline, err := buildTimeline(t,
			logLine(time.Second, "gateway-1", "request ended", refusedFields),
			logLine(time.Second-20*time.Millisecond+skew, "gateway-2", "budget spent", `,"request":"r1","total":900`),
		)
		require.NoError(t, err)
		require.Equal(t, "gateway-1", timeline.Gateway)
		require.Len(t, timeline.Lines, 2)
		for _, l := range timeline.Lines {
			require.GreaterOrEqual(t, l.At, time.Duration(0))
			require.LessOrEqual(t, l.At, 40*time.Millisecond)
		}
		require.Contains(t, timeline.Cause, "answered 402; it did not run; its program has not enough tokens left")
	}
}

// TestTimelineIncludesContextOfItsGateway checks that the timeline includes the events
// at the gateway of the request, but none of other requests, servers, gateways or
// times.
func TestTimelineIncludesContextOfItsGateway(t *testing.T) {
	timeline, err := buildTimeline(t,
		"a collector's line",
		logLine(0, "gateway-1", "platform lost", `,"feed":"config/"`),
		logLine(100*time.Millisecond, "gateway-1", "backend server vanished", `,"server":"till-1"`),
		logLine(100*time.Millisecond, "gateway-1", "backend server vanished", `,"server":"till-9"`),
		logLine(200*time.Millisecond, "gateway-2", "platform lost", `,"feed":"config/"`),
		logLine(300*time.Millisecond, "gateway-1", "request ended", `,"request":"r2","status":200,"took_ms":1`),
		"  37.954 gateway-1 "+logLine(400*time.Millisecond, "gateway-1", "request ended",
			`,"request":"r1","status":502,"took_ms":350,"verdict":"may_have_run","reason":"backend_failed","sends":["till-1:broken"]`),
		logLine(time.Minute, "gateway-1", "platform regained", ""),
	)
	require.NoError(t, err)
	var messages []string
	for _, l := range timeline.Lines {
		messages = append(messages, l.Message)
	}
	require.Equal(t, []string{"platform lost", "backend server vanished", "request ended"}, messages)
	var text strings.Builder
	require.NoError(t, timeline.Render(&text))
	require.Contains(t, text.String(), "request r1 at gateway-1\n")
	require.Contains(t, text.String(), "   -0.050s gateway-1: platform lost feed=config/\n")
	require.Contains(t, text.String(), "cause: answered 502; it may have run; a backend server broke the connection")
}

func TestUnknownRequestIsAnError(t *testing.T) {
	_, err := buildTimeline(t, logLine(0, "gateway-1", "request ended", `,"request":"r2"`), "{not json")
	require.ErrorIs(t, err, explain.ErrUnknownRequest)
}
