package gateway_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/routes"
	"ibisline/platform/platformtest"
)

// Guards against turns that leave the engine that has read their session for one with a request less,
// which then reads all of it, and against sessions that stay where it costs more than the reading.
func TestSessionStaysWhereItsPromptWasRead(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		table := defaultRoutes()
		table.Routes[0].PrefersAffinity = true
		h.table = routes.NewTable(table)
		engines := map[string]*platformtest.Server{}
		for _, name := range []string{"engine-1", "engine-2", "engine-3"} {
			engines[name] = h.addServer("engines", name)
		}
		turn := func(id, session string, own int) string {
			got := h.call(http.MethodPost, "/turn/1", id, withHeader("Session-Id", session),
				withHeader("Prompt-Prefix", "aa:12000,bb:"+strconv.Itoa(own)), withHeader(platformtest.HeaderTokens, strconv.Itoa(12000+own)+",50"))
			require.Equal(t, http.StatusOK, got.status)
			return got.body
		}
		first := turn("t1", "s1", 10_000)
		occupy := func(id string) {
			engines[first].Always(platformtest.Reply{Body: first, Delay: time.Second})
			go h.call(http.MethodPost, "/turn/1", id, withHeader("Session-Id", "s1"), withHeader("Prompt-Prefix", "aa:12000,bb:10000"),
				withHeader(platformtest.HeaderTokens, "22000,50"))
			time.Sleep(time.Millisecond)
			engines[first].Always(platformtest.Reply{Body: first})
		}
		occupy("busy-1")
		require.Equal(t, first, turn("t2", "s1", 10_000), "one request does not outweigh the reading")
		require.NotEqual(t, first, turn("t3", "s1", 100), "there is little to read")
	})
}
