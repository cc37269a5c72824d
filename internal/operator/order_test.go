package operator

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ibisline/internal/backend"
	"ibisline/internal/verdict"
)

func postOrder(t *testing.T, body string, result error) (*httptest.ResponseRecorder, []backend.Order) {
	t.Helper()
	var given []backend.Order
	handler := orderHandler(func(_ context.Context, _ string, order backend.Order) error {
		given = append(given, order)
		return result
	})
	r := httptest.NewRequest(http.MethodPost, "/v1/servers/e1/orders", strings.NewReader(body))
	r.Header.Set("Content-Type", "application/json")
	w := httptest.NewRecorder()
	handler(w, r)
	return w, given
}

func TestUnknownOrderIsRefusedBeforeItIsGiven(t *testing.T) {
	w, given := postOrder(t, `{"kind":"explode","name":"m"}`, nil)
	require.Equal(t, http.StatusBadRequest, w.Code)
	require.Contains(t, w.Body.String(), "load_model")
	require.Empty(t, given)
	w, given = postOrder(t, `{`, nil)
	require.Contains(t, w.Body.String(), `"not_run"`)
	require.Empty(t, given)
}

func TestOrderInDoubtSaysSo(t *testing.T) {
	doubt := verdict.New(verdict.MayHaveRun, verdict.BackendTimeout, "no answer")
	w, given := postOrder(t, `{"kind":"load_model","name":"m"}`, doubt)
	require.Equal(t, http.StatusBadGateway, w.Code)
	require.Contains(t, w.Body.String(), `"may_have_run"`)
	require.Equal(t, []backend.Order{{Kind: backend.LoadModel, Name: "m"}}, given)
}
