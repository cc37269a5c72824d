package gateway_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/platform/platformtest"
)

// grace is the time from the begin of a planned stop to the end of the process.
const grace = 8 * time.Second

// beginStop begins a planned stop. When the grace has passed, all connections are closed, as at the
// end of the process.
func (h *harness) beginStop() {
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	go func() {
		defer cancel()
		_ = h.server.Drain(ctx)
	}()
	time.AfterFunc(grace, h.endServer)
}

// Guards against cutting off a request without an answer at the end of the grace, because it may take
// longer than that.
func TestLongRequestIsAnsweredBeforeTheEndOfTheGrace(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.addServer(tills, "till-1").Always(platformtest.Reply{Delay: time.Minute, Body: "late"})
		h.allowLongCalls(30 * time.Second)
		statuses := make(chan int, 1)
		go func() {
			statuses <- h.call(http.MethodPost, "/redeem/1", "long", withHeader("Deadline-Ms", "30000")).status
		}()
		time.Sleep(time.Second)
		h.beginStop()
		time.Sleep(grace + time.Second)
		require.Equal(t, http.StatusBadGateway, <-statuses, "it may have run")
	})
}

// Guards against passing on a request that may be cut off at the end of the grace.
func TestRequestBeyondTheEndOfTheGraceIsRejected(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		till := h.addServer(tills, "till-1")
		h.allowLongCalls(30 * time.Second)
		h.beginStop()
		time.Sleep(time.Second)
		got := h.call(http.MethodPost, "/redeem/1", "long", withHeader("Deadline-Ms", "30000"))
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.Empty(t, till.Runs())
		require.Equal(t, http.StatusOK, h.call(http.MethodPost, "/redeem/1", "short").status, "3 s are left for it")
		time.Sleep(grace)
	})
}
