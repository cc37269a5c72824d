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

// tokenBytes are the bytes that the name of a field may hold.
const tokenBytes = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"

// malformedFields returns lines that are no fields: each byte in a name that it may not hold, and each in a
// value.
func malformedFields() map[string]string {
	lines := map[string]string{
		"blank before the colon":         "X-Field : 1\r\n",
		"length with a blank":            "Content-Length : 3\r\n",
		"encoding with a blank":          "Transfer-Encoding : chunked\r\n",
		"blank before the name":          " X-Field: 1\r\n",
		"tab before the name":            "\tX-Field: 1\r\n",
		"blank before the last name":     "X-Field: 1\r\n Content-Length: 3\r\n",
		"name of a blank":                "X-Field: 1\r\n : 1\r\n",
		"no name":                        ": 1\r\n",
		"no colon":                       "X-Field\r\n",
		"carriage return before its end": "X-Field: 1\r\r\n",
	}
	for b := range 256 {
		c := string([]byte{byte(b)})
		if c != "\n" && c != ":" && !strings.Contains(tokenBytes, c) {
			lines["name with "+strconv.Quote(c)] = "X-Fi" + c + "eld: 1\r\n"
		}
		if c != "\n" && c != "\t" && (b < ' ' || b == 0x7f) {
			lines["value with "+strconv.Quote(c)] = "X-Field: a" + c + "b\r\n"
		}
	}
	return lines
}

// Guards against a response being forwarded, or its body being delimited wrongly, that has a line in its head
// or in that of an interim response which is no field.
func TestMalformedFieldIsNoResponse(t *testing.T) {
	for name, line := range malformedFields() {
		t.Run(name, func(t *testing.T) {
			requireNoResponse(t, responseWith("HTTP/1.1 200 OK", line))
			requireNoResponse(t, "HTTP/1.1 103 Early Hints\r\n"+line+"\r\n"+responseWith("HTTP/1.1 200 OK", ""))
		})
	}
	for _, reason := range []string{"\x00", "O\rK", "\x1b[0m", "\x7f"} {
		requireNoResponse(t, responseWith("HTTP/1.1 200 "+reason, ""))
	}
}

// Guards against a response counting as whole whose trailer is malformed or cut off.
func TestMalformedTrailerIsNoWholeResponse(t *testing.T) {
	chunked := func(contentType, chunk, trailer string) string {
		return okHead + contentType + "Transfer-Encoding: chunked\r\n\r\n" +
			strconv.FormatInt(int64(len(chunk)), 16) + "\r\n" + chunk + "\r\n0\r\n" + trailer
	}
	sound := "X-Sum: 1\r\n\r\n"
	trailers := map[string]string{"cut off": "X-Sum: 1\r\n", "cut off in a line": "X-Sum"}
	for name, line := range malformedFields() {
		if name != "blank before the last name" && name != "name of a blank" { // The rest of a folded value is dropped with it.
			trailers[name] = line + "\r\n"
		}
	}
	for name, trailer := range trailers {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(t *testing.T, h *harness) {
				till := h.addServer(tills, "till-1")
				till.Script(func(run platformtest.Run) platformtest.Reply {
					if run.ID == "request-0" {
						return platformtest.Reply{Raw: chunked("", "whole", trailer), CloseAfterRaw: strings.HasPrefix(name, "cut")}
					}
					return platformtest.Reply{Raw: chunked("", "whole", sound)}
				})
				require.Equal(t, http.StatusBadGateway, h.call(http.MethodPost, "/redeem/1", "request-0").status)
				require.Len(t, till.Runs(), 1)
				got := h.call(http.MethodPost, "/redeem/1", "request-1")
				require.Equal(t, "whole", got.body)
				require.Empty(t, got.header.Get("X-Sum"), "trailers are not forwarded")
			})
			withHarness(t, func(t *testing.T, h *harness) {
				events := chunked("Content-Type: text/event-stream\r\n", "id: 1\ndata: a\n\n", trailer)
				h.addServer(engines, "engine-1").Always(platformtest.Reply{Raw: events, CloseAfterRaw: true})
				require.Zero(t, h.call(http.MethodPost, "/chat/", "request-0").status, "the response does not look complete")
			})
		})
	}
}

