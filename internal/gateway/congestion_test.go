package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/platform/platformtest"
)

// TestBusyServersAreRelievedWithoutOwnRequests guards against sending requests to near servers that
// the requests of other gateways keep busy, while those of the next data centre are idle, and
// against staying away once the near ones have recovered.
func TestBusyServersAreRelievedWithoutOwnRequests(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		near, next := h.addServer(tills, "near"), h.addServer(tills, "next")
		h.servers[tills][1].DataCentre = "n2"
		usual := platformtest.Reply{Delay: 10 * time.Millisecond}
		near.Always(usual)
		next.Always(usual)
		sent := 0
		// send sends requests one after the other, and returns how many the next data centre got.
		send := func(n int) int {
			before := len(next.Runs())
			for range n {
				sent++
				got := h.call(http.MethodPost, "/redeem/1", fmt.Sprint("request-", sent), withHeader("Session-Id", fmt.Sprint("session-", sent)))
				require.Equal(t, http.StatusOK, got.status)
				time.Sleep(50 * time.Millisecond)
			}
			return len(next.Runs()) - before
		}
		require.Zero(t, send(40), "all stay while the near server is not busy")
		near.Always(platformtest.Reply{Delay: 100 * time.Millisecond})
		send(20)
		require.Greater(t, send(60), 30, "most go to the next data centre while the near server is busy")
		near.Always(usual)
		send(60)
		require.Zero(t, send(40), "all stay once the near server has recovered")
	})
}
