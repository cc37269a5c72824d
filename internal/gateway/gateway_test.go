package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/routes"
	"ibisline/internal/verdict"
	"ibisline/platform/platformtest"
)

// withHarness runs a test with a new harness under virtual time.
func withHarness(t *testing.T, test func(t *testing.T, h *harness)) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		test(t, h)
	})
}

func TestRequestAndResponseAreForwardedUnchanged(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		till := h.addServer(tills, "till-1")
		till.Always(platformtest.Reply{Status: http.StatusCreated, Body: "done", Header: http.Header{"X-Till": {"7"}}})
		got := h.call(http.MethodPost, "/redeem/a%2Fb?x=1&y=%20", "r1", withHeader("X-Own", "kept"),
			withHeader("Hold", "h"), withHeader("Connection", "X-Hop"), withHeader("X-Hop", "dropped"))
		require.Equal(t, http.StatusCreated, got.status)
		require.Equal(t, "done", got.body)
		require.Equal(t, "stamp-till-1", got.header.Get(platformtest.HeaderStamp))
		require.Equal(t, "7", got.header.Get("X-Till"))
		require.Empty(t, got.header.Get("Date"), "the gateway adds no field")
		run := till.Runs()[0]
		require.Equal(t, "/redeem/a%2Fb?x=1&y=%20", run.Target)
		require.Equal(t, "body of r1", run.Body)
		require.Equal(t, "kept", run.Header.Get("X-Own"))
		require.Equal(t, "till-1", run.Header.Get(platformtest.HeaderInstance))
		require.Empty(t, run.Header.Get("Hold"), "set only by the daemons")
		require.Empty(t, run.Header.Get("X-Hop"), "hop-by-hop header")
	})
}

func TestServerReceivesRemainingTime(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		till := h.addServer(tills, "till-1")
		h.call(http.MethodPost, "/redeem/1", "r1")
		require.Equal(t, "1500", till.Runs()[0].Header.Get("Deadline-Ms"), "the route's timeout is shorter than the caller's")
		h.call(http.MethodPost, "/redeem/1", "r2", withHeader("Deadline-Ms", "700"))
		require.Equal(t, "700", till.Runs()[1].Header.Get("Deadline-Ms"))
	})
}

func TestRequestWithoutConfigurationIsRefused(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.table = nil
		got := h.call(http.MethodGet, "/look/1", "r1")
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.NotEmpty(t, got.header.Get("Retry-After"))
		require.False(t, h.server.Ready())
	})
}

func TestUnknownRouteIsNotFound(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		require.Equal(t, http.StatusNotFound, h.call(http.MethodGet, "/other/1", "r1").status)
	})
}

func TestMalformedRequestsKeepTheConnectionUsable(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		till := h.addServer(tills, "till-1")
		require.Equal(t, http.StatusBadRequest, h.call(http.MethodGet, "/look/1", "").status)
		require.Equal(t, http.StatusBadRequest, h.call(http.MethodGet, "/look/1", "r1", withHeader("Deadline-Ms", "soon")).status)
		require.Equal(t, http.StatusBadRequest, h.call(http.MethodGet, "/look/1", "r1", withHeader(platformtest.HeaderTokens, "x,y")).status)
		require.Equal(t, http.StatusBadRequest, h.call(http.MethodGet, "/look/1", "r1", withHeader("Prompt-Prefix", "abc")).status)
		require.Empty(t, till.Runs())
		require.Equal(t, http.StatusOK, h.call(http.MethodGet, "/look/1", "r2").status)
	})
}

func TestBodyBeyondTheLimitIsRefused(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		till := h.addServer(tills, "till-1")
		long := func(r *http.Request) {
			replacement, err := http.NewRequest(r.Method, r.URL.String(), strings.NewReader(strings.Repeat("x", 2<<10)))
			require.NoError(t, err)
			r.Body, r.ContentLength = replacement.Body, replacement.ContentLength
		}
		require.Equal(t, http.StatusRequestEntityTooLarge, h.call(http.MethodPost, "/redeem/1", "r1", long).status)
		chunked := func(r *http.Request) {
			long(r)
			r.ContentLength = -1
		}
		require.Equal(t, http.StatusRequestEntityTooLarge, h.call(http.MethodPost, "/redeem/1", "r2", chunked).status)
		require.Empty(t, till.Runs())
	})
}