// Guards against refusing or changing a field that HTTP allows.
func TestEachFieldOfHTTPIsForwarded(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		till := h.addServer(tills, "till-1")
		fields := ""
		for _, c := range tokenBytes {
			fields += "X-Name-" + string(c) + "a: 1\r\n"
		}
		value := "a\tb"
		for b := ' '; b < 0x7f; b++ {
			value += string(b)
		}
		value += "\x80\xff"
		fields += "!: \t" + value + " \t\r\nX-Empty:\r\nX-Long: " + strings.Repeat(filler, 8) + "\r\nx-bare: line feed\n"
		till.Always(platformtest.Reply{Raw: "HTTP/1.1 200 OK\r\n" + fields + ownID + "Content-Length: 5\r\n\r\nwhole"})
		for _, id := range requestIDs(3) {
			got := h.call(http.MethodPost, "/redeem/1", id)
			require.Equal(t, http.StatusOK, got.status)
			require.Equal(t, "whole", got.body)
			for _, c := range tokenBytes {
				require.Equal(t, "1", got.header.Get("X-Name-"+string(c)+"a"), string(c))
			}
			require.Equal(t, value, got.header.Get("!"))
			require.Equal(t, []string{""}, got.header.Values("X-Empty"))
			require.Len(t, got.header.Get("X-Long"), 8*len(filler))
			require.Equal(t, "line feed", got.header.Get("X-Bare"))
		}
		require.Equal(t, 1, till.Connections())
	})
}

// Guards against a body being delimited in another way than its server did, so that the rest of it is taken for
// a response or the framing of its chunks for its content.
func TestContradictoryLengthIsNoResponse(t *testing.T) {
	const (
		chunks  = "Transfer-Encoding: chunked\r\n"
		chunked = "\r\n6\r\nforged\r\n0\r\n\r\n"
	)
	sized := func(statusLine string) string { return responseWith(statusLine, "") }
	for name, response := range map[string]string{
		"chunks in HTTP/1.0":       "HTTP/1.0 200 OK\r\n" + stamp + ownID + chunks + chunked,
		"chunks and a length":      okHead + "Content-Length: 6\r\n" + chunks + chunked,
		"length and chunks":        okHead + chunks + "content-length: 6\r\n" + chunked,
		"no content with a length": sized("HTTP/1.1 204 No Content"),
		"no content with chunks":   "HTTP/1.1 204 No Content\r\n" + stamp + ownID + chunks + chunked,
		"interim with a length":    sized("HTTP/1.1 100 Continue"),
		"interim with chunks":      "HTTP/1.1 103 Early Hints\r\n" + chunks + "\r\n" + headBody,
		"two lengths":              okHead + "Content-Length: 6\r\nContent-Length: 7\r\n\r\nforged",
		"list of lengths":          okHead + "Content-Length: 6, 7\r\n\r\nforged",
		"empty length":             okHead + "Content-Length:\r\n\r\nforged",
		"signed length":            okHead + "Content-Length: +6\r\n\r\nforged",
		"negative length":          okHead + "Content-Length: -6\r\n\r\nforged",
		"unknown encoding":         okHead + "Transfer-Encoding: gzip, chunked\r\n" + chunked,
		"chunks twice":             okHead + chunks + chunks + chunked,
	} {
		t.Run(name, func(t *testing.T) { requireNoResponse(t, response) })
	}
	for _, chunk := range []string{"", "5", "+6", "0x6", "-1", "ffffffffffffffffff", "6\n6"} {
		withHarness(t, func(t *testing.T, h *harness) {
			h.addServer(tills, "till-1").Always(platformtest.Reply{Raw: okHead + chunks + "\r\n" + chunk + "\r\nforged\r\n0\r\n\r\n"})
			require.Equal(t, http.StatusBadGateway, h.call(http.MethodPost, "/redeem/1", "r1").status, "chunk of %q bytes", chunk)
		})
	}
	withHarness(t, func(t *testing.T, h *harness) {
		till := h.addServer(tills, "till-1")
		for i, sound := range []string{
			"HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\nHTTP/1.1 204 No Content\r\nContent-Length: 0\r\n",
			"HTTP/1.1 304 Not Modified\r\nContent-Length: 6\r\n",
			"HTTP/1.1 200 OK\r\nContent-Length: 0\r\ncontent-length: 0\r\n",
		} {
			till.Always(platformtest.Reply{Raw: sound + stamp + ownID + "\r\n"})
			got := h.call(http.MethodPost, "/redeem/1", "request-"+strconv.Itoa(i))
			require.NotEqual(t, http.StatusBadGateway, got.status, sound)
			require.Empty(t, got.body)
		}
		for i, fields := range []string{"", "Content-Length: 6\r\n", chunks} {
			till.Always(platformtest.Reply{Raw: okHead + fields + "\r\n"})
			got := h.call(http.MethodHead, "/redeem/1", "request-1"+strconv.Itoa(i))
			require.Equal(t, http.StatusOK, got.status, "a response to HEAD has no body")
		}
		require.Equal(t, 1, till.Connections())
	})
}
