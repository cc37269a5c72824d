package gateway_test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/platform/platformtest"
)

// numberedEvents returns n events and the body of their stream.
func numberedEvents(n int) (events []string, body string) {
	var all strings.Builder
	for i := range n {
		events = append(events, "e"+strconv.Itoa(i))
		all.WriteString("id: " + strconv.Itoa(i+1) + "\ndata: e" + strconv.Itoa(i) + "\n\n")
	}
	return events, all.String()
}

// Guards against two servers working on one stream: a server that resets new connections, as its
// queue is long, may still work on the run that broke off.
func TestStreamIsNotResumedElsewhereWhileItsServerResetsConnections(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		first := h.addServer(engines, "engine-1")
		events, body := numberedEvents(3)
		first.Script(func(run platformtest.Run) platformtest.Reply {
			if run.Header.Get("Last-Event-Id") != "" {
				return platformtest.Reply{Events: events}
			}
			time.AfterFunc(time.Millisecond, func() { first.ResetNewConnections(true) })
			time.AfterFunc(500*time.Millisecond, func() { first.ResetNewConnections(false) })
			return platformtest.Reply{Events: events, EventGap: 10 * time.Millisecond, CutAfter: 20}
		})
		second := h.addServer(engines, "engine-2")
		h.markLeaving(engines, "engine-2")
		got := make(chan callerResponse, 1)
		go func() { got <- h.call(http.MethodPost, "/turn/1", "r1") }()
		time.Sleep(100 * time.Millisecond)
		third := h.addServer(engines, "engine-3")
		require.Equal(t, body, (<-got).body)
		require.Empty(t, append(second.Runs(), third.Runs()...), "the first server may still be working on it")
	})
}

// Guards against requests, resumed ones included, that reach a server later than it may be drained,
// and against giving the stream up although the server ends in time.
func TestStreamIsNotResumedAtServerThatIsLeavingForLong(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		first := h.addServer(engines, "engine-1")
		events, body := numberedEvents(5)
		first.Always(platformtest.Reply{Events: events, EventGap: 400 * time.Millisecond, CutAfter: len(body) - 4})
		got := make(chan callerResponse, 1)
		go func() { got <- h.call(http.MethodPost, "/turn/1", "r1") }()
		time.Sleep(100 * time.Millisecond)
		h.markLeaving(engines, "engine-1")
		second := h.addServer(engines, "engine-2")
		second.Always(platformtest.Reply{Events: events})
		time.AfterFunc(2200*time.Millisecond, first.Crash)
		require.Equal(t, body, (<-got).body)
		require.Len(t, first.Runs(), 1)
		require.Len(t, second.Runs(), 1, "the run has ended with its server")
	})
}