// rawRequest returns a request followed by rest, which holds the framing headers and the
// part of the body that is sent.
func rawRequest(id, rest string) []byte {
	return []byte("POST /redeem/1 HTTP/1.1\r\nHost: a.example\r\n" + platformtest.HeaderAttempt + ": " + id + "\r\n" + rest)
}

func TestTruncatedBodyIsNotSent(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		till := h.addServer(tills, "till-1")
		conn, err := h.client.Transport.(*http.Transport).DialContext(context.Background(), "", "")
		require.NoError(t, err)
		_, err = conn.Write(rawRequest("r1", "Content-Length: 50\r\n\r\nhalf"))
		require.NoError(t, err)
		require.NoError(t, conn.Close())
		synctest.Wait()
		conn, err = h.client.Transport.(*http.Transport).DialContext(context.Background(), "", "")
		require.NoError(t, err)
		_, err = conn.Write(rawRequest("r2", "Transfer-Encoding: chunked\r\n\r\nzz\r\n"))
		require.NoError(t, err)
		head := make([]byte, 12)
		_, err = conn.Read(head)
		require.NoError(t, err)
		require.Equal(t, "HTTP/1.1 400", string(head))
		require.NoError(t, conn.Close())
		require.Empty(t, till.Runs())
	})
}

func TestRequestThatNoServerAcceptsIsRefused(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		got := h.call(http.MethodPost, "/redeem/1", "r1")
		require.Equal(t, http.StatusServiceUnavailable, got.status, "no server is listed")
		full := h.addServer(tills, "till-1")
		full.Always(platformtest.Reply{NotExecuted: true})
		gone := h.addServer(tills, "till-2")
		gone.Crash()
		got = h.call(http.MethodPost, "/redeem/1", "r2")
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.NotEmpty(t, got.header.Get("Retry-After"))
		require.Empty(t, full.Runs())
	})
}

func TestRequestIsResentAfterProofThatItDidNotRun(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		full := h.addServer(tills, "till-1")
		full.Always(platformtest.Reply{NotExecuted: true})
		gone := h.addServer(tills, "till-2")
		gone.Crash()
		free := h.addServer(tills, "till-3")
		for _, id := range requestIDs(5) {
			require.Equal(t, http.StatusOK, h.call(http.MethodPost, "/redeem/1", id).status)
		}
		require.Len(t, free.Runs(), 5)
		require.Empty(t, full.Runs())
	})
}

func TestRequestThatMayHaveRunIsNotSentAgain(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		first := h.addServer(tills, "till-1")
		second := h.addServer(tills, "till-2")
		for _, server := range []*platformtest.Server{first, second} {
			server.Always(platformtest.Reply{Reset: true})
		}
		got := h.call(http.MethodPost, "/redeem/1", "r1")
		require.Equal(t, http.StatusBadGateway, got.status)
		require.Len(t, append(first.Runs(), second.Runs()...), 1)
	})
}

func TestRepeatableRequestIsResentWithinServerLimit(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		var servers []*platformtest.Server
		for _, name := range []string{"till-1", "till-2", "till-3"} {
			server := h.addServer(tills, name)
			server.Always(platformtest.Reply{Reset: true})
			servers = append(servers, server)
		}
		require.Equal(t, http.StatusBadGateway, h.call(http.MethodGet, "/look/1", "r1").status)
		runs := 0
		for _, server := range servers {
			runs += len(server.Runs())
		}
		require.Equal(t, 2, runs, "the route allows two servers")
	})
}

func TestTruncatedResponseIsNotForwarded(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		till := h.addServer(tills, "till-1")
		till.Always(platformtest.Reply{Body: "a long answer", CutAfter: 4})
		require.Equal(t, http.StatusBadGateway, h.call(http.MethodPost, "/redeem/1", "r1").status)
	})
}

func TestResponsesToOtherRequestsAreDiscarded(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		till := h.addServer(tills, "till-1")
		till.Always(platformtest.Reply{Body: "own", StaleFirst: true})
		for _, id := range requestIDs(3) {
			require.Equal(t, "own", h.call(http.MethodPost, "/redeem/1", id).body)
		}
		till.Always(platformtest.Reply{Body: "own", Duplicate: true})
		for _, id := range requestIDs(3) {
			require.Equal(t, "own", h.call(http.MethodPost, "/redeem/1", id).body)
		}
	})
}

