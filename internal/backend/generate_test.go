package backend_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/backend"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

const (
	textEvent   = `data: {"choices":[{"delta":{"content":"hi"},"finish_reason":null}]}` + "\n\n"
	finishEvent = `data: {"choices":[{"delta":{},"finish_reason":"stop"}]}` + "\n\n"
	usageEvent  = `data: {"choices":[],"usage":{"prompt_tokens":7,"completion_tokens":1,"prompt_tokens_details":{"cached_tokens":3}}}` + "\n\n"
	doneEvent   = "data: [DONE]\n\n"
)

// serveEvents starts an engine that responds with the given events.
func serveEvents(t *testing.T, events ...string) structs.Server {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for _, event := range events {
			fmt.Fprint(w, event)
		}
	}))
	t.Cleanup(server.Close)
	return serverOf(server)
}

func serverOf(server *httptest.Server) structs.Server {
	return structs.Server{Name: "e1", Addr: server.Listener.Addr().String()}
}

func generate(server structs.Server, options backend.EngineOptions) (structs.GenerateResult, string, error) {
	text := ""
	emit := func(piece string) error { text += piece; return nil }
	request := structs.GenerateRequest{Program: "p", Model: "m", MaxTokens: 4}
	generated, err := backend.NewEngines(options).Generate(context.Background(), server, request, emit)
	return generated, text, err
}

func TestGenerateReturnsTheCompleteResponse(t *testing.T) {
	server := serveEvents(t, textEvent, textEvent, finishEvent, usageEvent, doneEvent)
	generated, text, err := generate(server, backend.EngineOptions{})
	require.NoError(t, err)
	require.Equal(t, "hihi", text)
	require.Equal(t, structs.Usage{PromptTokens: 7, CachedTokens: 3, OutputTokens: 1}, generated.Usage)
	require.Equal(t, "stop", generated.Finish)
}

func TestGenerateRejectsTruncatedResponses(t *testing.T) {
	complete := []string{textEvent, finishEvent, usageEvent, doneEvent}
	for missing := range complete[1:] {
		events := append(append([]string{}, complete[:missing+1]...), complete[missing+2:]...)
		_, _, err := generate(serveEvents(t, events...), backend.EngineOptions{})
		require.ErrorIs(t, err, backend.ErrTruncated, "without event %d", missing+1)
		require.True(t, verdict.Is(err, verdict.MayHaveRun))
	}
}

func TestGenerateVerdictFollowsTheConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closed := structs.Server{Addr: listener.Addr().String()}
	require.NoError(t, listener.Close())
	_, _, err = generate(closed, backend.EngineOptions{})
	require.ErrorIs(t, err, backend.ErrUnreachable)
	require.True(t, verdict.Is(err, verdict.NotRun))

	_, _, err = generate(serverOf(hangUpServer(t, nil)), backend.EngineOptions{})
	require.ErrorIs(t, err, backend.ErrTruncated)
	require.True(t, verdict.Is(err, verdict.MayHaveRun))
}

func TestGenerateEngineRefusalMayHaveRun(t *testing.T) {
	for _, status := range []int{http.StatusBadRequest, http.StatusNotFound, http.StatusServiceUnavailable, http.StatusTeapot} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		_, _, err := generate(serverOf(server), backend.EngineOptions{})
		require.True(t, verdict.Is(err, verdict.MayHaveRun), "status %d", status)
		server.Close()
	}
}

func TestGenerateEndsWhenTheEngineStalls(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, textEvent)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	defer server.Close()
	_, _, err := generate(serverOf(server), backend.EngineOptions{StallTimeout: 50 * time.Millisecond})
	require.ErrorIs(t, err, backend.ErrStalled)
	require.True(t, verdict.HasReason(err, verdict.BackendTimeout))
}

func TestReleaseKVReportsNotHeld(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	err := backend.NewEngines(backend.EngineOptions{}).ReleaseKV(context.Background(), serverOf(server), "p")
	require.ErrorIs(t, err, backend.ErrNotHeld)
}
