package gateway_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/platform/platformtest"
)

// rejectFirst makes a server reject the first requests and then answer as scripted.
func rejectFirst(server *platformtest.Server, rejections int32, then func(platformtest.Run) platformtest.Reply) {
	var seen atomic.Int32
	server.Script(func(run platformtest.Run) platformtest.Reply {
		if seen.Add(1) <= rejections {
			return platformtest.Reply{NotExecuted: true, Body: "full"}
		}
		return then(run)
	})
}

// Guards against a rejection that a server sends once more on a kept connection being taken for
// the response to the next send of the same request, which is then run twice or reported as not
// run although it ran.
func TestRepeatedRejectionIsNoResponseToNextSend(t *testing.T) {
	for _, c := range []struct{ method, path, service string }{
		{http.MethodPost, "/redeem/1", tills}, {http.MethodGet, "/look/1", tills}, {http.MethodPost, "/turn/1", engines},
	} {
		t.Run(c.path, func(t *testing.T) {
			withHarness(t, func(t *testing.T, h *harness) {
				server := h.addServer(c.service, "server-1")
				server.RepeatRejections()
				rejectFirst(server, 2, func(platformtest.Run) platformtest.Reply { return platformtest.Reply{Body: "done"} })
				got := h.call(c.method, c.path, "r1")
				require.Equal(t, http.StatusOK, got.status)
				require.Equal(t, "done", got.body)
				require.Len(t, server.Runs(), 1)
			})
		})
	}
}

// Guards against the same repeated rejection on the connection on which a broken stream is
// resumed, which made the gateway cut the running rest of the stream off and ask again.
func TestRepeatedRejectionIsNoResponseToResume(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		engine := h.addServer(engines, "engine-1")
		engine.RepeatRejections()
		var resumes atomic.Int32
		engine.Script(func(run platformtest.Run) platformtest.Reply {
			switch {
			case run.Header.Get("Last-Event-Id") == "":
				return platformtest.Reply{Events: []string{"a", "b", "c"}, CutAfter: 20}
			case resumes.Add(1) <= 2:
				return platformtest.Reply{NotExecuted: true, Body: "full"}
			}
			return platformtest.Reply{Events: []string{"a", "b", "c"}, EventGap: 10 * time.Millisecond}
		})
		got := h.call(http.MethodPost, "/turn/1", "r1")
		require.Equal(t, http.StatusOK, got.status)
		require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", got.body)
		require.Len(t, engine.Runs(), 2, "the stream is resumed once")
	})
}

// Guards against a repeatable request that keeps the processor busy until its deadline, because
// its only server has failed and the search for another one is started again at once.
func TestRepeatableRequestEndsWithoutAnotherServer(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.addServer(tills, "till-1").Always(platformtest.Reply{Reset: true})
		got := h.call(http.MethodGet, "/look/1", "r1")
		require.Equal(t, http.StatusBadGateway, got.status)
		require.Less(t, got.took, time.Second, "ends before the route's timeout")
	})
}
