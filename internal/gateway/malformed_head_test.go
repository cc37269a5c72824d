package gateway_test

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/platform/platformtest"
)

// headBody is the body of the responses of malformed heads. It could itself be a response to the request.
const headBody = okHead + "Content-Length: 6\r\n\r\nforged"

// responseWith returns a response with a status line, further field lines and headBody.
func responseWith(statusLine, fields string) string {
	size := len(strings.ReplaceAll(headBody, "%ID%", "request-0"))
	return statusLine + "\r\n" + stamp + ownID + fields + "Content-Length: " + strconv.Itoa(size) + "\r\n\r\n" + headBody
}

// requireNoResponse requires that nothing of a response of a server reaches a caller, at once, on any kind of
// route, that a request is repeated or resumed only where its route allows that, and that the next request
// gets its own response.
func requireNoResponse(t *testing.T, response string) {
	const atOnce = 300 * time.Millisecond
	for _, raw := range []string{response, strings.Replace(response, "\r\n", "\r\n"+platformtest.HeaderNotExecuted+": 1\r\n", 1)} {
		malformed := platformtest.Reply{Raw: raw}
		once := func(run platformtest.Run) platformtest.Reply {
			if run.ID == "request-0" && run.Header.Get("Last-Event-Id") == "" {
				return malformed
			}
			if strings.HasPrefix(run.Target, "/turn/") || strings.HasPrefix(run.Target, "/chat/") {
				return platformtest.Reply{Events: []string{"a", "b", "c"}}
			}
			return platformtest.Reply{Body: run.ID}
		}
		withHarness(t, func(t *testing.T, h *harness) {
			till := h.addServer(tills, "till-1")
			till.Script(once)
			got := h.call(http.MethodPost, "/redeem/1", "request-0")
			require.Equal(t, http.StatusBadGateway, got.status, raw)
			require.Less(t, got.took, atOnce)
			require.Empty(t, got.header.Get(platformtest.HeaderStamp))
			require.NotContains(t, got.body, "forged")
			require.Len(t, till.Runs(), 1, "it may have run")
			require.Equal(t, "request-1", h.call(http.MethodPost, "/redeem/1", "request-1").body)
		})
		withHarness(t, func(t *testing.T, h *harness) {
			h.addServer(tills, "till-1").Always(malformed)
			h.addServer(tills, "till-2")
			for _, id := range requestIDs(4) {
				got := h.call(http.MethodGet, "/look/1", id)
				require.Equal(t, "till-2", got.body, raw)
				require.Less(t, got.took, atOnce)
			}
		})
		withHarness(t, func(t *testing.T, h *harness) {
			engine := h.addServer(engines, "engine-1")
			engine.Script(once)
			got := h.call(http.MethodPost, "/chat/", "request-0")
			require.Equal(t, http.StatusBadGateway, got.status, raw)
			require.Len(t, engine.Runs(), 1, "it may have run, and is not resumable")
		})
		withHarness(t, func(t *testing.T, h *harness) {
			engine := h.addServer(engines, "engine-1")
			var sent atomic.Int32
			engine.Script(func(run platformtest.Run) platformtest.Reply {
				switch sent.Add(1) {
				case 1:
					return platformtest.Reply{Events: []string{"a", "b", "c"}, CutAfter: 20}
				case 2:
					return malformed
				}
				return platformtest.Reply{Events: []string{"a", "b", "c"}}
			})
			got := h.call(http.MethodPost, "/turn/1", "request-0")
			require.Equal(t, http.StatusOK, got.status, raw)
			require.Equal(t, wholeStream, got.body, "it is resumed once more")
		})
	}
}

// Guards against a status that HTTP does not allow being forwarded, or taken for that of an interim response,
// so that the body is taken for the response.
func TestStatusThatHTTPDoesNotAllowIsNoResponse(t *testing.T) {
	for _, status := range []string{
		"000", "001", "042", "099", "600", "999", "+20", "-00", "-20", "20", "2000", "2 0", "20x", "0x2", "", "101 Switching Protocols",
	} {
		t.Run(status, func(t *testing.T) { requireNoResponse(t, responseWith("HTTP/1.1 "+status, "")) })
	}
	for _, line := range []string{"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.1", "HTTP/1.1\t200 OK", "http/1.1 200 OK", "200 OK", ""} {
		t.Run(line, func(t *testing.T) { requireNoResponse(t, responseWith(line, "")) })
	}
}

// Guards against refusing a status that HTTP allows, with or without a reason phrase, and an interim response.
func TestEachStatusOfHTTPIsForwarded(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		till := h.addServer(tills, "till-1")
		for status := http.StatusOK; status < 600; status++ {
			if status == http.StatusMisdirectedRequest {
				continue // It proves that the request did not run.
			}
			body := "body"
			if status == http.StatusNoContent || status == http.StatusNotModified {
				body = ""
			}
			reason := []string{" Reason", "", " ", " \x80 \t"}[status%4]
			till.Always(platformtest.Reply{Raw: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 199\r\n\r\n" +
				"HTTP/1." + strconv.Itoa(status%2) + " " + strconv.Itoa(status) + reason + "\r\n" + stamp + ownID +
				"Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body})
			got := h.call(http.MethodPost, "/redeem/1", "request-"+strconv.Itoa(status))
			require.Equal(t, status, got.status)
			require.Equal(t, body, got.body)
			require.Equal(t, "s", got.header.Get(platformtest.HeaderStamp))
		}
	})
}
