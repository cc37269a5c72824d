package backend_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"ibisline/internal/backend"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// hangUpServer reads each request and closes its connection without a response,
// except for a first request to /warm, which it answers and whose connection it
// keeps open for reuse.
func hangUpServer(t *testing.T, handled *atomic.Int32) *httptest.Server {
	if handled == nil {
		handled = &atomic.Int32{}
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if handled.Add(1) > 1 || r.URL.Path != "/warm" {
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(server.Close)
	return server
}

func send(server structs.Server, path string) (structs.CallReply, error) {
	request := structs.CallRequest{Program: "p", Key: "k", Path: path, Body: []byte(`{}`), RequestID: "r"}
	return backend.NewSender(0).Send(context.Background(), server, request)
}

// TestCallIsNotResentOnAClosedConnection guards against the retry of net/http, which
// resends a request when a reused connection turns out to be closed.
func TestCallIsNotResentOnAClosedConnection(t *testing.T) {
	var handled atomic.Int32
	server := serverOf(hangUpServer(t, &handled))
	sender := backend.NewSender(0)
	request := structs.CallRequest{Program: "p", Key: "k", Path: "/warm"}
	_, err := sender.Send(context.Background(), server, request)
	require.NoError(t, err)
	_, err = sender.Send(context.Background(), server, request)
	require.True(t, verdict.Is(err, verdict.MayHaveRun))
	require.Equal(t, int32(2), handled.Load())
}

// TestCallHasNoIdempotencyHeader checks that a call has none of the headers that
// permit net/http to resend it, and uses a connection of its own.
func TestCallHasNoIdempotencyHeader(t *testing.T) {
	var headers http.Header
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { headers = r.Header }))
	defer server.Close()
	_, err := send(serverOf(server), "/orders")
	require.NoError(t, err)
	require.Empty(t, headers.Values("Idempotency-Key"))
	require.Empty(t, headers.Values("X-Idempotency-Key"))
	require.Equal(t, "p/k", headers.Get(backend.HeaderCallKey))
	require.Equal(t, "close", headers.Get("Connection"))
}

func TestRedirectIsReturnedAndNotFollowed(t *testing.T) {
	var handled atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handled.Add(1)
		http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
	}))
	defer server.Close()
	reply, err := send(serverOf(server), "/orders")
	require.NoError(t, err)
	require.Equal(t, http.StatusTemporaryRedirect, reply.Status)
	require.Equal(t, int32(1), handled.Load())
}

func TestCallWithoutConnectionDidNotRun(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	address := serverOf(server)
	server.Close()
	_, err := send(address, "/orders")
	require.True(t, verdict.Is(err, verdict.NotRun))
	_, err = send(address, "no-slash")
	require.True(t, verdict.Is(err, verdict.NotRun))
}

func TestRequestToNoAddressDidNotRun(t *testing.T) {
	nowhere := structs.Server{Name: "e", Addr: "no address"}
	_, _, err := generate(nowhere, backend.EngineOptions{})
	require.True(t, verdict.Is(err, verdict.NotRun), "%v", err)
	engines := backend.NewEngines(backend.EngineOptions{})
	require.True(t, verdict.Is(engines.SendOrder(t.Context(), nowhere, backend.Order{}), verdict.NotRun))
}

func TestTruncatedReplyMayHaveRun(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("short"))
	}))
	defer server.Close()
	_, err := send(serverOf(server), "/orders")
	require.True(t, verdict.Is(err, verdict.MayHaveRun))
}

func TestLookUpOutcomeReturnsTheStoredReply(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("key") != "p/known" {
			http.NotFound(w, r)
			return
		}
		_, _ = w.Write([]byte(`{"status":201,"body":"b2s="}`))
	}))
	defer server.Close()
	service := serverOf(server)
	service.Lookup = true
	sender := backend.NewSender(0)
	reply, ok, err := sender.LookUpOutcome(context.Background(), service, "p/known")
	require.NoError(t, err)
	require.True(t, ok)
	require.Equal(t, 201, reply.Status)
	require.Equal(t, "ok", string(reply.Body))
	_, ok, err = sender.LookUpOutcome(context.Background(), service, "p/other")
	require.NoError(t, err)
	require.False(t, ok)
}