func TestStreamEventsAreRelayedAsTheyArrive(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		engine := h.addServer(engines, "engine-1")
		engine.Always(platformtest.Reply{Events: []string{"a", "b", "c"}, EventGap: 50 * time.Millisecond})
		got := h.call(http.MethodPost, "/turn/1", "r1")
		require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", got.body)
		require.Equal(t, "text/event-stream", got.header.Get("Content-Type"))
		require.Equal(t, 150*time.Millisecond, got.took)
	})
}

func TestBrokenStreamResumesAtItsServer(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		first := h.addServer(engines, "engine-1")
		second := h.addServer(engines, "engine-2")
		for _, engine := range []*platformtest.Server{first, second} {
			engine.Always(platformtest.Reply{Events: []string{"a", "b", "c"}, CutAfter: 20})
		}
		got := h.call(http.MethodPost, "/turn/1", "r1")
		require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", got.body)
		require.Equal(t, http.StatusOK, got.status)
		require.True(t, len(first.Runs()) == 0 || len(second.Runs()) == 0, "the run resumes at its server")
	})
}

func TestStreamResumesElsewhereAfterServerCrash(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		first := h.addServer(engines, "engine-1")
		second := h.addServer(engines, "engine-2")
		var crashed atomic.Bool
		script := func(engine *platformtest.Server) func(platformtest.Run) platformtest.Reply {
			return func(platformtest.Run) platformtest.Reply {
				if crashed.CompareAndSwap(false, true) {
					time.AfterFunc(25*time.Millisecond, engine.Crash)
				}
				return platformtest.Reply{Events: []string{"a", "b", "c"}, EventGap: 10 * time.Millisecond}
			}
		}
		first.Script(script(first))
		second.Script(script(second))
		got := h.call(http.MethodPost, "/turn/1", "r1")
		require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", got.body)
		require.Equal(t, http.StatusOK, got.status)
		require.Len(t, first.Runs(), 1)
		require.Len(t, second.Runs(), 1)
	})
}

// Guards against giving a stream up, or reporting it as not run, because another server has the
// address of the one that it broke off at.
func TestStreamResumesElsewhereAfterItsAddressIsReused(t *testing.T) {
	for _, otherEngine := range []bool{true, false} {
		withHarness(t, func(t *testing.T, h *harness) {
			first := h.addServer(engines, "engine-1")
			events := platformtest.Reply{Events: []string{"a", "b", "c"}}
			first.Script(func(platformtest.Run) platformtest.Reply {
				h.network.Add("engine-1:1", platformtest.NewServer("another"))
				if otherEngine {
					h.addServer(engines, "engine-2").Always(events)
				}
				broken := events
				broken.CutAfter = 1
				return broken
			})
			got := h.call(http.MethodPost, "/turn/1", "r1")
			if otherEngine {
				require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", got.body)
			} else {
				require.Equal(t, http.StatusBadGateway, got.status, "it has run at engine-1")
			}
		})
	}
}

func TestTurnMayHaveRunAfterAllServersCrash(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		for _, name := range []string{"engine-1", "engine-2"} {
			engine := h.addServer(engines, name)
			engine.Script(func(platformtest.Run) platformtest.Reply {
				time.AfterFunc(time.Millisecond, engine.Crash)
				return platformtest.Reply{Delay: time.Second}
			})
		}
		require.Equal(t, http.StatusBadGateway, h.call(http.MethodPost, "/turn/1", "r1").status)
	})
}

func TestStreamThatCannotResumeIsAborted(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		engine := h.addServer(engines, "engine-1")
		engine.Script(func(run platformtest.Run) platformtest.Reply {
			if run.Header.Get("Last-Event-Id") != "" {
				return platformtest.Reply{Reset: true}
			}
			return platformtest.Reply{Events: []string{"a", "b", "c"}, CutAfter: 20}
		})
		got := h.call(http.MethodPost, "/turn/1", "r1", withHeader("Program-Id", "p1"), withHeader("Token-Budget", "900"))
		require.Zero(t, got.status)
		require.Error(t, got.err)
		require.Equal(t, []int{35}, h.releasedTokens, "the relayed event is charged")
	})
}

// Guards against reporting success when the last resume attempt breaks as well.
func TestStreamThatBreaksAtEveryAttemptFails(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		engine := h.addServer(engines, "engine-1")
		engine.Always(platformtest.Reply{Events: []string{"a"}, CutAfter: 1})
		got := h.call(http.MethodPost, "/turn/1", "r1")
		require.Equal(t, http.StatusBadGateway, got.status)
		require.Greater(t, len(engine.Runs()), 1)
	})
}

