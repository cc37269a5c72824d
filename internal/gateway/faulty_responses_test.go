package gateway_test

import (
	"io"
	"net/http"
	"strings"
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

// Guards against a second copy of a response that arrives late, on a connection that is in use for the next
// request, being taken for the response to that.
func TestLateCopyIsNoResponseToNextRequest(t *testing.T) {
	stream := platformtest.Reply{Events: []string{"a", "b", "c"}, DuplicateLate: true}
	for name, reply := range map[string]platformtest.Reply{
		"with ID":        {DuplicateLate: true},
		"without ID":     {DuplicateLate: true, OmitID: true},
		"failure":        {DuplicateLate: true, Status: http.StatusInternalServerError},
		"of a stream":    stream,
		"with long body": {DuplicateLate: true, Header: http.Header{"X-Filler": {filler}}},
	} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(t *testing.T, h *harness) {
				server := h.addServer(engines, "server-1")
				h.servers[tills] = h.servers[engines]
				server.Script(func(run platformtest.Run) platformtest.Reply {
					if strings.HasSuffix(run.ID, "-0") {
						first := reply
						first.Body = "copy"
						return first
					}
					if run.Target == "/turn/1" {
						return platformtest.Reply{Events: []string{run.ID}}
					}
					return platformtest.Reply{Body: run.ID}
				})
				ids := requestIDs(3)
				h.call(http.MethodPost, "/redeem/1", ids[0])
				require.Contains(t, h.call(http.MethodPost, "/turn/1", ids[1]).body, ids[1])
				require.Equal(t, ids[2], h.call(http.MethodPost, "/redeem/1", ids[2]).body)
				require.Len(t, server.Runs(), 3)
				require.Equal(t, 1, server.Connections(), "the connection was in use again")
			})
		})
	}
}

// wholeStream are the events "a", "b" and "c" as a caller receives them.
const wholeStream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"

func TestResponseThatEndsWithItsConnectionIsForwarded(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.addServer(tills, "till-1").Always(platformtest.Reply{Body: "done", UntilClose: true})
		require.Equal(t, "done", h.call(http.MethodPost, "/redeem/1", "r1").body)
		h.addServer(engines, "engine-1").Always(platformtest.Reply{Events: []string{"a", "b", "c"}, UntilClose: true})
		got := h.call(http.MethodPost, "/turn/1", "r2")
		require.Equal(t, http.StatusOK, got.status)
		require.Equal(t, wholeStream, got.body)
	})
}

// Guards against a stream with neither a length nor chunks that ends inside an event, or before
// its first one, being forwarded as complete.
func TestStreamThatEndsInsideEventIsBroken(t *testing.T) {
	whole := platformtest.Reply{Events: []string{"a", "b", "c"}, UntilClose: true}
	for missing := 1; missing <= len(wholeStream); missing++ {
		part := whole
		part.CutAfter = missing
		if rest := wholeStream[:len(wholeStream)-missing]; strings.HasSuffix(rest, "\n\n") {
			continue // It ends between two events, which nothing tells from the end.
		}
		withHarness(t, func(t *testing.T, h *harness) {
			engine := h.addServer(engines, "engine-1")
			var runs atomic.Int32
			engine.Script(func(platformtest.Run) platformtest.Reply {
				if runs.Add(1) == 1 {
					return part
				}
				return whole
			})
			got := h.call(http.MethodPost, "/turn/1", "r1")
			require.Equal(t, http.StatusOK, got.status, "%d bytes missing", missing)
			require.Equal(t, wholeStream, got.body, "it is resumed")
			require.Len(t, engine.Runs(), 2)
		})
		withHarness(t, func(t *testing.T, h *harness) {
			h.addServer(engines, "engine-1").Always(part)
			got := h.call(http.MethodPost, "/turn/1", "r1")
			require.NotEqual(t, http.StatusOK, got.status, "%d bytes missing", missing)
		})
	}
}

