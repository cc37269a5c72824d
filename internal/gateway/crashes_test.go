package gateway_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/verdict"
	"ibisline/platform/platformtest"
)

// addCrashingServers adds servers that crash whenever they run a request with the given
// body, and that restart 50 ms later.
func addCrashingServers(h *harness, service, body string, names ...string) []*platformtest.Server {
	var servers []*platformtest.Server
	for _, name := range names {
		server := h.addServer(service, name)
		server.Script(func(run platformtest.Run) platformtest.Reply {
			if run.Body != body {
				return platformtest.Reply{Events: []string{"a"}}
			}
			time.AfterFunc(time.Millisecond, server.Crash)
			time.AfterFunc(50*time.Millisecond, func() { h.restart(service, server) })
			return platformtest.Reply{Delay: 5 * time.Millisecond}
		})
		servers = append(servers, server)
	}
	return servers
}

// A request that crashes servers is refused; other requests of the same program are not.
func TestRequestThatCrashesServersIsRefused(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		servers := addCrashingServers(h, tills, "body of poison", "till-1", "till-2", "till-3", "till-4")
		program := withHeader("Program-Id", "p1")
		var statuses []int
		for range 6 {
			statuses = append(statuses, h.call(http.MethodPost, "/redeem/1", "poison", program).status)
			time.Sleep(2 * time.Second)
		}
		require.Equal(t, []int{502, 502, 502, 503, 503, 503}, statuses)
		runs := 0
		for _, server := range servers {
			runs += len(server.Runs())
		}
		require.Equal(t, 3, runs)
		require.Equal(t, http.StatusOK, h.call(http.MethodPost, "/redeem/1", "other", program).status)
	})
}

// Guards against a stream that crashes one server after another because it is resumed at
// another server after each crash.
func TestResumeStopsForRequestThatCrashesServers(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		names := []string{"engine-1", "engine-2", "engine-3", "engine-4", "engine-5", "engine-6", "engine-7"}
		servers := addCrashingServers(h, engines, "body of poison", names...)
		for range 3 {
			h.call(http.MethodPost, "/turn/1", "poison")
			time.Sleep(2 * time.Second)
		}
		runs := 0
		for _, server := range servers {
			runs += len(server.Runs())
		}
		require.LessOrEqual(t, runs, 4, "a run that begins while the third crash is being checked cannot be avoided")
	})
}

// A broken response does not count as a crash while its server still listens.
func TestBrokenResponsesAloneDoNotRefuseRequest(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		for _, name := range []string{"till-1", "till-2", "till-3", "till-4"} {
			h.addServer(tills, name).Always(platformtest.Reply{Reset: true})
		}
		for range 8 {
			require.Equal(t, http.StatusBadGateway, h.call(http.MethodPost, "/redeem/1", "r1").status)
			time.Sleep(2 * time.Second)
		}
	})
}

// Guards against keeping the caller of a refused request waiting for its budget, and against
// inviting it back while the refusal lasts.
func TestRefusedRequestIsRejectedBeforeItsBudgetIsReserved(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		addCrashingServers(h, engines, "body of poison", "engine-1", "engine-2", "engine-3", "engine-4", "engine-5")
		for range 3 {
			h.call(http.MethodPost, "/turn/1", "poison")
			time.Sleep(2 * time.Second)
		}
		h.reserveErr = verdict.Refuse(verdict.NotHome, "no home decides about the budget")
		got := h.call(http.MethodPost, "/turn/1", "poison", withHeader("Program-Id", "p1"), withHeader("Token-Budget", "1000"),
			withHeader(platformtest.HeaderTokens, "10,100"))
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.Contains(t, got.body, "crashes the servers")
		retryAfter, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.Greater(t, retryAfter, time.Minute.Seconds())
	})
}

// Guards against refusing a stream that was in flight when several servers crashed at the same moment:
// its resumes reach servers that are gone already, over connections that were idle.
func TestServersThatAreGoneAlreadyDoNotCountAsCrashed(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		var servers []*platformtest.Server
		for _, name := range []string{"engine-1", "engine-2", "engine-3", "engine-4", "engine-5"} {
			server := h.addServer(engines, name)
			server.Always(platformtest.Reply{Events: []string{"a", "b"}, EventGap: 100 * time.Millisecond})
			servers = append(servers, server)
		}
		for _, id := range requestIDs(40) {
			h.call(http.MethodPost, "/turn/1", id, withHeader("Session-Id", id))
		}
		time.AfterFunc(150*time.Millisecond, func() {
			for _, server := range servers {
				server.CrashLate(20 * time.Millisecond)
			}
		})
		require.NotEqual(t, http.StatusOK, h.call(http.MethodPost, "/turn/1", "innocent").status)
		time.Sleep(2 * time.Second)
		for _, server := range servers {
			h.restart(engines, server)
		}
		require.Equal(t, http.StatusOK, h.call(http.MethodPost, "/turn/1", "innocent").status)
	})
}
