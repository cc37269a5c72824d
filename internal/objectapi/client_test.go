package objectapi_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"ibisline/internal/fake/objects"
	"ibisline/internal/fake/testbed"
	"ibisline/internal/objectapi"
)

// newClient returns a client of the servers at urls, with a short timeout.
func newClient(urls ...string) *objectapi.Client {
	var addrs []string
	for _, u := range urls {
		addrs = append(addrs, strings.TrimPrefix(u, "http://"))
	}
	config := objectapi.Config{Addrs: addrs, Timeout: 100 * time.Millisecond}
	return objectapi.NewClient(config, metrics.NewSet(), testbed.NoLog())
}

// serve starts an HTTP server that runs until the test ends.
func serve(t *testing.T, h http.Handler) *httptest.Server {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server
}

// dropAfterRead reads and counts requests and closes their connections without a
// response. It answers requests for the object "warm", which leaves a keep-alive
// connection for the next request.
func dropAfterRead(handled *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if strings.HasSuffix(r.URL.Path, "/warm") {
			_, _ = io.WriteString(w, "{}")
			return
		}
		handled.Add(1)
		panic(http.ErrAbortHandler)
	}
}

func TestClientMapsStoreErrors(t *testing.T) {
	ctx := context.Background()
	store := objects.New()
	client := newClient(serve(t, objects.Handler(store)).URL)

	version, err := client.Put(ctx, "catalogue/a b/ä%", []byte("one"), objectapi.NoVersion)
	require.NoError(t, err)
	object, err := client.Get(ctx, "catalogue/a b/ä%")
	require.NoError(t, err)
	require.Equal(t, objectapi.Object{Key: "catalogue/a b/ä%", Value: []byte("one"), Version: version}, object)

	_, err = client.Put(ctx, "catalogue/a b/ä%", []byte("two"), objectapi.NoVersion)
	require.ErrorIs(t, err, objectapi.ErrConflict)
	_, err = client.Get(ctx, "missing")
	require.ErrorIs(t, err, objectapi.ErrNotFound)
	require.ErrorIs(t, client.Delete(ctx, "missing", 1), objectapi.ErrNotFound)
	_, err = client.Put(ctx, "big", make([]byte, objectapi.MaxValueBytes+1), objectapi.NoVersion)
	require.ErrorIs(t, err, objectapi.ErrTooLarge)

	events, revision, err := client.Watch(ctx, "catalogue/", 0)
	require.NoError(t, err)
	require.Len(t, events, 1)
	require.Equal(t, version, revision)
	require.NoError(t, client.Delete(ctx, "catalogue/a b/ä%", version))
	events, _, err = client.Watch(ctx, "catalogue/", revision)
	require.NoError(t, err)
	require.True(t, events[0].Deleted)
	store.Compact()
	_, _, err = client.Watch(ctx, "catalogue/", revision)
	require.ErrorIs(t, err, objectapi.ErrCompacted)
	listed, _, err := client.List(ctx, "catalogue/")
	require.NoError(t, err)
	require.Empty(t, listed)
}

// TestLostReplyIsUnknownAndNotConflict guards against a repeated write: if the first
// one took effect and its reply was lost, the repeat would report a conflict.
func TestLostReplyIsUnknownAndNotConflict(t *testing.T) {
	ctx := context.Background()
	store := objects.New()
	client := newClient(serve(t, objects.Handler(store)).URL)
	_, err := client.Get(ctx, "warm")
	require.ErrorIs(t, err, objectapi.ErrNotFound)

	store.SetFaults(objects.Faults{LoseReplies: 1})
	_, err = client.Put(ctx, "k", []byte("v"), objectapi.NoVersion)
	require.ErrorIs(t, err, objectapi.ErrUnknown)
	require.NotErrorIs(t, err, objectapi.ErrConflict)
	require.Equal(t, 1, store.Counts().Puts)
	_, err = client.Get(ctx, "k")
	require.NoError(t, err)
}

func TestWriteIsSentOnceOnClosedKeepAliveConnection(t *testing.T) {
	ctx := context.Background()
	var handled atomic.Int64
	client := newClient(serve(t, dropAfterRead(&handled)).URL)
	_, err := client.Get(ctx, "warm")
	require.NoError(t, err)
	_, err = client.Put(ctx, "k", []byte("v"), objectapi.NoVersion)
	require.ErrorIs(t, err, objectapi.ErrUnknown)
	require.EqualValues(t, 1, handled.Load())
	_, err = client.Get(ctx, "warm")
	require.NoError(t, err)
	require.ErrorIs(t, client.Delete(ctx, "k", 1), objectapi.ErrUnknown)
	require.EqualValues(t, 2, handled.Load())
}

