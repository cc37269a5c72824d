package gateway_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"ibisline/internal/gateway"
)

// Guards against explanations that differ from what happens, or that change it.
func TestExplainedServerIsChosen(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		require.Contains(t, h.gateway.ExplainRoute(gateway.RouteQuery{Host: "a.example", Path: "/redeem/1"}).Refusal, "no_server")
		require.Contains(t, h.gateway.ExplainRoute(gateway.RouteQuery{Host: "b.example", Path: "/redeem/1"}).Refusal, "unknown_route")
		for _, name := range []string{"till-1", "till-2", "till-3"} {
			h.addServer(tills, name)
		}
		for _, session := range requestIDs(20) {
			query := gateway.RouteQuery{Host: "a.example", Path: "/redeem/1", Session: session}
			explained := h.gateway.ExplainRoute(query)
			require.Equal(t, explained, h.gateway.ExplainRoute(query))
			require.Len(t, explained.Candidates, 3)
			got := h.call(http.MethodPost, "/redeem/1", "r-"+session, withHeader("Session-Id", session))
			require.Equal(t, explained.Server, got.body)
		}
		h.useTeams()
		require.Contains(t, h.gateway.ExplainRoute(gateway.RouteQuery{Host: "a.example", Path: "/redeem/1", Team: "x"}).Refusal, "unknown_key")
		require.NotEmpty(t, h.gateway.ExplainRoute(gateway.RouteQuery{Host: "a.example", Path: "/redeem/1", Team: "weavers"}).Server)
		require.Empty(t, h.admitted)
	})
}
