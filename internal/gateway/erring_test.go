package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/platform/platformtest"
)

// addErringServer adds a server that answers each request with an error of its own at once, and
// then good ones.
func addErringServer(h *harness, service string) *platformtest.Server {
	erring := h.addServer(service, "erring")
	erring.Always(platformtest.Reply{Status: http.StatusInternalServerError, Body: "failed"})
	for _, name := range []string{"good-1", "good-2", "good-3"} {
		h.addServer(service, name)
	}
	return erring
}

// Guards against a server that fails all requests at once and therefore looks idle attracting
// them, and against retries that reach it again.
func TestServerThatAnswersWithErrorsIsAvoided(t *testing.T) {
	for _, c := range []struct{ method, path, service string }{
		{http.MethodPost, "/redeem/1", tills}, {http.MethodGet, "/look/1", tills}, {http.MethodPost, "/turn/1", engines},
	} {
		t.Run(c.path, func(t *testing.T) {
			withHarness(t, func(t *testing.T, h *harness) {
				erring := addErringServer(h, c.service)
				for i, id := range requestIDs(400) {
					session := withHeader("Session-Id", requestIDs(40)[i%40])
					if h.call(c.method, c.path, id, session).status != http.StatusOK {
						require.Equal(t, http.StatusOK, h.call(c.method, c.path, id+"-again", session).status)
					}
					time.Sleep(20 * time.Millisecond)
				}
				require.LessOrEqual(t, len(erring.Runs()), 4, "it is tried less often each time in 8 s")
			})
		})
	}
}

// Guards against avoiding a server for good, or for a request that no server can serve.
func TestServerThatAnsweredWithErrorsIsUsedAgain(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		erring := addErringServer(h, tills)
		for _, id := range requestIDs(200) {
			h.call(http.MethodPost, "/redeem/1", id, withHeader("Session-Id", id))
			time.Sleep(20 * time.Millisecond)
		}
		erring.Always(platformtest.Reply{Body: "recovered"})
		before := len(erring.Runs())
		for _, id := range requestIDs(300) {
			require.Equal(t, http.StatusOK, h.call(http.MethodPost, "/redeem/1", id, withHeader("Session-Id", id)).status)
			time.Sleep(20 * time.Millisecond)
		}
		require.Greater(t, len(erring.Runs())-before, 10)
	})
	withHarness(t, func(t *testing.T, h *harness) {
		h.addServer(tills, "till-1").Always(platformtest.Reply{Status: http.StatusInternalServerError})
		for _, id := range requestIDs(3) {
			require.Equal(t, http.StatusInternalServerError, h.call(http.MethodPost, "/redeem/1", id).status, "it is the only server")
		}
	})
}