// Guards against forwarding a stream as complete that ends inside an event although its length is
// the announced one, and against breaking off the text of a failure that is sent as a stream.
func TestFramedStreamThatEndsInsideEventIsBroken(t *testing.T) {
	streamHeader := http.Header{"Content-Type": {"text/event-stream"}}
	for size := 1; size < len(wholeStream); size++ {
		part := platformtest.Reply{Body: wholeStream[:size], Header: streamHeader}
		if strings.HasSuffix(part.Body, "\n\n") {
			continue // It ends between two events, which nothing tells from the end.
		}
		withHarness(t, func(t *testing.T, h *harness) {
			engine := h.addServer(engines, "engine-1")
			var runs atomic.Int32
			engine.Script(func(platformtest.Run) platformtest.Reply {
				if runs.Add(1) == 1 {
					return part
				}
				return platformtest.Reply{Events: []string{"a", "b", "c"}}
			})
			got := h.call(http.MethodPost, "/turn/1", "r1")
			require.Equal(t, http.StatusOK, got.status, "%d bytes", size)
			require.Equal(t, wholeStream, got.body, "it is resumed")
			require.Len(t, engine.Runs(), 2)
		})
	}
	withHarness(t, func(t *testing.T, h *harness) {
		failure := platformtest.Reply{Status: http.StatusInternalServerError, Body: "engine failed\n", Header: streamHeader}
		h.addServer(engines, "engine-1").Always(failure)
		got := h.call(http.MethodPost, "/turn/1", "r1")
		require.Equal(t, http.StatusInternalServerError, got.status)
		require.Equal(t, "engine failed\n", got.body)
	})
}

// Guards against what answers the resume of a broken stream being forwarded as its rest: the
// text of an error, events that do not belong to the stream, or an end without a rest.
func TestErrorInsteadOfRestOfStreamIsNotForwarded(t *testing.T) {
	stream := http.Header{"Content-Type": {"text/event-stream"}}
	for name, reply := range map[string]platformtest.Reply{
		"error":                      {Status: http.StatusInternalServerError, Body: "engine failed\n"},
		"error as a stream":          {Status: http.StatusInternalServerError, Body: "engine failed\n\n", Header: stream},
		"empty error as a stream":    {Status: http.StatusInternalServerError, Header: stream},
		"error with event ids":       {Status: http.StatusInternalServerError, Body: "id: 2\ndata: failed\n\n", Header: stream},
		"text as a stream":           {Body: "HTTP/1.1 500 Failed\n\nengine failed\n\n", Header: stream},
		"plain text":                 {Body: "engine failed\n"},
		"end of the connection":      {Header: stream, UntilClose: true},
		"text until the end":         {Body: "engine failed", Header: stream, UntilClose: true},
		"later events":               {Body: "id: 3\ndata: c\n\n", Header: stream},
		"redirect":                   {Status: http.StatusFound, Header: http.Header{"Location": {"/elsewhere"}}},
		"success without a response": {Status: http.StatusNoContent},
	} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(t *testing.T, h *harness) {
				first := platformtest.Reply{Events: []string{"a", "b", "c"}, CutAfter: 20}
				h.addServer(engines, "engine-1").Script(func(run platformtest.Run) platformtest.Reply {
					if run.Header.Get("Last-Event-Id") == "" {
						return first
					}
					return reply
				})
				got := h.call(http.MethodPost, "/turn/1", "r1")
				require.Zero(t, got.status, "the caller's connection is aborted")
				require.Equal(t, "id: 1\ndata: a\n\n", got.body)
			})
		})
	}
}

// Guards against failing a stream of which only the end was lost: the rest is empty.
func TestResumeAfterLastEventEndsStream(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		events := platformtest.Reply{Events: []string{"a", "b", "c"}}
		first := events
		first.CutAfter = len(wholeStream)
		h.addServer(engines, "engine-1").Script(func(run platformtest.Run) platformtest.Reply {
			if run.Header.Get("Last-Event-Id") == "" {
				return first
			}
			return events
		})
		got := h.call(http.MethodPost, "/turn/1", "r1")
		require.Equal(t, http.StatusOK, got.status)
		require.Equal(t, wholeStream, got.body)
	})
}

