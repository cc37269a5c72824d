package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/platform/platformtest"
)

// endlessResponse is what a server in trouble sends: bytes without end that are no answer.
type endlessResponse struct {
	name            string
	start, repeated string
	gap             time.Duration
}

const (
	stamp     = platformtest.HeaderStamp + ": s\r\n"
	ownID     = platformtest.HeaderAttempt + ": %ID%\r\n"
	okHead    = "HTTP/1.1 200 OK\r\n" + stamp + ownID
	otherHead = "HTTP/1.1 200 OK\r\n" + stamp + platformtest.HeaderAttempt + ": other\r\nContent-Length: 99999999\r\n\r\n"
	fullHead  = "HTTP/1.1 503 Full\r\n" + platformtest.HeaderNotExecuted + ": 1\r\n" + ownID + "\r\n"
)

var filler = strings.Repeat("x", 4<<10)

// endlessResponses are those that any request may get.
var endlessResponses = []endlessResponse{
	{"no HTTP", "", filler, 0},
	{"one header line", "HTTP/1.1 200 OK\r\nX-Filler: ", filler, 0},
	{"header lines", okHead, "X-Filler: " + filler + "\r\n", 0},
	{"slow header line", "HTTP/1.1 200 OK\r\nX-Filler: ", "x", 100 * time.Millisecond},
	{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n", 0},
	{"body of another response", otherHead, filler, 0},
	{"slow body of another response", otherHead, "x", 100 * time.Millisecond},
	{"body until close", okHead + "\r\n", filler, 0},
	{"chunked body", okHead + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + filler + "\r\n", 0},
	{"chunk extension", okHead + "Transfer-Encoding: chunked\r\n\r\n1;", filler, 0},
	{"trailer", okHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler: " + filler + "\r\n", 0},
	{"rejection with a slow body", fullHead, "x", 100 * time.Millisecond},
}

// endlessEvents are those that a stream may get besides.
var endlessEvents = []endlessResponse{
	{"one event", okHead + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", filler, 0},
	{"comments", okHead + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n", ": " + filler + "\n\n", 0},
}

// maxBytesRead is the most that the gateway may read of one endless response; it holds at most
// that much in memory.
const maxBytesRead = 2 << 20

// sendEndless makes a server send an endless response to every request. The returned counter
// holds the largest number of bytes of one response that the gateway has read.
func sendEndless(server *platformtest.Server, e endlessResponse) *atomic.Int64 {
	var most atomic.Int64
	server.Always(platformtest.Reply{EndlessGap: e.gap, Endless: func(run platformtest.Run) (string, func() string) {
		read := int64(len(e.start))
		return strings.ReplaceAll(e.start, "%ID%", run.ID), func() string {
			most.Store(max(most.Load(), read))
			read += int64(len(e.repeated))
			return e.repeated
		}
	}})
	return &most
}

// Guards against a server in trouble that sends bytes without end in a head or a body: the
// gateway must not buffer them all, must not wait for their end, must not say that the request
// did not run, and must avoid the server.
func TestEndlessResponseEndsCall(t *testing.T) {
	for _, e := range endlessResponses {
		t.Run(e.name, func(t *testing.T) {
			withHarness(t, func(t *testing.T, h *harness) {
				sick := h.addServer(tills, "till-1")
				most := sendEndless(sick, e)
				got := h.call(http.MethodPost, "/redeem/1", "r1")
				require.Less(t, got.took, 1400*time.Millisecond, "ends before the route's timeout")
				require.LessOrEqual(t, most.Load(), int64(maxBytesRead))
				if strings.HasPrefix(e.start, "HTTP/1.1 503") {
					require.Equal(t, http.StatusServiceUnavailable, got.status, "the server said that it did not run")
					return
				}
				require.Equal(t, http.StatusBadGateway, got.status)
				require.Len(t, sick.Runs(), 1)
				<-sick.Runs()[0].Disconnected

				h.addServer(tills, "till-2")
				for _, id := range requestIDs(3) {
					require.Equal(t, "till-2", h.call(http.MethodPost, "/redeem/1", id).body, "the server is avoided")
				}
			})
		})
	}
}

// Guards against a repeatable request that fails with its endless response, though another
// server could answer it.
func TestEndlessResponseIsRepeatedElsewhere(t *testing.T) {
	for _, e := range endlessResponses {
		t.Run(e.name, func(t *testing.T) {
			withHarness(t, func(t *testing.T, h *harness) {
				most := sendEndless(h.addServer(tills, "till-1"), e)
				h.addServer(tills, "till-2")
				for _, id := range requestIDs(4) {
					got := h.call(http.MethodGet, "/look/1", id)
					require.Equal(t, http.StatusOK, got.status)
					require.Equal(t, "till-2", got.body)
				}
				require.LessOrEqual(t, most.Load(), int64(maxBytesRead))
			})
		})
	}
}

// Guards against a stream that buffers or relays bytes without end that are no events.
func TestEndlessResponseEndsStream(t *testing.T) {
	for _, e := range append(endlessEvents, endlessResponses...) {
		t.Run(e.name, func(t *testing.T) {
			withHarness(t, func(t *testing.T, h *harness) {
				sick := h.addServer(engines, "engine-1")
				most := sendEndless(sick, e)
				got := h.call(http.MethodPost, "/turn/1", "r1")
				require.Less(t, got.took, 2900*time.Millisecond, "ends before the route's timeout")
				require.LessOrEqual(t, most.Load(), int64(maxBytesRead))
				require.NotEqual(t, http.StatusOK, got.status, "the response does not look complete")
				if !strings.HasPrefix(e.start, "HTTP/1.1 503") {
					require.NotEqual(t, http.StatusServiceUnavailable, got.status, "the turn may have run")
				}
			})
		})
	}
}

// Guards against large responses of many requests filling the memory together.
func TestEndlessBodiesShareBuffers(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		sendEndless(h.addServer(tills, "till-1"), endlessResponse{
			start: okHead + "\r\n", repeated: strings.Repeat(filler, 8), gap: 50 * time.Millisecond,
		})
		const requests = 40
		done := make(chan int, requests)
		for _, id := range requestIDs(requests) {
			go func() { done <- h.call(http.MethodPost, "/redeem/1", id).status }()
		}
		time.Sleep(time.Second)
		require.LessOrEqual(t, h.gateway.LargeResponses(), 8)
		for range requests {
			require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, <-done)
		}
	})
}

// Guards against a stalled stream that sends a byte now and then and never ends: a byte is no progress, and
// the route's timeout holds.
func TestStalledStreamEndsAtRouteTimeout(t *testing.T) {
	for _, e := range []endlessResponse{
		{"comments", okHead + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n", ":\n\n", 100 * time.Millisecond},
		{"one event", okHead + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", "x", 100 * time.Millisecond},
		{"body", okHead + "\r\n", "x", 100 * time.Millisecond},
	} {
		t.Run(e.name, func(t *testing.T) {
			withHarness(t, func(t *testing.T, h *harness) {
				stalled := h.addServer(engines, "engine-1")
				sendEndless(stalled, e)
				got := h.call(http.MethodPost, "/turn/1", "r1", withHeader("Deadline-Ms", "60000"))
				require.Equal(t, 3*time.Second, got.took)
				require.NotEqual(t, http.StatusOK, got.status, "the response does not look complete")
				<-stalled.Runs()[0].Disconnected
			})
		})
	}
}

// Guards against a kept turn whose events come without end filling the memory until the route's timeout.
func TestEndlessKeptTurnIsBrokenOff(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		sick := h.addServer(engines, "engine-1")
		var sent atomic.Int64
		sick.Always(platformtest.Reply{EndlessGap: time.Millisecond, Endless: func(run platformtest.Run) (string, func() string) {
			head := strings.ReplaceAll(okHead, "%ID%", run.ID) + "Content-Type: text/event-stream\r\n\r\n"
			return head, func() string { return fmt.Sprintf("id: %d\ndata: %s\n\n", sent.Add(1), filler) }
		}})
		got := h.call(http.MethodPost, "/chat/", "t0")
		require.Zero(t, got.status, "the response does not look complete")
		require.Less(t, sent.Load()*int64(len(filler)), int64(5<<20))
		<-sick.Runs()[0].Disconnected
		require.Empty(t, h.histories.chains)
	})
}