func TestWriteFollowsNoRedirect(t *testing.T) {
	var handled atomic.Int64
	target := serve(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled.Add(1) }))
	source := serve(t, http.RedirectHandler(target.URL, http.StatusTemporaryRedirect))
	_, err := newClient(source.URL).Put(context.Background(), "k", []byte("v"), objectapi.NoVersion)
	require.ErrorIs(t, err, objectapi.ErrUnknown)
	require.Zero(t, handled.Load())
}

func TestRefusedDialIsUnavailable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := listener.Addr().String()
	require.NoError(t, listener.Close())
	client := newClient(addr)
	_, err = client.Put(context.Background(), "k", nil, objectapi.NoVersion)
	require.ErrorIs(t, err, objectapi.ErrUnavailable)
	_, _, err = client.Watch(context.Background(), "k", 0)
	require.ErrorIs(t, err, objectapi.ErrUnavailable)
}

func TestSilentServerLeavesWriteUnknownAndReadUnavailable(t *testing.T) {
	silent := serve(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}))
	client := newClient(silent.URL)
	_, err := client.Put(context.Background(), "k", []byte("v"), objectapi.NoVersion)
	require.ErrorIs(t, err, objectapi.ErrUnknown)
	_, err = client.Get(context.Background(), "k")
	require.ErrorIs(t, err, objectapi.ErrUnavailable)
	require.NotErrorIs(t, err, objectapi.ErrUnknown)
}

func TestReadsAreRetriedAndWritesAreNot(t *testing.T) {
	ctx := context.Background()
	var calls atomic.Int64
	flaky := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1)%2 == 1 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "{}")
	}))
	client := newClient(flaky.URL)
	_, err := client.Get(ctx, "k")
	require.NoError(t, err)
	require.EqualValues(t, 2, calls.Load())
	_, err = client.Put(ctx, "k", nil, objectapi.NoVersion)
	require.ErrorIs(t, err, objectapi.ErrUnavailable)
	require.EqualValues(t, 3, calls.Load())
}

func TestReadRetriesStayWithinBudget(t *testing.T) {
	const reads = 50
	var calls atomic.Int64
	down := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	config := objectapi.Config{Addrs: []string{strings.TrimPrefix(down.URL, "http://")}, RetryRate: 1e-9}
	client := objectapi.NewClient(config, metrics.NewSet(), testbed.NoLog())
	for range reads {
		_, err := client.Get(context.Background(), "k")
		require.ErrorIs(t, err, objectapi.ErrUnavailable)
	}
	require.EqualValues(t, reads+10, calls.Load(), "the burst of the budget is 10 retries")
}

func TestFailoverToNextAddress(t *testing.T) {
	var refused atomic.Int64
	bad := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		refused.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	good := serve(t, objects.Handler(objects.New()))
	client := newClient(bad.URL, good.URL)
	_, _, err := client.List(context.Background(), "")
	require.NoError(t, err)
	require.EqualValues(t, 1, refused.Load())
}

func TestWatchEndsWithItsContext(t *testing.T) {
	store := objects.New()
	client := newClient(serve(t, objects.Handler(store)).URL)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		_, _, err := client.Watch(ctx, "k", 0)
		done <- err
	}()
	require.Eventually(t, func() bool { return store.Counts().Waiting == 1 }, 10*time.Second, time.Millisecond)
	cancel()
	require.NoError(t, <-done)
}

func TestCallsAreCountedByKindAndOutcome(t *testing.T) {
	set := metrics.NewSet()
	store := objects.New()
	server := serve(t, objects.Handler(store))
	config := objectapi.Config{Addrs: []string{strings.TrimPrefix(server.URL, "http://")}}
	client := objectapi.NewClient(config, set, testbed.NoLog())
	_, err := client.Put(context.Background(), "k", nil, 7)
	require.ErrorIs(t, err, objectapi.ErrConflict)
	counter := set.GetOrCreateCounter(`ibisline_platform_calls_total{kind="put",outcome="conflict"}`)
	require.EqualValues(t, 1, counter.Get())
}