// Guards against a response whose head or body stops at any byte being forwarded as a whole
// success, whether its connection is closed or stays open.
func TestResponseThatStopsAtAnyByteIsNoSuccess(t *testing.T) {
	replies := map[string]platformtest.Reply{
		"/redeem/1": {Body: "done", Header: http.Header{"Content-Type": {"text/plain"}}},
		"/look/1":   {Body: "done"},
		"/turn/1":   {Events: []string{"a", "b"}},
	}
	for path, reply := range replies {
		service, method := tills, http.MethodPost
		switch path {
		case "/turn/1":
			service = engines
		case "/look/1":
			method = http.MethodGet
		}
		for _, hang := range []bool{false, true} {
			for size := 1; ; size++ {
				whole := false
				withHarness(t, func(t *testing.T, h *harness) {
					server := h.addServer(service, "server-1")
					cut := reply
					cut.StopAfter, cut.Hang = size, hang
					server.Always(cut)
					got := h.call(method, path, "r1")
					whole = got.status == http.StatusOK
					if whole {
						require.Equal(t, "stamp-server-1", got.header.Get(platformtest.HeaderStamp))
						require.Contains(t, []string{"done", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"}, got.body)
					}
				})
				if whole {
					break
				}
			}
		}
	}
}

// Guards against cutting a slow but sound stream, or starting it elsewhere, because its server was silent
// for longer than the route's objective or is no longer listed.
func TestSlowStreamIsNotCut(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		slow := h.addServer(engines, "engine-1")
		slow.Always(platformtest.Reply{Events: []string{"a", "b", "c"}, EventGap: 950 * time.Millisecond})
		time.AfterFunc(time.Second, func() {
			h.mu.Lock()
			h.servers[engines] = nil
			h.mu.Unlock()
			h.addServer(engines, "engine-2")
		})
		got := h.call(http.MethodPost, "/turn/1", "r1")
		require.Equal(t, http.StatusOK, got.status)
		require.Equal(t, wholeStream, got.body)
		require.Len(t, slow.Runs(), 1)
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

// withLongBody is an edit for call that sends a body that is longer than what a server reads before it
// answers early.
func withLongBody(r *http.Request) {
	const size = 512 << 10
	r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", size))), size
}

// Guards against the part of a response without a length being forwarded as the whole one: its server
// answered a long request early and broke off while the request was still being sent.
func TestPartOfEarlyResponseIsNotForwarded(t *testing.T) {
	answerEarly := func(server *platformtest.Server, rest string) {
		server.AnswerEarly(func(run platformtest.Run) string {
			if run.Header.Get("Last-Event-Id") != "" {
				return ""
			}
			return strings.ReplaceAll(okHead, "%ID%", run.ID) + rest
		})
	}
	t.Run("at most once", func(t *testing.T) {
		withHarness(t, func(t *testing.T, h *harness) {
			h.allowLongBodies()
			till := h.addServer(tills, "till-1")
			answerEarly(till, "\r\npart")
			got := h.call(http.MethodPost, "/redeem/1", "r1", withLongBody)
			require.Equal(t, http.StatusBadGateway, got.status)
			require.Empty(t, got.header.Get(platformtest.HeaderStamp))
			require.Len(t, till.Runs(), 1)

			answerEarly(till, "Content-Length: 5\r\n\r\nwhole")
			got = h.call(http.MethodPost, "/redeem/1", "r2", withLongBody)
			require.Equal(t, http.StatusOK, got.status, "its end does not depend on the connection")
			require.Equal(t, "whole", got.body)
		})
	})
	t.Run("repeatable", func(t *testing.T) {
		withHarness(t, func(t *testing.T, h *harness) {
			h.allowLongBodies()
			answerEarly(h.addServer(tills, "till-1"), "\r\npart")
			h.addServer(tills, "till-2")
			for _, id := range requestIDs(4) {
				got := h.call(http.MethodPut, "/look/1", id, withLongBody)
				require.Equal(t, http.StatusOK, got.status)
				require.Equal(t, "till-2", got.body)
			}
		})
	})
	t.Run("stream", func(t *testing.T) {
		for path, want := range map[string]int{"/turn/1": http.StatusOK, "/chat/": 0} {
			withHarness(t, func(t *testing.T, h *harness) {
				h.allowLongBodies()
				engine := h.addServer(engines, "engine-1")
				engine.Always(platformtest.Reply{Events: []string{"a", "b", "c"}})
				answerEarly(engine, "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n")
				got := h.call(http.MethodPost, path, "r1", withLongBody)
				require.Equal(t, want, got.status, path)
				if want == http.StatusOK {
					require.Equal(t, wholeStream, got.body, "it is resumed")
				}
			})
		}
	})
}
