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

// newImportPair returns an engine with 300 cached tokens of program p, an engine
// that imports at the given rate in tokens per second, and a function that
// requests the import and returns the HTTP status, or 0 on a connection error.
// Neither engine runs its batch.
func newImportPair(t *testing.T, rate float64, capacity int) (
	holder, importer *Engine, requestImport func(ctx context.Context) int,
) {
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

func TestImportCopiesTheCacheAndTheSourceEvictsItsCopyFirst(t *testing.T) {
	holder, importer, requestImport := newImportPair(t, 1e6, 1000)
	require.Equal(t, http.StatusOK, requestImport(t.Context()))
	require.Equal(t, 300, importer.cache.match("p", prompt(300, 1)))
	require.Equal(t, 300, importer.Counts().ImportedTokens)
	require.Equal(t, "p", holder.cache.leastRecentlyUsedIdle(""))
	holder.cache.release("p")
	require.Equal(t, http.StatusNotFound, requestImport(t.Context()))
}

func TestImportIsRefusedWithoutMemoryAndByALeavingEngine(t *testing.T) {
	_, importer, requestImport := newImportPair(t, 1e6, 299)
	require.Equal(t, http.StatusConflict, requestImport(t.Context()))
	importer.SetFaults(Faults{Leaving: true})
	require.Equal(t, http.StatusServiceUnavailable, requestImport(t.Context()))
	require.Empty(t, importer.cache.tokensByProgram())
}

// waitForImport waits until an import has reserved its memory.
func waitForImport(t *testing.T, e *Engine) {
	t.Helper()
	require.Eventually(t, func() bool { return e.Counts().KVUsed == 300 }, 10*time.Second, time.Millisecond)
}

func TestCancelReleaseAndCrashOfAnImportFreeItsMemory(t *testing.T) {
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
			_, importer, requestImport := newImportPair(t, 1, 1000)
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan int)
			go func() { done <- requestImport(ctx) }()
			waitForImport(t, importer)
			end(importer, cancel)
			require.Zero(t, <-done)
			require.Eventually(t, func() bool { return importer.Counts().KVUsed == 0 }, 10*time.Second, time.Millisecond)
		})
	}
}
