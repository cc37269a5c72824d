package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/history"
	"ibisline/internal/verdict"
	"ibisline/platform/platformtest"
)

const headerPrevious = "Previous-Turn"

// fakeHistories keeps turns in memory.
type fakeHistories struct {
	mu     sync.Mutex
	chains map[string]history.Chain
	// Store waits until storeGate is closed, unless it is nil.
	storeGate chan struct{}
	storeErr  error
	findErr   error
}

func newFakeHistories() *fakeHistories { return &fakeHistories{chains: map[string]history.Chain{}} }

func (f *fakeHistories) CheckAvailable() error { return nil }

func (f *fakeHistories) Find(_ context.Context, _, id string) (history.Chain, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.findErr != nil {
		return nil, f.findErr
	}
	chain, found := f.chains[id]
	if !found {
		return nil, verdict.Refuse(verdict.UnknownTurn, "there is no turn %s", id)
	}
	return chain, nil
}

func (f *fakeHistories) Store(ctx context.Context, _ string, chain history.Chain, turn history.Turn) error {
	f.mu.Lock()
	gate := f.storeGate
	f.mu.Unlock()
	if gate != nil {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-gate:
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.chains[turn.ID] = append(slices.Clip(chain), turn)
	return f.storeErr
}

// TestServerReceivesTheWholeConversation guards against prompts that differ by a byte from the inputs
// and the data of the events that callers got, in a tree of turns.
func TestServerReceivesTheWholeConversation(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		engine := h.addServer(engines, "engine-1")
		engine.Script(func(run platformtest.Run) platformtest.Reply {
			return platformtest.Reply{Events: []string{
				"one of " + run.ID, " two\ndata:",
			}}
		})
		prompts := map[string]string{"": ""}
		for i, previous := range []string{"", "t0", "t1", "t0", "t3", ""} {
			id := fmt.Sprintf("t%d", i)
			edit := withHeader(headerPrevious, previous)
			if previous == "" {
				edit = func(*http.Request) {}
			}
			require.Equal(t, http.StatusOK, h.call(http.MethodPost, "/chat/", id, edit).status)
			received := prompts[previous] + "body of " + id
			require.Equal(t, received, engine.Runs()[i].Body)
			prompts[id] = received + "one of " + id + "\n two\n\n"
		}
	})
}

// TestEndOfTurnWaitsUntilItIsStored guards against a response that ends before its turn is durable, and
// against events that wait for that.
func TestEndOfTurnWaitsUntilItIsStored(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.addServer(engines, "engine-1").Always(platformtest.Reply{Events: []string{"one"}})
		h.histories.storeGate = make(chan struct{})
		time.AfterFunc(time.Second, func() { close(h.histories.storeGate) })
		got := h.call(http.MethodPost, "/chat/", "t0")
		require.Equal(t, http.StatusOK, got.status)
		require.Equal(t, time.Second, got.took.Truncate(100*time.Millisecond))
		h.histories.storeErr = errors.New("no keeper")
		got = h.call(http.MethodPost, "/chat/", "t1")
		require.Zero(t, got.status, "the response must not look complete")
		require.Contains(t, got.body, "one")
		var text strings.Builder
		h.metrics.WritePrometheus(&text)
		require.Contains(t, text.String(), `ibisline_gateway_failures_total{reason="history_unavailable",verdict="may_have_run"} 1`)
	})
}

// TestTurnsThatCannotBeContinuedAreRefused guards against turns that run without the turns before
// them.
func TestTurnsThatCannotBeContinuedAreRefused(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		engine := h.addServer(engines, "engine-1")
		engine.Always(platformtest.Reply{Events: []string{strings.Repeat("x", 1010)}})
		require.Equal(t, http.StatusOK, h.call(http.MethodPost, "/chat/", "t0").status)
		for _, refusal := range []struct {
			path, previous string
			status         int
			edit           func(*http.Request)
		}{
			{path: "/chat/", previous: "never", status: http.StatusNotFound},
			{path: "/chat/", previous: "own", status: http.StatusBadRequest},
			{path: "/turn/", previous: "t0", status: http.StatusBadRequest},
			{path: "/chat/", previous: "t0", status: http.StatusRequestEntityTooLarge},
			{path: "/chat/", previous: "t0", status: http.StatusBadRequest, edit: func(r *http.Request) { r.Header.Add(headerPrevious, "t1") }},
			{path: "/chat/", previous: "t0", status: http.StatusServiceUnavailable, edit: withHeader("Last-Event-Id", "1")},
		} {
			edits := []func(*http.Request){withHeader(headerPrevious, refusal.previous)}
			if refusal.edit != nil {
				edits = append(edits, refusal.edit)
			}
			require.Equal(t, refusal.status, h.call(http.MethodPost, refusal.path, "own", edits...).status, "%+v", refusal)
		}
		h.histories.findErr = verdict.Refuse(verdict.HistoryUnavailable, "keepers are not reached").RetryIn(time.Second)
		got := h.call(http.MethodPost, "/chat/", "t2", withHeader(headerPrevious, "t0"))
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.Equal(t, "1.000", got.header.Get("Retry-After"))
		require.Len(t, engine.Runs(), 1, "nothing that was refused ran")
	})
}
