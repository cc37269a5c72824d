package backend_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/backend"
	"ibisline/internal/structs"
)

// TestImportKVIsBoundedByItsContextOnly checks the parameters and errors of ImportKV
// with a control timeout that is too short for any call: it must not apply.
func TestImportKVIsBoundedByItsContextOnly(t *testing.T) {
	answer := make(chan int, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		require.Equal(t, "p q", r.URL.Query().Get("program"))
		require.Equal(t, "127.0.0.1:1", r.URL.Query().Get("from"))
		select {
		case status := <-answer:
			w.WriteHeader(status)
			_, _ = w.Write([]byte(`{"tokens": 7}`))
		case <-r.Context().Done():
		}
	}))
	defer server.Close()
	client := backend.NewEngines(backend.EngineOptions{ControlTimeout: time.Nanosecond})
	target := structs.Server{Addr: strings.TrimPrefix(server.URL, "http://")}
	ctx, cancel := context.WithCancel(t.Context())
	answer <- http.StatusOK
	tokens, err := client.ImportKV(ctx, target, "p q", "127.0.0.1:1")
	require.NoError(t, err)
	require.Equal(t, 7, tokens)
	answer <- http.StatusNotFound
	_, err = client.ImportKV(ctx, target, "p q", "127.0.0.1:1")
	require.ErrorIs(t, err, backend.ErrNotHeld)
	time.AfterFunc(time.Millisecond, cancel)
	_, err = client.ImportKV(ctx, target, "p q", "127.0.0.1:1")
	require.Error(t, err)
}