func TestNonResumableStreamIsAborted(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		table := defaultRoutes()
		table.Routes[0].Resumable = false
		h.table = routes.NewTable(table)
		engine := h.addServer(engines, "engine-1")
		engine.Always(platformtest.Reply{Events: []string{"a", "b", "c"}, CutAfter: 20})
		got := h.call(http.MethodPost, "/turn/1", "r1")
		require.Zero(t, got.status)
		require.Len(t, engine.Runs(), 1)
	})
}

func TestTurnBeyondItsBudgetIsNotSent(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		engine := h.addServer(engines, "engine-1")
		h.reserveErr = verdict.Refuse(verdict.BudgetSpent, "spent")
		turn := func(r *http.Request) {
			r.Header.Set("Program-Id", "p1")
			r.Header.Set("Token-Budget", "900")
			r.Header.Set(platformtest.HeaderTokens, "100,560")
		}
		require.Equal(t, http.StatusPaymentRequired, h.call(http.MethodPost, "/turn/1", "r1", turn).status)
		require.Empty(t, engine.Runs())
	})
}

// A turn is sent before its grant is persisted; only its output is held back until then.
func TestTurnRunsWhileGrantIsPersisted(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		engine := h.addServer(engines, "engine-1")
		engine.Always(platformtest.Reply{Events: []string{"a", "b"}, EventGap: 50 * time.Millisecond})
		h.confirmGate = make(chan struct{})
		time.AfterFunc(80*time.Millisecond, func() { close(h.confirmGate) })
		got := h.call(http.MethodPost, "/turn/1", "r1", withHeader("Program-Id", "p1"), withHeader("Token-Budget", "900"))
		require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", got.body)
		require.Equal(t, 100*time.Millisecond, got.took)
	})
}

// A turn whose grant is lost is not relayed, and is not reported as not run, since it ran.
func TestTurnWithLostGrantIsNotRelayed(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		engine := h.addServer(engines, "engine-1")
		engine.Always(platformtest.Reply{Events: []string{"a", "b"}})
		h.confirmErr = verdict.Refuse(verdict.BudgetSpent, "spent")
		got := h.call(http.MethodPost, "/turn/1", "r1", withHeader("Program-Id", "p1"), withHeader("Token-Budget", "900"))
		require.Equal(t, http.StatusBadGateway, got.status)
		require.Len(t, engine.Runs(), 1, "it is not resumed at its server either")
		require.Equal(t, []int{0}, h.releasedTokens)
	})
}

func TestTurnIsChargedForItsEvents(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		engine := h.addServer(engines, "engine-1")
		engine.Always(platformtest.Reply{Events: []string{"a", "b"}})
		h.call(http.MethodPost, "/turn/1", "r1", withHeader("Program-Id", "p1"), withHeader("Token-Budget", "900"))
		h.call(http.MethodPost, "/turn/1", "r2", withHeader("Program-Id", "p1"), withHeader("Token-Budget", "900"),
			withHeader("Last-Event-Id", "1"))
		require.Equal(t, []int{70, 35}, h.releasedTokens)
	})
}

func TestSlowRepeatableRequestIsHedged(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		var sent atomic.Int32
		script := func(platformtest.Run) platformtest.Reply {
			if sent.Add(1) == 1 {
				return platformtest.Reply{Silent: true}
			}
			return platformtest.Reply{Body: "found"}
		}
		first := h.addServer(tills, "till-1")
		second := h.addServer(tills, "till-2")
		first.Script(script)
		second.Script(script)
		got := h.call(http.MethodGet, "/look/1", "r1")
		require.Equal(t, "found", got.body)
		require.Equal(t, 60*time.Millisecond, got.took)
		require.Len(t, first.Runs(), 1)
		require.Len(t, second.Runs(), 1)
	})
}

func TestHedgingRespectsServerLimit(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		table := defaultRoutes()
		table.Routes[1].MaxServers = 1
		h.table = routes.NewTable(table)
		first := h.addServer(tills, "till-1")
		second := h.addServer(tills, "till-2")
		for _, till := range []*platformtest.Server{first, second} {
			till.Always(platformtest.Reply{Body: "found", Delay: 200 * time.Millisecond})
		}
		require.Equal(t, "found", h.call(http.MethodGet, "/look/1", "r1").body)
		require.Len(t, append(first.Runs(), second.Runs()...), 1)
	})
}

