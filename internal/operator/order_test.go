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
	var sent []backend.Order
	handler := orderHandler(func(_ context.Context, _ string, order backend.Order) error {
		sent = append(sent, order)
		return result
	})
	r := httptest.NewRequest(http.MethodPost, "/v1/servers/e1/orders", strings.NewReader(body))
	r.Header.Set("Content-Type", "application/json")
	w := httptest.NewRecorder()
	handler(w, r)
	return w, sent
}

func TestOrderOfUnknownKindIsNotSent(t *testing.T) {
	w, sent := postOrder(t, `{"kind":"explode","name":"m"}`, nil)
	require.Equal(t, http.StatusBadRequest, w.Code)
	require.Contains(t, w.Body.String(), "load_model")
	require.Empty(t, sent)
	w, sent = postOrder(t, `{`, nil)
	require.Contains(t, w.Body.String(), `"not_run"`)
	require.Empty(t, sent)
}

func TestOrderWithUnknownOutcomeReturnsMayHaveRun(t *testing.T) {
	unknownOutcome := verdict.New(verdict.MayHaveRun, verdict.BackendTimeout, "no answer")
	w, sent := postOrder(t, `{"kind":"load_model","name":"m"}`, unknownOutcome)
	require.Equal(t, http.StatusBadGateway, w.Code)
	require.Contains(t, w.Body.String(), `"may_have_run"`)
	require.Equal(t, []backend.Order{{Kind: backend.LoadModel, Name: "m"}}, sent)
}
