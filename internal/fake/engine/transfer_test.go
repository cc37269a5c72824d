package engine

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pair is an engine that holds 300 tokens of program p and one that imports at
// the given rate. Neither runs its batch.
func pair(t *testing.T, rate float64, capacity int) (holder, importer *Engine, ask func(ctx context.Context) int) {
	t.Helper()
	settings := DefaultSettings()
	settings.ImportRate, settings.KVTokens = rate, capacity
	holder, importer = New(settings), New(settings)
	holder.cache.admit("p", nil, 0)
	holder.cache.finish("p", 0, prompt(300, 1))
	from := httptest.NewServer(holder.Handler())
	to := httptest.NewServer(importer.Handler())
	t.Cleanup(from.Close)
	t.Cleanup(to.Close)
	query := url.Values{"program": {"p"}, "from": {strings.TrimPrefix(from.URL, "http://")}}
	return holder, importer, func(ctx context.Context) int {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, to.URL+"/v1/kv/import?"+query.Encode(), nil)
		require.NoError(t, err)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return 0
		}
		defer response.Body.Close()
		return response.StatusCode
	}
}

func TestImportPullsTheCacheAndTheSourceEvictsItsCopyFirst(t *testing.T) {
	holder, importer, ask := pair(t, 1e6, 1000)
	require.Equal(t, http.StatusOK, ask(t.Context()))
	require.Equal(t, 300, importer.cache.match("p", prompt(300, 1)))
	require.Equal(t, 300, importer.Counts().ImportedTokens)
	require.Equal(t, "p", holder.cache.oldestIdle(""))
	holder.cache.release("p")
	require.Equal(t, http.StatusNotFound, ask(t.Context()))
}

func TestImportIsRefusedWithoutMemoryAndByALeavingEngine(t *testing.T) {
	_, importer, ask := pair(t, 1e6, 299)
	require.Equal(t, http.StatusConflict, ask(t.Context()))
	importer.SetFaults(Faults{Leaving: true})
	require.Equal(t, http.StatusServiceUnavailable, ask(t.Context()))
	require.Empty(t, importer.cache.listing())
}

// importing waits until the memory of an import is taken.
func importing(t *testing.T, e *Engine) {
	t.Helper()
	require.Eventually(t, func() bool { return e.Counts().KVUsed == 300 }, 10*time.Second, time.Millisecond)
}

func TestCancelReleaseAndCrashEndAnImportWithoutMemory(t *testing.T) {
	for name, end := range map[string]func(e *Engine, cancel func()){
		"cancel": func(_ *Engine, cancel func()) { cancel() },
		"release": func(e *Engine, cancel func()) {
			e.mu.Lock()
			e.cache.release("p")
			e.mu.Unlock()
			cancel()
		},
		"crash": func(e *Engine, cancel func()) {
			e.SetFaults(Faults{Crash: true})
			cancel()
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, importer, ask := pair(t, 1, 1000)
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan int)
			go func() { done <- ask(ctx) }()
			importing(t, importer)
			end(importer, cancel)
			require.Zero(t, <-done)
			require.Eventually(t, func() bool { return importer.Counts().KVUsed == 0 }, 10*time.Second, time.Millisecond)
		})
	}
}