func TestRequestWaitsBrieflyForFreeServer(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		till := h.addServer(tills, "till-1")
		full := true
		till.Script(func(platformtest.Run) platformtest.Reply { return platformtest.Reply{NotExecuted: full, Body: "done"} })
		time.AfterFunc(25*time.Millisecond, func() {
			till.Script(func(platformtest.Run) platformtest.Reply { return platformtest.Reply{Body: "done"} })
		})
		got := h.call(http.MethodPost, "/redeem/1", "r1")
		require.Equal(t, http.StatusOK, got.status)
		require.Less(t, got.took, 150*time.Millisecond)
	})
}

func TestCallerDisconnectCancelsServerRequest(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		engine := h.addServer(engines, "engine-1")
		engine.Always(platformtest.Reply{Body: "late", Delay: 2 * time.Second})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		h.call(http.MethodPost, "/turn/1", "r1", func(r *http.Request) { *r = *r.WithContext(ctx) })
		time.Sleep(100 * time.Millisecond)
		select {
		case <-engine.Runs()[0].Disconnected:
		default:
			require.Fail(t, "the server still runs the request of a disconnected caller")
		}
	})
}

func TestRequestFailsAtRouteTimeout(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		till := h.addServer(tills, "till-1")
		till.Always(platformtest.Reply{Silent: true})
		got := h.call(http.MethodPost, "/redeem/1", "r1", withHeader("Deadline-Ms", "5000"))
		require.Equal(t, http.StatusGatewayTimeout, got.status)
		require.Equal(t, 1500*time.Millisecond, got.took)
	})
}

// Requests are counted by kind, with every send and failure.
func TestRequestMetrics(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		full := h.addServer(tills, "till-1")
		full.Always(platformtest.Reply{NotExecuted: true})
		h.addServer(tills, "till-2")
		engine := h.addServer(engines, "engine-1")
		engine.Always(platformtest.Reply{Events: []string{"a", "b"}, EventGap: 50 * time.Millisecond})
		for _, id := range requestIDs(4) {
			h.call(http.MethodPost, "/redeem/1", id)
		}
		h.call(http.MethodPost, "/turn/1", "r1", withHeader("Program-Id", "p1"), withHeader("Token-Budget", "900"))
		h.call(http.MethodGet, "/other/1", "r2")
		var text strings.Builder
		h.metrics.WritePrometheus(&text)
		for _, line := range []string{
			`ibisline_gateway_requests_total{kind="at_most_once",status="200"} 4`,
			`ibisline_gateway_requests_total{kind="none",status="404"} 1`,
			`ibisline_gateway_failures_total{reason="unknown_route",verdict="not_run"} 1`,
			`ibisline_gateway_sends_total{kind="at_most_once",outcome="200"} 4`,
			`ibisline_gateway_sends_total{kind="stream",outcome="200"} 1`,
			`ibisline_gateway_request_seconds_count{kind="at_most_once"} 4`,
			`ibisline_gateway_first_byte_seconds_bucket{kind="stream",le="0.1"} 1`,
			`ibisline_gateway_first_byte_seconds_bucket{kind="stream",le="0.025"} 0`,
			`ibisline_gateway_event_gap_seconds_count 1`,
		} {
			require.Contains(t, text.String(), line+"\n")
		}
		require.Regexp(t, `ibisline_gateway_sends_total\{kind="at_most_once",outcome="not_run_503"\} [1-9]`, text.String())
	})
}

// TestRequestsAboutOneObjectGoToOneServer guards against losing what a server remembers of an object
// when other sessions ask about it.
func TestRequestsAboutOneObjectGoToOneServer(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		table := defaultRoutes()
		for i := range table.Routes {
			table.Routes[i].PrefersAffinity = true
		}
		h.table = routes.NewTable(table)
		for _, name := range []string{"till-1", "till-2", "till-3"} {
			h.addServer(tills, name)
		}
		usedBy := map[string]map[string]bool{"object-1": {}, "object-2": {}, "object-3": {}, "object-4": {}}
		all := map[string]bool{}
		for i := range 20 {
			for object, used := range usedBy {
				got := h.call(http.MethodPost, "/redeem/1", fmt.Sprint(object, i), withHeader("Cookie", "Affinity-Key="+object),
					withHeader("Session-Id", fmt.Sprint("session-", i)))
				require.Equal(t, http.StatusOK, got.status)
				used[got.body] = true
				all[got.body] = true
			}
		}
		for object, used := range usedBy {
			require.Len(t, used, 1, object)
		}
		require.Greater(t, len(all), 1)
	})
}
